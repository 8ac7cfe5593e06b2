package ratelimit

import (
	"sync"
	"time"
)

// Estimate is what a node knows of a back end's limit by the replies of the node beside it. It counts the
// node's own requests; those of others show in the next reply. It is safe for concurrent use.
type Estimate struct {
	mu sync.Mutex // guards all below
	// buckets are by class: none has more than those before it.
	buckets [classes]bucket
	// nextRetry is the first time that no caller was told yet.
	nextRetry time.Time
}

// NewEstimate returns what a reply to a request of the class says.
func NewEstimate(perSecond, room float64, class Class, now time.Time) *Estimate {
	estimate := &Estimate{}
	for i := range estimate.buckets {
		estimate.buckets[i] = bucket{updated: now, tokens: room}
		if Class(i) < class {
			estimate.buckets[i].tokens = max(room, 1)
		}
		estimate.buckets[i].setRate(perSecond, now)
	}
	return estimate
}

// Update takes in a reply to a request of the class: the rate, and how many requests like it may pass.
func (e *Estimate) Update(perSecond, room float64, class Class, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.buckets {
		classBucket := &e.buckets[i]
		classBucket.setRate(perSecond, now)
		switch {
		case Class(i) < class:
			classBucket.tokens = max(classBucket.tokens, room)
		case Class(i) == class:
			classBucket.tokens = room
		default:
			classBucket.tokens = min(classBucket.tokens, room)
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

// Wait returns the time until there is likely to be room for a request of the class.
func (e *Estimate) Wait(class Class, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.buckets[class].wait(1, now)
}

// RetryAfter returns the wait that a caller is told whose request of the class is refused. Each is told a
// time of its own.
func (e *Estimate) RetryAfter(class Class, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := now.Add(e.buckets[class].wait(1, now))
	if e.nextRetry.After(at) {
		at = e.nextRetry
	}
	if last := now.Add(maxRetryAfter); at.After(last) {
		at = last
	}
	e.nextRetry = at.Add(e.buckets[class].interval())
	return at.Sub(now)
}
