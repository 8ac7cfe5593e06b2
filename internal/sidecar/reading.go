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
	// initialConfigurationWait is how long a node without a configuration leaves the store
	// alone while it has found nobody, or while the whole system starts for the first
	// time and it is not one to read.
	initialConfigurationWait = 5 * time.Second
	// peerConfigurationWait is how long a node that has started, and has found others, waits
	// for one of them to bring the configuration before it reads the store itself. After
	// a restart of 195 nodes most had 0.5 MB of it within 0.42 s of their start so; the
	// store needs 0.8 s to send that to each over 1,000 Mbit/s.
	peerConfigurationWait = 400 * time.Millisecond
	// peerConfigurationWaitPerNode is added to it for each node that is known: the store needs 2 ms to
	// send 0.25 MB to one over 1,000 Mbit/s, so that where all start and all read the last one has it
	// no sooner than that.
	peerConfigurationWaitPerNode = 2 * time.Millisecond
	// firstStartMargin is how much longer than a heartbeat's interval, within which all back ends make
	// themselves known, nodes take to know each other where the whole system starts for the first
	// time. Before that nearly each node takes itself for one that reads. After as long again a node
	// without a configuration reads in any case.
	firstStartMargin = 2500 * time.Millisecond
	// minWatchTimeout is the shortest time that a call waits, watchLongest the longest.
	minWatchTimeout = 50 * time.Millisecond
	maxWatchTimeout = 28 * time.Second
	// minWatchers is for how many nodes that watch the calls of one are spread at least.
	minWatchers = 2
)

// isReader reports whether this node isReader the store.
func (s *Sidecar) isReader() bool {
	return readers.IsReader(s.members.View(), s.members.Own(), s.exchanger.Usable)
}

// maxCompactors is how many of the nodes that read the store keep the snapshot of all records, one
// after the other.
const maxCompactors = 3

// compactionRank is the node's place among them: those that read, in an order on which nodes with the
// same view agree.
func (s *Sidecar) compactionRank() (rank int, ranked bool) {
	own := s.members.Own()
	storeReaders := s.storeReaders()
	slices.SortFunc(storeReaders, func(a, b *roster.Record) int { return cmp.Compare(a.Node, b.Node) })
	rank = slices.IndexFunc(storeReaders, own.SameNode)
	return rank, rank >= 0 && rank < maxCompactors
}

// followsConfiguration reports whether this node is to follow the configuration in the store. A node
// that is leaving begins no new turn: where all nodes of a zone leave at once each would read
// the store once more for the rest of its time.
func (s *Sidecar) followsConfiguration() bool {
	selected := s.selectedToFollow() && (s.following.Load() || !s.members.Own().Leaving)
	s.following.Store(selected)
	return selected
}

// selectedToFollow reports whether this node is one that follows the configuration in the store:
// while it has one, when it reads for others. One that has none yet waits a short
// time for those; longer where the whole system starts for the first time, since
// nobody calls so early.
func (s *Sidecar) selectedToFollow() bool {
	if s.keeper.Version() > 0 {
		return s.isReader()
	}
	settings, peersDiscovered, age := &s.options.Settings, s.peersDiscovered.Load(), clock.Since(s.started)
	discoveryTime := settings.HeartbeatInterval + firstStartMargin
	configurationWait := peerConfigurationWait + time.Duration(s.members.View().Count())*peerConfigurationWaitPerNode
	switch {
	case peersDiscovered != nil && clock.Since(*peersDiscovered) >= configurationWait && !settings.FirstStart:
		return true
	case age >= max(initialConfigurationWait, discoveryTime+firstStartMargin):
		return true
	case settings.FirstStart && age < discoveryTime:
		return false
	case peersDiscovered != nil:
		return s.isReader()
	}
	return s.exchanger.Met() && s.isReader()
}

// handlePeersDiscovered tells the peers that were found in the store of this node, and asks some of
// them what they know. A node that goes on as an earlier life of it ended has nothing to tell; some
// peers hear that it is there.
func (s *Sidecar) handlePeersDiscovered(resumed bool) {
	now := clock.Now()
	s.peersDiscovered.CompareAndSwap(nil, &now)
	if resumed {
		go s.exchanger.AnnouncePresence(context.Background())
	} else {
		go s.broadcastRecord(context.Background())
	}
	go s.exchanger.Greet(context.Background())
}

// WatchTimeout returns how long the next call of a watch is to wait. Calls of the nodes that watch end
// one after the other, at the distance after which proof would be asked for: events, which come to
// all at the same moment, begin the order, and it is kept while there are none.
func (s *Sidecar) WatchTimeout(first bool) time.Duration {
	rank, count := s.readerRank()
	spacing := exchange.ProofRefreshAge(s.options.Settings.applyBound())
	period := min(time.Duration(max(count, minWatchers))*spacing, maxWatchTimeout)
	if first {
		return minWatchTimeout + min(time.Duration(rank)*spacing, period)
	}
	return period
}

// readerRank returns the node's place among those of all zones that read the store, and how many
// these are: an order on which nodes with the same view agree.
func (s *Sidecar) readerRank() (rank, count int) {
	storeReaders := s.storeReaders()
	own := s.members.Own()
	for _, record := range storeReaders {
		if record.Node < own.Node {
			rank++
		}
	}
	return rank, len(storeReaders)
}
