// Package choice decides which back end takes a request. The package is pure:
// it sees numbers only, so that tables and simulations can test it.
package choice

import "time"

// Candidate is what is known of one back end at the moment of the choice.
type Candidate struct {
	// SameZone: the back end is in the caller's zone.
	SameZone bool
	// Busy is how many requests run or wait there, the caller's own included.
	Busy float64
	// Slots is how many requests the back end works on at once.
	Slots int
	// ServiceTime is how long it works on one request, waiting not counted;
	// zero when unknown.
	ServiceTime time.Duration
	// RoundTrip is the time to it and back.
	RoundTrip time.Duration
	// Avoid: it failed a short time ago, or is said to be silent.
	Avoid bool
	// Tried: this request was sent to it before.
	Tried bool
}

// Weights price what cannot be measured in time.
type Weights struct {
	// ForeignZone is the price of leaving the zone, in units of the worth of an
	// answer that comes in time.
	ForeignZone float64
	// Avoided and Repeated are added for back ends that are to be chosen only
	// when nothing else is left.
	Avoided, Repeated float64
}

// DefaultWeights prefer the zone until its back ends would answer late.
func DefaultWeights() Weights {
	return Weights{ForeignZone: 0.12, Avoided: 50, Repeated: 200}
}

const (
	// assumedServiceTime stands in for an unknown one.
	assumedServiceTime = 50 * time.Millisecond
	// crowding is how much longer a back end works when all its slots are
	// taken, as a share of the time it takes when they are not.
	crowding = 0.3
	// assumedAim stands in for a route without a target latency.
	assumedAim = time.Second
)

// Expected estimates the time until the candidate's answer.
func Expected(candidate Candidate) time.Duration {
	service := candidate.ServiceTime
	if service <= 0 {
		service = assumedServiceTime
	}
	slots := float64(max(candidate.Slots, 1))
	used := min(candidate.Busy/slots, 1)
	factor := 1 + crowding*used*used
	if waiting := candidate.Busy + 1 - slots; waiting > 0 {
		factor += waiting / slots
	}
	return time.Duration(float64(service)*factor) + candidate.RoundTrip
}

// Cost is the price of sending a request with that target latency to the
// candidate. Lateness grows with the square of the expected share of the aim:
// far below it differences hardly count, near it they outweigh the zone.
func Cost(candidate Candidate, aim time.Duration, weights Weights) float64 {
	if aim <= 0 {
		aim = assumedAim
	}
	share := float64(Expected(candidate)) / float64(aim)
	cost := share * share
	if !candidate.SameZone {
		cost += weights.ForeignZone
	}
	if candidate.Avoid {
		cost += weights.Avoided
	}
	if candidate.Tried {
		cost += weights.Repeated
	}
	return cost
}

// Best returns the index of the cheapest candidate, beginning at start so that
// equal ones take turns; -1 without candidates.
func Best(candidates []Candidate, aim time.Duration, start int, weights Weights) int {
	best, lowest := -1, 0.0
	for offset := range candidates {
		index := (start + offset) % len(candidates)
		cost := Cost(candidates[index], aim, weights)
		if best < 0 || cost < lowest {
			best, lowest = index, cost
		}
	}
	return best
}
