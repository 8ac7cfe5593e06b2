package ratelimit

import (
	"sync"
	"time"
)

// Belief is what a node knows of a back end's limit by the replies of the node beside it. It counts the
// node's own requests; those of others show in the next reply. It is safe for concurrent use.
type Belief struct {
	mu sync.Mutex // guards all below
	// rooms are by class: none has more than those before it.
	rooms [classes]bucket
	// turn is the next time that no caller was told yet.
	turn time.Time
}

// NewBelief returns what a reply to a request of the class says.
func NewBelief(perSecond, room float64, class Class, now time.Time) *Belief {
	created := &Belief{}
	for i := range created.rooms {
		created.rooms[i] = bucket{at: now, tokens: room}
		if Class(i) < class {
			created.rooms[i].tokens = max(room, 1)
		}
		created.rooms[i].setRate(perSecond, now)
	}
	return created
}

// Told takes in a reply to a request of the class: the rate, and how many requests like it may pass.
func (b *Belief) Told(perSecond, room float64, class Class, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.rooms {
		held := &b.rooms[i]
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

// Sent counts a request of the class.
func (b *Belief) Sent(class Class, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := class; i < classes; i++ {
		b.rooms[i].refill(now)
		b.rooms[i].tokens--
	}
}

// Wait returns the time until there is likely to be room for a request of the class.
func (b *Belief) Wait(class Class, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rooms[class].wait(1, now)
}

// Turn returns the wait that a caller is told whose request of the class is refused. Each is told a
// time of its own.
func (b *Belief) Turn(class Class, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := now.Add(b.rooms[class].wait(1, now))
	if b.turn.After(at) {
		at = b.turn
	}
	if last := now.Add(mostPromise); at.After(last) {
		at = last
	}
	b.turn = at.Add(b.rooms[class].interval())
	return at.Sub(now)
}
