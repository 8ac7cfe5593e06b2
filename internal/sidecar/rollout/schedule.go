package rollout

import (
	"math"
	"time"
)

// Limits are what a version that turns out to be bad may get at most.
type Limits struct {
	// Share is the part of the service's requests between order and deadline, Slack is
	// how many requests more there may be.
	Share, Slack float64
}

// DefaultLimits hold where the settings say nothing.
func DefaultLimits() Limits { return Limits{Share: 0.1, Slack: 50} }

// How the allowed exposure is used. A version that turns bad after the last moment at
// which it could be noticed has got trialPart of it in the trial and promotionPart
// while and after all requests moved: 0.95 in all. With 14 s and a tenth allowed that
// is 0.33 s worth of all requests in the trial and 0.98 s at the end.
const (
	trialFraction     = 0.25
	promotionFraction = 0.7
	// lastPart is the part of the trial, its end, in which most of the requests go to the
	// version: lastWeight times as many as if they were spread evenly, earlyWeight times as
	// many before. Evidence fades, and a version may turn bad late, so that the last answers
	// say most. See promotingLean for what it gains.
	finalFraction = 0.25
	finalWeight   = 2.0
	earlyWeight   = (1 - finalFraction*finalWeight) / (1 - finalFraction)
	// slackPart is the part of the slack that is used in the trial. Where requests are
	// few it brings the evidence: of 80 a second for 14 s the share alone would send 28.
	slackFraction = 0.9
	// promotionMost bounds the time in which all requests go to the version before the
	// deadline: what others worked on when it began has ended by then.
	maxPromotion = 2 * time.Second
	// completionPart is how long before the deadline the move is declared done, as a
	// part of the promotion, completionLeast how long at least and completionMost which
	// part at most. It covers that the order was heard late, the way to the store and that
	// the operator looks there from time to time: with 0.11 s of 8 s a version that was
	// done counted as late.
	completionFraction    = 0.35
	minCompletion         = 300 * time.Millisecond
	maxCompletionFraction = 0.5
	// turn is how long one set of back ends is on trial before the next one is.
	turnDuration = time.Second
	// trialBackEnds is how many back ends are on trial in turn. Evidence gathers on few,
	// and one that is bad by itself is told from a bad version.
	trialBackEnds = 3
)

// trialShare is the part of the requests that goes to the version during the trial, the
// slack aside.
func (l Limits) trialShare() float64 { return l.Share * trialFraction }

// RequestRate is how often requests of a service come to one of several nodes.
type RequestRate struct {
	// PerSecond is the node's own rate, zero while it is not known.
	PerSecond float64
	// Members is how many nodes share the slack.
	Members int
}

// slackShare is the part of the node's requests by which its part of the slack is used
// up at the deadline.
func (s State) slackShare(limits Limits, rate RequestRate) float64 {
	expected := rate.PerSecond * s.Duration.Seconds()
	if expected <= 0 {
		return 0
	}
	return limits.Slack * slackFraction / float64(max(rate.Members, 1)) / expected
}

// promotion is how long before the deadline all requests move.
func (s State) promotion(limits Limits) time.Duration {
	return min(time.Duration(float64(s.Duration)*limits.Share*promotionFraction), maxPromotion)
}

// PromoteAt is when all requests are to move to the version.
func (s State) PromoteAt(limits Limits) time.Time { return s.Deadline.Add(-s.promotion(limits)) }

// CompleteAt is when the move is to be declared done.
func (s State) CompleteAt(limits Limits) time.Time {
	promotion := s.promotion(limits)
	lead := max(time.Duration(float64(promotion)*completionFraction), minCompletion)
	return s.Deadline.Add(-min(lead, time.Duration(float64(promotion)*maxCompletionFraction)))
}

// TrialWeight is how many times as many requests go to the version at a moment of the trial as
// if they were spread evenly over it.
func (s State) TrialWeight(limits Limits, now time.Time) float64 {
	remaining := s.PromoteAt(limits).Sub(now)
	trialDuration := s.Duration - s.promotion(limits)
	if remaining <= time.Duration(float64(trialDuration)*finalFraction) {
		return finalWeight
	}
	return earlyWeight
}

// TrialAssignment is who is on trial at a moment, and with what part of the service's requests.
type TrialAssignment struct {
	// BackEnds share the requests; empty while nobody is on trial.
	BackEnds []string
	Share    float64
}

// TrialAssignment returns who is on trial at a moment. candidates are the back ends of the version
// that may be, in an order on which all nodes agree; others is how many back ends serve
// the service besides.
//
// A version may be bad only under load. So the requests go to few back ends at a time,
// as many as have the load that the others have; where one alone would have less, they go
// there for a part of each turn only.
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
