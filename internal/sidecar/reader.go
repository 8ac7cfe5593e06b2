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
	// initialConfigurationWait is the time for which a node without a configuration does not read
	// it from the store if it has discovered no peers, or if the whole system starts for the first
	// time and the node is not selected as a reader.
	initialConfigurationWait = 5 * time.Second
	// peerConfigurationWait is the time for which a started node that has discovered peers waits to
	// receive the configuration from one of them before it reads the store itself. The store needs
	// 0.8 s to send a configuration of 0.5 MB to 195 nodes over 1,000 Mbit/s.
	peerConfigurationWait = 400 * time.Millisecond
	// peerConfigurationWaitPerNode is added to peerConfigurationWait for each known node. The
	// store needs 2 ms to send 0.25 MB to one node over 1,000 Mbit/s, so if all nodes start and
	// read the store, the last one receives the configuration no sooner than after this time.
	peerConfigurationWaitPerNode = 2 * time.Millisecond
	// firstStartMargin is the time that nodes need beyond the heartbeat interval, in which every
	// back end sends its first heartbeat, to learn of each other at the first start of the whole
	// system. Before that nearly every node considers itself a reader. After the margin has passed
	// once more, a node without a configuration reads the store in any case.
	firstStartMargin = 2500 * time.Millisecond
	// minWatchTimeout and maxWatchTimeout bound the timeout of a watch call.
	minWatchTimeout = 50 * time.Millisecond
	maxWatchTimeout = 28 * time.Second
	// minWatchers is the minimum number of watching nodes that WatchTimeout assumes.
	minWatchers = 2
)

// isReader reports whether this node reads the store for others.
func (s *Sidecar) isReader() bool {
	return readers.IsReader(s.members.View(), s.members.Own(), s.exchanger.Reachable)
}

// maxCompactors is the maximum number of nodes among the store readers that maintain the snapshot
// of all records; each takes over from the one before.
const maxCompactors = 3

// compactionRank returns the node's rank among the nodes that maintain the snapshot, and whether it
// is one of them. They are the first store readers by name, an order on which nodes with the same
// view agree.
func (s *Sidecar) compactionRank() (rank int, ranked bool) {
	own := s.members.Own()
	storeReaders := s.storeReaders()
	slices.SortFunc(storeReaders, func(a, b *roster.Record) int { return cmp.Compare(a.Node, b.Node) })
	rank = slices.IndexFunc(storeReaders, own.SameNode)
	return rank, rank >= 0 && rank < maxCompactors
}

// followsConfiguration reports whether this node should follow the configuration in the store. A
// leaving node does not start to: if all nodes of a zone leave at once, the role passes from one to
// the next, and each would read the store once more in its remaining time.
func (s *Sidecar) followsConfiguration() bool {
	selected := s.selectedToFollow() && (s.following.Load() || !s.members.Own().Leaving)
	s.following.Store(selected)
	return selected
}

// selectedToFollow reports whether this node is selected to follow the configuration in the store.
// With a configuration, it is while it reads the store for others. Without one, it first waits a
// short time for the readers; longer at the first start of the whole system, since no calls arrive
// so early.
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
	return s.exchanger.HadContact() && s.isReader()
}

// handlePeersDiscovered announces this node to the peers found in the store and exchanges state with
// some of them. A node that resumed the record of its previous run unchanged has nothing new to
// send; it only notifies some peers that it is reachable.
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

// WatchTimeout returns the timeout of the next call of a watch. The calls of the watching nodes end
// one after another, spaced by the age at which a newer proof would be requested. Since an event
// reaches all nodes at the same moment, each call after an event starts this order anew, offset by
// the node's rank, and equal timeouts keep it while there are no events.
func (s *Sidecar) WatchTimeout(first bool) time.Duration {
	rank, count := s.readerRank()
	spacing := exchange.ProofRefreshAge(s.options.Settings.applyBound())
	period := min(time.Duration(max(count, minWatchers))*spacing, maxWatchTimeout)
	if first {
		return minWatchTimeout + min(time.Duration(rank)*spacing, period)
	}
	return period
}

// readerRank returns the node's rank among the nodes of all zones that read the store, and their
// number. Nodes with the same view agree on the order.
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
