package ratelimit

import (
	"maps"
	"time"
)

// Class orders requests by urgency, the most urgent first. Capacity that is available to a class is
// available to all more urgent ones as well.
type Class int

// classes is the number of classes.
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
	// maxRetryAfter bounds the retry delay: a limit may end before its requests are due.
	maxRetryAfter = 30 * time.Second
	// maxPeers bounds the number of peers remembered.
	maxPeers = 4096
)

// schedule assigns retry times to peers.
type schedule struct {
	// latest is the last retry time assigned to a request of each class.
	latest [classes]time.Time
	// byPeer holds the retry time assigned to each peer; times that have passed are ignored.
	byPeer map[peerClass]time.Time
}

// peerClass is a peer and the class of its request.
type peerClass struct {
	peer  string
	class Class
}

// next returns the retry delay for a peer whose request could pass after minWait at the earliest.
func (s *schedule) next(peer string, class Class, minWait, interval time.Duration, now time.Time) time.Duration {
	key, at := peerClass{peer, class}, now.Add(minWait)
	if scheduled, known := s.byPeer[key]; known && !scheduled.Before(at) {
		return scheduled.Sub(now)
	}
	for _, scheduled := range s.latest[:class+1] {
		if following := scheduled.Add(interval); following.After(at) {
			at = following
		}
	}
	if last := now.Add(maxRetryAfter); at.After(last) {
		at = last
	}
	s.latest[class] = at
	s.remember(key, at, now)
	return at.Sub(now)
}

// outstanding reports whether a request of the class, or a more urgent one, was assigned a retry time in
// the future.
func (s *schedule) outstanding(class Class, now time.Time) bool {
	for _, scheduled := range s.latest[:class+1] {
		if scheduled.After(now) {
			return true
		}
	}
	return false
}

func (s *schedule) remember(key peerClass, at, now time.Time) {
	if len(s.byPeer) >= maxPeers {
		maps.DeleteFunc(s.byPeer, func(_ peerClass, scheduled time.Time) bool { return scheduled.Before(now) })
	}
	if len(s.byPeer) >= maxPeers {
		s.byPeer = nil
	}
	if s.byPeer == nil {
		s.byPeer = map[peerClass]time.Time{}
	}
	s.byPeer[key] = at
}
