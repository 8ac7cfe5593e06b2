package ratelimit

import (
	"sync"
	"time"
)

// Estimate is a node's estimate of a back end's rate limit, based on the responses of the node beside it.
// It counts the requests of this node; those of others become visible with the next response. It is safe
// for concurrent use.
type Estimate struct {
	mu sync.Mutex // guards all below
	// buckets are indexed by class; none holds more tokens than those before it.
	buckets [classes]bucket
	// nextRetry is the earliest retry time that no caller was given yet.
	nextRetry time.Time
}

// NewEstimate returns the estimate after a first response to a request of the class.
func NewEstimate(perSecond, remaining float64, class Class, now time.Time) *Estimate {
	estimate := &Estimate{}
	for i := range estimate.buckets {
		estimate.buckets[i] = bucket{updated: now, tokens: remaining}
		if Class(i) < class {
			estimate.buckets[i].tokens = max(remaining, 1)
		}
		estimate.buckets[i].setRate(perSecond, now)
	}
	return estimate
}

// Update applies a response to a request of the class: the rate, and the remaining number of requests of
// that class.
func (e *Estimate) Update(perSecond, remaining float64, class Class, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.buckets {
		classBucket := &e.buckets[i]
		classBucket.setRate(perSecond, now)
		switch {
		case Class(i) < class:
			classBucket.tokens = max(classBucket.tokens, remaining)
		case Class(i) == class:
			classBucket.tokens = remaining
		default:
			classBucket.tokens = min(classBucket.tokens, remaining)
		}
		classBucket.tokens = min(classBucket.tokens, classBucket.size)
	}
}

// Consume counts a request of the class.
func (e *Estimate) Consume(class Class, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := class; i < classes; i++ {
		e.buckets[i].refill(now)
		e.buckets[i].tokens--
	}
}

// Wait returns the estimated time until the limit allows a request of the class.
func (e *Estimate) Wait(class Class, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.buckets[class].wait(1, now)
}

// RetryAfter returns the retry delay for a caller whose request of the class is refused. Each caller gets
// a different retry time.
func (e *Estimate) RetryAfter(class Class, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := e.retryAt(class, now)
	e.nextRetry = at.Add(e.buckets[class].interval())
	return at.Sub(now)
}

// NextRetryAfter returns the delay that RetryAfter would return.
func (e *Estimate) NextRetryAfter(class Class, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryAt(class, now).Sub(now)
}

// retryAt returns the earliest retry time that no caller was given yet; the lock is held.
func (e *Estimate) retryAt(class Class, now time.Time) time.Time {
	at := now.Add(e.buckets[class].wait(1, now))
	if e.nextRetry.After(at) {
		at = e.nextRetry
	}
	if last := now.Add(maxRetryAfter); at.After(last) {
		at = last
	}
	return at
}
