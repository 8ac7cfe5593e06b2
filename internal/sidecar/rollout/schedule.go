package rollout

import (
	"math"
	"time"
)

// Limits bound the requests that a bad version may get.
type Limits struct {
	// Share is the fraction of the service's requests between order and deadline. Slack is a
	// number of requests allowed in addition.
	Share, Slack float64
}

// DefaultLimits returns the limits used unless the settings specify others.
func DefaultLimits() Limits { return Limits{Share: 0.1, Slack: 50} }

// These constants divide the allowed exposure. A version that turns bad too late to be detected
// has received trialFraction of it in the trial and promotionFraction during and after
// promotion, 0.95 in total. With 14 s and a share of a tenth that is equivalent to 0.33 s of
// all requests in the trial and 0.98 s at the end.
const (
	trialFraction     = 0.25
	promotionFraction = 0.7
	// finalFraction is the last part of the trial, in which the version gets finalWeight times
	// as many requests as with an even spread; before it gets earlyWeight times as many.
	// Evidence decays and a version may turn bad late, so the last answers carry the most
	// information. With an even spread more versions that turn bad late are promoted.
	finalFraction = 0.25
	finalWeight   = 2.0
	earlyWeight   = (1 - finalFraction*finalWeight) / (1 - finalFraction)
	// slackFraction is the fraction of the slack used in the trial. At low request rates it
	// provides the evidence: of 80 requests per second for 14 s the share alone would send 28.
	slackFraction = 0.9
	// maxPromotion bounds the time between promotion and deadline. Requests in progress on
	// other versions have ended by then.
	maxPromotion = 2 * time.Second
	// completionFraction is the time before the deadline at which the rollout is declared
	// completed, as a fraction of the promotion time; minCompletion is a lower bound on that time
	// and maxCompletionFraction an upper bound on the fraction. It covers an order received late,
	// the write to the store and the polling interval of the operator's tool: with a lead of 0.11 s
	// in a rollout of 8 s, a completed rollout was counted as late.
	completionFraction    = 0.35
	minCompletion         = 300 * time.Millisecond
	maxCompletionFraction = 0.5
	// turnDuration is the time for which one set of back ends is on trial before the next.
	turnDuration = time.Second
	// trialBackEnds is the number of back ends that are on trial in turn. With few of them evidence
	// accumulates quickly, and a single bad back end can be distinguished from a bad version.
	trialBackEnds = 3
)

// trialShare is the fraction of the requests that goes to the version during the trial, without
// the slack.
func (l Limits) trialShare() float64 { return l.Share * trialFraction }

// RequestRate is the rate of a service's requests at one of several nodes.
type RequestRate struct {
	// PerSecond is the local rate; zero if unknown.
	PerSecond float64
	// Members is the number of nodes that share the slack.
	Members int
}

// slackShare is the fraction of the node's requests that uses up its part of the slack by the
// deadline.
func (s State) slackShare(limits Limits, rate RequestRate) float64 {
	expected := rate.PerSecond * s.Duration.Seconds()
	if expected <= 0 {
		return 0
	}
	return limits.Slack * slackFraction / float64(max(rate.Members, 1)) / expected
}

// promotion returns the time before the deadline at which the version is promoted to all requests.
func (s State) promotion(limits Limits) time.Duration {
	return min(time.Duration(float64(s.Duration)*limits.Share*promotionFraction), maxPromotion)
}

// PromoteAt returns the time at which the version is promoted to all requests.
func (s State) PromoteAt(limits Limits) time.Time { return s.Deadline.Add(-s.promotion(limits)) }

// CompleteAt returns the time at which the rollout is declared completed.
func (s State) CompleteAt(limits Limits) time.Time {
	promotion := s.promotion(limits)
	lead := max(time.Duration(float64(promotion)*completionFraction), minCompletion)
	return s.Deadline.Add(-min(lead, time.Duration(float64(promotion)*maxCompletionFraction)))
}

// TrialWeight is the ratio of the trial's request rate at the given time to an even spread.
func (s State) TrialWeight(limits Limits, now time.Time) float64 {
	remaining := s.PromoteAt(limits).Sub(now)
	trialDuration := s.Duration - s.promotion(limits)
	if remaining <= time.Duration(float64(trialDuration)*finalFraction) {
		return finalWeight
	}
	return earlyWeight
}

// TrialAssignment is the set of back ends on trial and the fraction of the service's requests
// that they get.
type TrialAssignment struct {
	// BackEnds share the requests; empty while none is on trial.
	BackEnds []string
	Share    float64
}

// TrialAssignment returns the assignment at the given time. candidates are the eligible back
// ends of the version, in an order that is the same on all nodes; others is the number of other
// back ends of the service.
//
// A version may be bad only under load. The requests therefore go to as few back ends at a time
// as give each the load of the others. If even one would get less than that, it gets requests
// only for a fraction of each turn.
func (s State) TrialAssignment(candidates []string, others int, limits Limits, rate RequestRate, now time.Time) TrialAssignment {
	candidates = candidates[:min(len(candidates), trialBackEnds)]
	if len(candidates) == 0 || others == 0 || s.Phase != Trial || !now.Before(s.PromoteAt(limits)) {
		return TrialAssignment{}
	}
	elapsed := max(s.Duration-s.Deadline.Sub(now), 0)
	turnIndex, elapsedInTurn := int(elapsed/turnDuration), elapsed%turnDuration
	evenShare := 1 / float64(others)
	targetShare := (limits.trialShare() + s.slackShare(limits, rate)) * s.TrialWeight(limits, now)
	concurrent := min(int(math.Ceil(targetShare/evenShare)), len(candidates))
	share := min(float64(concurrent)*evenShare, 1)
	duty := targetShare / share
	if float64(elapsedInTurn) >= duty*float64(turnDuration) {
		return TrialAssignment{}
	}
	chosen := make([]string, concurrent)
	for i := range chosen {
		chosen[i] = candidates[(turnIndex*concurrent+i)%len(candidates)]
	}
	return TrialAssignment{BackEnds: chosen, Share: share}
}
