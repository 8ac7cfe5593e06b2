package balance

import "time"

// EjectionPolicy says when a failing endpoint is left out for a while.
type EjectionPolicy struct {
	// ConsecutiveFailures is how many consecutive failures eject.
	ConsecutiveFailures int
	// BaseTime is the length of the first ejection; each further one is twice as
	// long, up to MaximumTime.
	BaseTime, MaximumTime time.Duration
	// MaximumPercent bounds the share of a set that is ejected at once, so
	// that a fault of the caller's own side does not empty the set.
	MaximumPercent int
}

// DefaultEjectionPolicy suits services of a few endpoints.
func DefaultEjectionPolicy() EjectionPolicy {
	return EjectionPolicy{ConsecutiveFailures: 5, BaseTime: time.Second, MaximumTime: 30 * time.Second, MaximumPercent: 50}
}

// FailureKind grades a failure.
type FailureKind int

// The kinds of failures that count against an endpoint.
const (
	// FailureIncomplete is a reply that was lost or cut short.
	FailureIncomplete FailureKind = iota
	// FailureUnreachable is a connection that could not be opened; one of
	// them is enough, since nothing listens there.
	FailureUnreachable
)

// RecordFailure notes a failure of an endpoint of this set and reports whether it was
// ejected for it.
func (s *Set) RecordFailure(now time.Duration, failed *Endpoint, kind FailureKind) bool {
	consecutive := failed.failures.Add(1)
	if kind == FailureIncomplete && int(consecutive) < s.ejection.ConsecutiveFailures {
		return false
	}
	if failed.Ejected(now) || !s.mayEject(now) {
		return false
	}
	length := s.ejection.length(failed.ejections.Add(1))
	failed.ejectedUntil.Store(int64(now + length))
	failed.failures.Store(0)
	return true
}

// Reinstate ends an ejection and forgets what led to it: the endpoint is known
// to have started anew.
func (e *Endpoint) Reinstate() {
	e.failures.Store(0)
	e.ejections.Store(0)
	e.ejectedUntil.Store(0)
}

func (s *Set) mayEject(now time.Duration) bool {
	return (s.countEjected(now)+1)*100 <= len(s.endpoints)*s.ejection.MaximumPercent
}

// length doubles with each consecutive ejection, counted from one.
func (e EjectionPolicy) length(ejections int32) time.Duration {
	length := e.BaseTime
	for range ejections - 1 {
		length *= 2
		if length >= e.MaximumTime {
			return e.MaximumTime
		}
	}
	return length
}
