package sidecar

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/exchange"
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
	// versionPatiencePerNode is added to it for each node that is known: the store needs 2 ms to
	// send 0.25 MB to one over 1,000 Mbit/s, so that where all start and all read the last one has it
	// no sooner than that.
	versionPatiencePerNode = 2 * time.Millisecond
	// firstMargin is how much longer than a heartbeat's interval, within which all back ends make
	// themselves known, nodes take to know each other where the whole system starts for the first
	// time. Before that nearly each node takes itself for one that reads. After as long again a node
	// without a configuration reads in any case.
	firstMargin = 2500 * time.Millisecond
	// watchShortest is the shortest time that a call waits, watchLongest the longest.
	watchShortest = 50 * time.Millisecond
	watchLongest  = 28 * time.Second
	// watchersLeast is for how many nodes that watch the calls of one are spread at least.
	watchersLeast = 2
)

// reads reports whether this node reads the store.
func (s *Sidecar) reads() bool {
	return readers.IsReader(s.members.View(), s.members.Own(), s.exchanger.Reachable)
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
	rank = slices.IndexFunc(reading, own.SameNode)
	return rank, rank >= 0 && rank < compactors
}

// follows reports whether this node is to follow the configuration in the store. A node
// that is leaving begins no new turn: where all nodes of a zone leave at once each would read
// the store once more for the rest of its time.
func (s *Sidecar) follows() bool {
	turn := s.hasTurn() && (s.following.Load() || !s.members.Own().Leaving)
	s.following.Store(turn)
	return turn
}

// hasTurn reports whether this node is one that follows the configuration in the store:
// while it has one, when it reads for others. One that has none yet waits a short
// time for those; longer where the whole system starts for the first time, since
// nobody calls so early.
func (s *Sidecar) hasTurn() bool {
	if s.keeper.Version() > 0 {
		return s.reads()
	}
	settings, joined, age := &s.options.Settings, s.joined.Load(), clock.Since(s.started)
	first := settings.HeartbeatInterval + firstMargin
	patience := versionPatience + time.Duration(s.members.View().Count())*versionPatiencePerNode
	switch {
	case joined != nil && clock.Since(*joined) >= patience && !settings.FirstStart:
		return true
	case age >= max(firstVersionPatience, first+firstMargin):
		return true
	case settings.FirstStart && age < first:
		return false
	case joined != nil:
		return s.reads()
	}
	return s.exchanger.HadContact() && s.reads()
}

// join tells the peers that were found in the store of this node, and asks some of
// them what they know. A node that goes on as an earlier life of it ended has nothing to tell; some
// peers hear that it is there.
func (s *Sidecar) join(resumed bool) {
	now := clock.Now()
	s.joined.CompareAndSwap(nil, &now)
	if resumed {
		go s.exchanger.AnnouncePresence(context.Background())
	} else {
		go s.spread(context.Background())
	}
	go s.exchanger.Greet(context.Background())
}

// WatchWait returns how long the next call of a watch is to wait. Calls of the nodes that watch end
// one after the other, at the distance after which proof would be asked for: events, which come to
// all at the same moment, begin the order, and it is kept while there are none.
func (s *Sidecar) WatchWait(first bool) time.Duration {
	rank, count := s.readingRank()
	spacing := exchange.ProofRefreshAge(s.options.Settings.applyBound())
	period := min(time.Duration(max(count, watchersLeast))*spacing, watchLongest)
	if first {
		return watchShortest + min(time.Duration(rank)*spacing, period)
	}
	return period
}

// readingRank returns the node's place among those of all zones that read the store, and how many
// these are: an order on which nodes with the same view agree.
func (s *Sidecar) readingRank() (rank, count int) {
	reading := s.reading()
	own := s.members.Own()
	for _, record := range reading {
		if record.Node < own.Node {
			rank++
		}
	}
	return rank, len(reading)
}
