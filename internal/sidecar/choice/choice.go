// Package choice decides which back end takes a request. The package is pure:
// it sees numbers only, so that tables and simulations can test it.
package choice

import (
	"math"
	"time"
)

// Candidate is what is known of one back end at the moment of the choice.
type Candidate struct {
	// SameZone: the back end is in the caller's zone. OtherRegion: it is known to
	// be in another region than the caller.
	SameZone, OtherRegion bool
	// Outstanding is how many requests run or wait there, the caller's own included.
	Outstanding float64
	// Slots is how many requests the back end works on at once.
	Slots int
	// ServiceTime is how long it works on this request, waiting not counted.
	ServiceTime time.Duration
	// HoldTime is how long requests of all kinds hold one of its slots.
	HoldTime time.Duration
	// RoundTrip is the time to it and back.
	RoundTrip time.Duration
	// FailureRate is the share of its requests that fail there.
	FailureRate float64
	// RecentlyFailed: it failed a short time ago.
	RecentlyFailed bool
	// Unresponsive: it has not answered a probe.
	Unresponsive bool
	// Draining: it takes no new work, or will not for long.
	Draining bool
	// Tried: this request was sent to it before.
	Tried bool
	// Wait is the time until the back end's own limit has room for the request; zero without a limit.
	Wait time.Duration
	// Excluded: it would refuse the request, which is not to be sent there at all.
	Excluded bool
}

// Weights price what cannot be measured in time, in units of the worth of an
// answer that comes in time.
type Weights struct {
	// OtherZone is the price of leaving the zone, OtherRegion what is added to
	// it for leaving the region.
	OtherZone, OtherRegion float64
	// RecentFailure, Draining, Unresponsive and AlreadyTried are added for back ends that are to
	// be chosen only when nothing else is left.
	RecentFailure, Draining, Unresponsive, AlreadyTried float64
	// Excluded is above all others together.
	Excluded float64
}

// DefaultWeights prefer the zone until its back ends would answer late. With a price of
// 0.18 of leaving it, two thirds of the bytes pass between zones that do with 0.1, at the same
// number of answers in time where demand is near capacity; with 0.3 a third, but one in
// a hundred answers is lost (docs/design/0010-the-shifted-work.md).
func DefaultWeights() Weights {
	return Weights{OtherZone: 0.18, OtherRegion: 0.2, RecentFailure: 50, Draining: 100, Unresponsive: 200, AlreadyTried: 400, Excluded: 1000}
}

const (
	// saturationOverhead is how much longer a back end works when all its slots are
	// taken, as a share of the time it takes when they are not.
	saturationOverhead = 0.3
	// defaultTargetLatency stands in for a route without a target latency.
	defaultTargetLatency = time.Second
	// lateAnswerCost is how much of the worth is lost by an answer that comes late.
	lateAnswerCost = 0.7
	// Times scatter widely to the long side, as in a log-logistic distribution:
	// latencyMedianRatio is its median as a share of the expected time, steepness its shape.
	latencyMedianRatio = 0.83
	latencyShape       = 2.8
	// latencyCost is the price of a whole target latency of waiting. It tells apart
	// back ends that would all answer in time, or all late.
	latencyCost = 0.1
	// toleratedFailureRate is a share of failures that costs nothing: a failure now and
	// then is no reason to leave the zone.
	toleratedFailureRate = 0.05
)

// ExpectedLatency estimates the time until the candidate's answer.
func ExpectedLatency(candidate Candidate) time.Duration {
	slots := float64(max(candidate.Slots, 1))
	used := min(candidate.Outstanding/slots, 1)
	expected := float64(candidate.ServiceTime) * (1 + saturationOverhead*used*used)
	if waiting := candidate.Outstanding + 1 - slots; waiting > 0 {
		expected += float64(candidate.HoldTime) * waiting / slots
	}
	return time.Duration(expected) + candidate.RoundTrip + candidate.Wait
}

// Cost is the price of sending a request with that target latency to the
// candidate: the chance that the answer comes late, the chance that it is a
// failure, and what cannot be measured in time. Far below the target latency
// differences hardly count; near it they outweigh the zone.
func Cost(candidate Candidate, targetLatency time.Duration, weights Weights) float64 {
	if targetLatency <= 0 {
		targetLatency = defaultTargetLatency
	}
	ratio := float64(ExpectedLatency(candidate)) / float64(targetLatency)
	cost := lateAnswerCost / (1 + math.Pow(latencyMedianRatio*ratio, -latencyShape))
	cost += latencyCost*ratio + max(candidate.FailureRate-toleratedFailureRate, 0)
	return candidate.withPenalties(cost, weights)
}

// withPenalties returns the cost with the prices of what cannot be measured in time.
func (c Candidate) withPenalties(cost float64, weights Weights) float64 {
	if !c.SameZone {
		cost += weights.OtherZone
	}
	if c.OtherRegion {
		cost += weights.OtherRegion
	}
	if c.RecentlyFailed {
		cost += weights.RecentFailure
	}
	if c.Draining {
		cost += weights.Draining
	}
	if c.Unresponsive {
		cost += weights.Unresponsive
	}
	if c.Tried {
		cost += weights.AlreadyTried
	}
	if c.Excluded {
		cost += weights.Excluded
	}
	return cost
}

// EligibleForRetry reports whether the back end is one for a request that was refused
// elsewhere: it was not tried, takes work and is there. To send it to a silent one
// would only make its outcome unknown.
func (c Candidate) EligibleForRetry() bool {
	return !c.Tried && !c.Draining && !c.Unresponsive && !c.Excluded
}
