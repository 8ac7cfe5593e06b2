package balance

import (
	"errors"
	"time"
)

// Errors of Acquire. Neither of them touched an endpoint.
var (
	// ErrNoEndpoint: no endpoint is allowed and accepts work.
	ErrNoEndpoint = errors.New("balance: no endpoint")
	// ErrSaturated: every usable endpoint has all its slots taken.
	ErrSaturated = errors.New("balance: all slots taken")
)

// randomPairs is how many pairs are drawn before every endpoint is looked at.
const randomPairs = 2

// Set is the endpoints of a service that may receive new work: allowed by
// placement and accepting. A Set is immutable; its endpoints' state is not.
type Set struct {
	endpoints []*Endpoint
	slots     int64
	ejection  EjectionPolicy
}

// NewSet returns a set whose endpoints run at most slots requests each.
func NewSet(endpoints []*Endpoint, slots int, ejection EjectionPolicy) *Set {
	return &Set{endpoints: endpoints, slots: int64(slots), ejection: ejection}
}

// Len returns how many endpoints the set has.
func (s *Set) Len() int { return len(s.endpoints) }

// Endpoints returns the set's endpoints; the caller must not change the slice.
func (s *Set) Endpoints() []*Endpoint { return s.endpoints }

// Acquire chooses an endpoint and claims one of its slots; Release gives it
// back. avoid, which may be nil, is used only when nothing else is left.
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
		if s.usable(now, first, avoid) && first.take(s.slots) {
			return first, nil
		}
		if s.usable(now, second, avoid) && second.take(s.slots) {
			return second, nil
		}
		random = remix(random)
	}
	return s.scan(now, random%count, avoid)
}

// pair returns two endpoints, different ones when there are two.
func (s *Set) pair(random, count uint64) (first, second *Endpoint) {
	left := (random >> 32) * count >> 32
	if count == 1 {
		return s.endpoints[left], s.endpoints[left]
	}
	right := (random & 0xffffffff) * (count - 1) >> 32
	if right >= left {
		right++
	}
	return s.endpoints[left], s.endpoints[right]
}

func (s *Set) usable(now time.Duration, candidate, avoid *Endpoint) bool {
	return candidate != avoid &&
		!candidate.Ejected(now) &&
		candidate.avoidedUntil.Load() <= int64(now)
}

// scan looks at every endpoint. Those that shed or are to be avoided come
// last; ejected ones count only when all are ejected.
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
	if best == nil || !best.take(s.slots) {
		return nil, ErrSaturated
	}
	return best, nil
}

func (s *Set) rank(now time.Duration, candidate, avoid *Endpoint) int64 {
	switch {
	case candidate == avoid:
		return 2
	case candidate.avoidedUntil.Load() > int64(now):
		return 1
	default:
		return 0
	}
}

func (s *Set) countEjected(now time.Duration) int {
	count := 0
	for _, candidate := range s.endpoints {
		if candidate.Ejected(now) {
			count++
		}
	}
	return count
}

// remix derives the next random number from one (splitmix64's finalizer).
func remix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
