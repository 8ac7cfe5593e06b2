package ratelimit

import (
	"sync"
	"time"
)

// Estimate is what a node knows of a back end's limit by the replies of the node beside it. It counts the
// node's own requests; those of others show in the next reply. It is safe for concurrent use.
type Estimate struct {
	mu sync.Mutex // guards all below
	// rooms are by class: none has more than those before it.
	rooms [classes]bucket
	// next is the first time that no caller was told yet.
	next time.Time
}

// NewEstimate returns what a reply to a request of the class says.
func NewEstimate(perSecond, room float64, class Class, now time.Time) *Estimate {
	created := &Estimate{}
	for i := range created.rooms {
		created.rooms[i] = bucket{at: now, tokens: room}
		if Class(i) < class {
			created.rooms[i].tokens = max(room, 1)
		}
		created.rooms[i].setRate(perSecond, now)
	}
	return created
}

// Update takes in a reply to a request of the class: the rate, and how many requests like it may pass.
func (e *Estimate) Update(perSecond, room float64, class Class, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.rooms {
		held := &e.rooms[i]
		held.setRate(perSecond, now)
		switch {
		case Class(i) < class:
			held.tokens = max(held.tokens, room)
		case Class(i) == class:
			held.tokens = room
		default:
			held.tokens = min(held.tokens, room)
		}
		held.tokens = min(held.tokens, held.size)
	}
}

// Consume counts a request of the class.
func (e *Estimate) Consume(class Class, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := class; i < classes; i++ {
		e.rooms[i].refill(now)
		e.rooms[i].tokens--
	}
}

// Wait returns the time until there is likely to be room for a request of the class.
func (e *Estimate) Wait(class Class, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rooms[class].wait(1, now)
}

// RetryAfter returns the wait that a caller is told whose request of the class is refused. Each is told a
// time of its own.
func (e *Estimate) RetryAfter(class Class, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := now.Add(e.rooms[class].wait(1, now))
	if e.next.After(at) {
		at = e.next
	}
	if last := now.Add(maxRetryAfter); at.After(last) {
		at = last
	}
	e.next = at.Add(e.rooms[class].interval())
	return at.Sub(now)
}
