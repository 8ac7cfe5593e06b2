package balance

import "time"

// EjectionPolicy determines when and for how long failing endpoints are excluded from load
// balancing.
type EjectionPolicy struct {
	// ConsecutiveFailures is the number of consecutive failures after which an endpoint is
	// ejected.
	ConsecutiveFailures int
	// BaseTime is the duration of the first ejection. Each consecutive one takes twice as long,
	// up to MaximumTime.
	BaseTime, MaximumTime time.Duration
	// MaximumPercent limits the share of a set that is ejected at the same time, so that a fault
	// on the caller's side does not empty the set.
	MaximumPercent int
}

// DefaultEjectionPolicy returns a policy for services with few endpoints.
func DefaultEjectionPolicy() EjectionPolicy {
	return EjectionPolicy{ConsecutiveFailures: 5, BaseTime: time.Second, MaximumTime: 30 * time.Second, MaximumPercent: 50}
}

// FailureKind classifies a failure by its severity.
type FailureKind int

// Kinds of failures that may eject an endpoint.
const (
	// FailureIncomplete is a response that was lost or truncated.
	FailureIncomplete FailureKind = iota
	// FailureUnreachable is a connection that could not be opened. A single one ejects the
	// endpoint, since nothing listens at its address.
	FailureUnreachable
)

// RecordFailure records a failure of an endpoint of the set and reports whether it ejected the
// endpoint.
func (s *Set) RecordFailure(now time.Duration, failed *Endpoint, kind FailureKind) bool {
	consecutive := failed.failures.Add(1)
	if kind == FailureIncomplete && int(consecutive) < s.ejection.ConsecutiveFailures {
		return false
	}
	if failed.Ejected(now) || !s.canEject(now) {
		return false
	}
	duration := s.ejection.duration(failed.ejections.Add(1))
	failed.ejectedUntil.Store(int64(now + duration))
	failed.failures.Store(0)
	return true
}

// Reinstate ends an ejection and resets the counts of failures and ejections. It is meant for an
// endpoint that is known to have restarted.
func (e *Endpoint) Reinstate() {
	e.failures.Store(0)
	e.ejections.Store(0)
	e.ejectedUntil.Store(0)
}

// canEject reports whether another ejection stays within MaximumPercent.
func (s *Set) canEject(now time.Duration) bool {
	return (s.countEjected(now)+1)*100 <= len(s.endpoints)*s.ejection.MaximumPercent
}

// duration returns the duration of the given consecutive ejection, counted from one. It doubles
// with each.
func (e EjectionPolicy) duration(ejections int32) time.Duration {
	duration := e.BaseTime
	for range ejections - 1 {
		duration *= 2
		if duration >= e.MaximumTime {
			return e.MaximumTime
		}
	}
	return duration
}
