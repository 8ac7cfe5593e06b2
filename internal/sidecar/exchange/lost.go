package exchange

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// lostRetention is how long a peer that did not answer is tried more often.
	lostRetention = 30 * time.Second
	// lostShare is the part of the exchanges that go to lost peers where there
	// are few nodes; with many it falls, so that all together try a lost peer
	// about lostTries times an interval.
	lostShare = 0.5
	lostTriesPerInterval = 6
)

// lostPeers remembers peers that did not answer. One that comes back while the
// store is down knows nobody: it has to be found.
type lostPeers struct {
	mutex sync.Mutex // guards since
	since map[string]time.Time
}

// add notes that a peer did not answer.
func (l *lostPeers) add(node string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.since == nil {
		l.since = map[string]time.Time{}
	}
	if _, known := l.since[node]; !known {
		l.since[node] = now
	}
}

// remove notes that a peer has answered.
func (l *lostPeers) remove(node string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.since, node)
}

// contains reports whether a peer did not answer and has not answered since.
func (l *lostPeers) contains(node string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, lost := l.since[node]
	return lost
}

// pick returns a random lost peer of the view, or nil.
func (l *lostPeers) pick(view *roster.View, now time.Time) *roster.Record {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var candidates []*roster.Record
	for node, since := range l.since {
		record := view.Record(node)
		if now.Sub(since) > lostRetention || record == nil {
			delete(l.since, node)
			continue
		}
		candidates = append(candidates, record)
	}
	if len(candidates) == 0 {
		return nil
	}
	share := min(lostShare, lostTriesPerInterval*float64(len(candidates))/float64(view.Count()))
	if rand.Float64() >= share {
		return nil
	}
	return candidates[rand.N(len(candidates))]
}
