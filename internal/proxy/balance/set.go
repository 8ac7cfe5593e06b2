package balance

import (
	"errors"
	"time"
)

// Errors of Acquire. No slot is held and no request was sent when one is returned.
var (
	// ErrNoEndpoint means that the set is empty: no endpoint is both allowed by placement and
	// accepting requests.
	ErrNoEndpoint = errors.New("balance: no endpoint")
	// ErrSaturated means that all slots of every usable endpoint are in use.
	ErrSaturated = errors.New("balance: all slots taken")
)

// randomPairs is the number of random pairs that are tried before all endpoints are scanned.
const randomPairs = 2

// Set holds the endpoints of a service that are allowed by placement and accept requests. A Set is
// immutable, but the state of its endpoints is not.
type Set struct {
	endpoints []*Endpoint
	slots     int64
	ejection  EjectionPolicy
}

// NewSet returns a set in which each endpoint runs at most slots requests at a time.
func NewSet(endpoints []*Endpoint, slots int, ejection EjectionPolicy) *Set {
	return &Set{endpoints: endpoints, slots: int64(slots), ejection: ejection}
}

// Len returns the number of endpoints.
func (s *Set) Len() int { return len(s.endpoints) }

// Endpoints returns the endpoints of the set. The caller must not modify the slice.
func (s *Set) Endpoints() []*Endpoint { return s.endpoints }

// Acquire selects an endpoint and acquires one of its slots, which Release frees. The endpoint
// avoid, which may be nil, is selected only if no other usable one has a free slot.
func (s *Set) Acquire(now time.Duration, random uint64, avoid *Endpoint) (*Endpoint, error) {
	count := uint64(len(s.endpoints))
	if count == 0 {
		return nil, ErrNoEndpoint
	}
	for range randomPairs {
		first, second := s.pair(random, count)
		if second.cost(now, s.slots) < first.cost(now, s.slots) {
			first, second = second, first
		}
		if s.usable(now, first, avoid) && first.acquireSlot(s.slots) {
			return first, nil
		}
		if s.usable(now, second, avoid) && second.acquireSlot(s.slots) {
			return second, nil
		}
		random = nextRandom(random)
	}
	return s.scan(now, random%count, avoid)
}

// pair returns two random endpoints. They differ if the set has more than one.
func (s *Set) pair(random, count uint64) (first, second *Endpoint) {
	firstIndex := (random >> 32) * count >> 32
	if count == 1 {
		return s.endpoints[firstIndex], s.endpoints[firstIndex]
	}
	secondIndex := (random & 0xffffffff) * (count - 1) >> 32
	if secondIndex >= firstIndex {
		secondIndex++
	}
	return s.endpoints[firstIndex], s.endpoints[secondIndex]
}

// usable reports whether candidate is neither ejected nor in backoff nor the endpoint to avoid.
func (s *Set) usable(now time.Duration, candidate, avoid *Endpoint) bool {
	return candidate != avoid &&
		!candidate.Ejected(now) &&
		candidate.backoffUntil.Load() <= int64(now)
}

// scan acquires a slot of the endpoint with the lowest rank and cost among those that have a free
// one. Ejected endpoints are considered only if all are ejected.
func (s *Set) scan(now time.Duration, start uint64, avoid *Endpoint) (*Endpoint, error) {
	allEjected := s.countEjected(now) == len(s.endpoints)
	var best *Endpoint
	var bestRank, bestCost int64
	for offset := range s.endpoints {
		candidate := s.endpoints[(start+uint64(offset))%uint64(len(s.endpoints))]
		if candidate.inFlight.Load() >= s.slots || (candidate.Ejected(now) && !allEjected) {
			continue
		}
		rank, cost := s.rank(now, candidate, avoid), candidate.cost(now, s.slots)
		if best == nil || rank < bestRank || (rank == bestRank && cost < bestCost) {
			best, bestRank, bestCost = candidate, rank, cost
		}
	}
	if best == nil || !best.acquireSlot(s.slots) {
		return nil, ErrSaturated
	}
	return best, nil
}

// rank places endpoints that recently shed a request behind all others, and avoid behind these.
func (s *Set) rank(now time.Duration, candidate, avoid *Endpoint) int64 {
	switch {
	case candidate == avoid:
		return 2
	case candidate.backoffUntil.Load() > int64(now):
		return 1
	default:
		return 0
	}
}

// countEjected returns the number of endpoints that are ejected.
func (s *Set) countEjected(now time.Duration) int {
	count := 0
	for _, candidate := range s.endpoints {
		if candidate.Ejected(now) {
			count++
		}
	}
	return count
}

// nextRandom derives another random number from value with a step of splitmix64.
func nextRandom(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
