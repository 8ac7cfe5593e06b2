package ratelimit

import (
	"maps"
	"time"
)

// Class orders requests by urgency, the most urgent first. Room that a class has, those before it have
// as well.
type Class int

// classes is how many there are.
const classes = 8

// ClassOf returns the class of a request of that priority, zero for the most urgent one. Nested calls
// come before all others.
func ClassOf(nested bool, priority int) Class {
	if nested {
		return 0
	}
	return Class(min(max(priority, 0)+1, classes-1))
}

const (
	// mostPromise is the longest time that is told: a limit may end sooner than its requests are due.
	mostPromise = 30 * time.Second
	// mostPromises bounds the peers that are remembered.
	mostPromises = 4096
)

// promises are the times at which peers were told that there will be room.
type promises struct {
	// latest is the last time that was told to a request of the class.
	latest [classes]time.Time
	// byPeer holds the time that a peer was told; times that have passed say nothing.
	byPeer map[promised]time.Time
}

// promised names who was told a time.
type promised struct {
	peer  string
	class Class
}

// next returns the wait to tell a peer whose request could pass after the least wait.
func (p *promises) next(peer string, class Class, least, interval time.Duration, now time.Time) time.Duration {
	key, at := promised{peer, class}, now.Add(least)
	if told, known := p.byPeer[key]; known && !told.Before(at) {
		return told.Sub(now)
	}
	for _, told := range p.latest[:class+1] {
		if following := told.Add(interval); following.After(at) {
			at = following
		}
	}
	if last := now.Add(mostPromise); at.After(last) {
		at = last
	}
	p.latest[class] = at
	p.remember(key, at, now)
	return at.Sub(now)
}

// outstanding reports whether a request of the class, or a more urgent one, was told a time to come.
func (p *promises) outstanding(class Class, now time.Time) bool {
	for _, told := range p.latest[:class+1] {
		if told.After(now) {
			return true
		}
	}
	return false
}

func (p *promises) remember(key promised, at, now time.Time) {
	if len(p.byPeer) >= mostPromises {
		maps.DeleteFunc(p.byPeer, func(_ promised, told time.Time) bool { return told.Before(now) })
	}
	if len(p.byPeer) >= mostPromises {
		p.byPeer = nil
	}
	if p.byPeer == nil {
		p.byPeer = map[promised]time.Time{}
	}
	p.byPeer[key] = at
}
