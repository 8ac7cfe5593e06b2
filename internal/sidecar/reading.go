package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
)

const (
	// firstVersionPatience is how long, at the first start of the whole system, a
	// node that is not one to read the configuration waits for a peer to bring it.
	firstVersionPatience = 5 * time.Second
	// watchWaitPerReader, watchWaitLeast and watchWaitMost say how long one call
	// of a watch waits at most: a watch may miss an event unheard, so that of all
	// nodes that read some one should ask anew about three times a second.
	watchWaitPerReader = 700 * time.Millisecond
	watchWaitLeast     = 4 * time.Second
	watchWaitMost      = 28 * time.Second
)

// reads reports whether this node reads the store.
func (s *Sidecar) reads() bool {
	return readers.Reads(s.members.View(), s.members.Own(), s.exchanger.Usable)
}

// follows reports whether this node is to follow the configuration in the store. One
// that has none yet does, so that it serves soon. Only where the whole system starts
// for the first time nobody comes so early: those read whose turn it is, once the
// nodes know each other.
func (s *Sidecar) follows() bool {
	switch {
	case s.keeper.Version() > 0:
		return s.reads()
	case s.options.Settings.FirstStart && time.Since(s.started) < firstVersionPatience:
		return (s.joined.Load() || s.exchanger.Met()) && s.reads()
	}
	return true
}

// join tells the peers that were found in the store of this node.
func (s *Sidecar) join() {
	s.joined.Store(true)
	go s.spread(context.Background())
}

// WatchWait returns how long the next call of a watch is to wait.
func (s *Sidecar) WatchWait() time.Duration {
	reading := time.Duration(readers.Total(s.members.View()))
	wait := min(max(reading*watchWaitPerReader, watchWaitLeast), watchWaitMost)
	const leastShare = 12
	return wait/leastShare + rand.N(wait-wait/leastShare)
}
