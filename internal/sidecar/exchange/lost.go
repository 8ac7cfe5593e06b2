package exchange

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// lostRetention is the time for which a peer that did not respond is retried more often.
	lostRetention = 30 * time.Second
	// lostShare is the share of the exchanges that go to lost peers in a small fleet;
	// in a large one it falls, so that all nodes together try a lost peer about
	// lostTriesPerInterval times per interval.
	lostShare            = 0.5
	lostTriesPerInterval = 6
)

// lostPeers records the peers that did not respond. A peer that comes back while the
// store is unavailable knows no other node, so the others have to find it.
type lostPeers struct {
	mutex sync.Mutex // guards since
	since map[string]time.Time
}

// add records that a peer did not respond.
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

// remove records that a peer responded.
func (l *lostPeers) remove(node string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.since, node)
}

// contains reports whether a peer did not respond and has not responded since.
func (l *lostPeers) contains(node string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, lost := l.since[node]
	return lost
}

// pick returns a random lost peer of the view for a share of the calls, nil otherwise. It drops peers
// that are no longer retried.
func (l *lostPeers) pick(view *roster.View, now time.Time, random *rand.Rand) *roster.Record {
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
	if random.Float64() >= share {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *roster.Record) int { return cmp.Compare(a.Node, b.Node) })
	return candidates[random.IntN(len(candidates))]
}
