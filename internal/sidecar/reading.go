package sidecar

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// firstVersionPatience is how long a node without a configuration leaves the store
	// alone while it has found nobody, or while the whole system starts for the first
	// time and it is not one to read.
	firstVersionPatience = 5 * time.Second
	// versionPatience is how long a node that has started, and has found others, waits
	// for one of them to bring the configuration before it reads the store itself. After
	// a restart of 195 nodes most had 0.5 MB of it within 0.42 s of their start so; the
	// store needs 0.8 s to send that to each over 1,000 Mbit/s.
	versionPatience = 400 * time.Millisecond
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

// compactors is how many of the nodes that read the store keep the snapshot of all records, one
// after the other.
const compactors = 3

// compactRank is the node's place among them: those that read, in an order on which nodes with the
// same view agree.
func (s *Sidecar) compactRank() (rank int, ranked bool) {
	own := s.members.Own()
	reading := s.reading()
	slices.SortFunc(reading, func(a, b *roster.Record) int { return cmp.Compare(a.Node, b.Node) })
	rank = slices.IndexFunc(reading, own.Same)
	return rank, rank >= 0 && rank < compactors
}

// follows reports whether this node is to follow the configuration in the store:
// while it has one, when it reads for others. One that has none yet waits a short
// time for those; longer where the whole system starts for the first time, since
// nobody calls so early.
func (s *Sidecar) follows() bool {
	if s.keeper.Version() > 0 {
		return s.reads()
	}
	joined := s.joined.Load()
	switch {
	case joined != nil && clock.Since(*joined) >= versionPatience && !s.options.Settings.FirstStart:
		return true
	case clock.Since(s.started) >= firstVersionPatience:
		return true
	case joined != nil:
		return s.reads()
	}
	return s.exchanger.Met() && s.reads()
}

// join tells the peers that were found in the store of this node, and asks some of
// them what they know.
func (s *Sidecar) join() {
	now := clock.Now()
	s.joined.CompareAndSwap(nil, &now)
	go s.spread(context.Background())
	go s.exchanger.Greet(context.Background())
}

// WatchWait returns how long the next call of a watch is to wait.
func (s *Sidecar) WatchWait() time.Duration {
	reading := time.Duration(readers.Total(s.members.View()))
	wait := min(max(reading*watchWaitPerReader, watchWaitLeast), watchWaitMost)
	const leastShare = 12
	return wait/leastShare + rand.N(wait-wait/leastShare)
}
