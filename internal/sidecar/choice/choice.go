// Package choice selects the back end for a request. The package is pure: it works on numbers
// alone, so that table tests and simulations can cover it.
package choice

import (
	"math"
	"time"
)

// Candidate describes one back end at the time of the selection.
type Candidate struct {
	// SameZone: the back end is in the caller's zone. OtherRegion: it is known to be in another
	// region than the caller.
	SameZone, OtherRegion bool
	// Outstanding is the number of requests that run or wait there, including the caller's own.
	Outstanding float64
	// Slots is the number of requests that the back end processes concurrently.
	Slots int
	// ServiceTime is the expected processing time of this request, without queueing.
	ServiceTime time.Duration
	// HoldTime is the mean time for which requests of all kinds hold a slot.
	HoldTime time.Duration
	// RoundTrip is the network round-trip time.
	RoundTrip time.Duration
	// FailureRate is the share of requests that fail there.
	FailureRate float64
	// RecentlyFailed: the back end failed a short time ago.
	RecentlyFailed bool
	// Unresponsive: the back end has not answered a probe.
	Unresponsive bool
	// Draining: the back end takes no new requests, or soon will not.
	Draining bool
	// Tried: this request was sent to the back end before.
	Tried bool
	// Wait is the time until the back end's own rate limit admits the request; zero without a
	// limit.
	Wait time.Duration
	// Excluded: the back end would refuse the request, so it must not be sent there.
	Excluded bool
}

// Weights holds the penalties for properties that are not measured as time. The unit is the value
// of an answer that arrives within the target latency.
type Weights struct {
	// OtherZone is the penalty for leaving the zone; OtherRegion is added to it for leaving the
	// region.
	OtherZone, OtherRegion float64
	// RecentFailure, Draining, Unresponsive and AlreadyTried are added to back ends that are only a
	// last resort.
	RecentFailure, Draining, Unresponsive, AlreadyTried float64
	// Excluded exceeds the sum of all other weights.
	Excluded float64
}

// DefaultWeights returns weights that prefer the caller's zone until its back ends would answer
// late. A lower penalty for leaving the zone causes more traffic between zones; with a higher one,
// answers are late or lost near capacity although back ends of other zones have free slots
// (docs/design/0010-the-shifted-work.md).
func DefaultWeights() Weights {
	return Weights{OtherZone: 0.18, OtherRegion: 0.2, RecentFailure: 50, Draining: 100, Unresponsive: 200, AlreadyTried: 400, Excluded: 1000}
}

const (
	// saturationOverhead is the additional service time when all slots are taken, as a share of the
	// service time of an idle back end.
	saturationOverhead = 0.3
	// defaultTargetLatency is used for routes without a target latency.
	defaultTargetLatency = time.Second
	// lateAnswerCost is the part of an answer's value that is lost when it is late.
	lateAnswerCost = 0.7
	// Latencies have a long right tail and are modelled as log-logistic: latencyMedianRatio is the
	// median as a share of the expected latency, latencyShape the shape parameter.
	latencyMedianRatio = 0.83
	latencyShape       = 2.8
	// latencyCost is the cost of one target latency of expected latency. It separates back ends
	// that would all answer in time, or all late.
	latencyCost = 0.1
	// toleratedFailureRate is the failure rate without cost: an occasional failure is no reason to
	// leave the zone.
	toleratedFailureRate = 0.05
)

// ExpectedLatency estimates the time until the candidate answers.
func ExpectedLatency(candidate Candidate) time.Duration {
	slots := float64(max(candidate.Slots, 1))
	used := min(candidate.Outstanding/slots, 1)
	expected := float64(candidate.ServiceTime) * (1 + saturationOverhead*used*used)
	if waiting := candidate.Outstanding + 1 - slots; waiting > 0 {
		expected += float64(candidate.HoldTime) * waiting / slots
	}
	return time.Duration(expected) + candidate.RoundTrip + candidate.Wait
}

// Cost returns the cost of sending a request with the given target latency to the candidate. It
// sums the probability of a late answer, the probability of a failure, and the penalties. Latency
// differences hardly count far below the target latency; near it they outweigh the zone penalty.
func Cost(candidate Candidate, targetLatency time.Duration, weights Weights) float64 {
	if targetLatency <= 0 {
		targetLatency = defaultTargetLatency
	}
	ratio := float64(ExpectedLatency(candidate)) / float64(targetLatency)
	cost := lateAnswerCost / (1 + math.Pow(latencyMedianRatio*ratio, -latencyShape))
	cost += latencyCost*ratio + max(candidate.FailureRate-toleratedFailureRate, 0)
	return candidate.withPenalties(cost, weights)
}

// withPenalties returns the cost plus the penalties that apply to the candidate.
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

// EligibleForRetry reports whether a request that was refused elsewhere may be sent to the back
// end: it was not tried, accepts requests and responds to probes. Sending the request to an
// unresponsive back end would only make its outcome unknown.
func (c Candidate) EligibleForRetry() bool {
	return !c.Tried && !c.Draining && !c.Unresponsive && !c.Excluded
}
