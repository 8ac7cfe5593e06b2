package lending

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// There is one granter per membersPerGranter nodes, and at most maxGranters: each node keeps
	// its shares lent to all granters.
	membersPerGranter = 16
	maxGranters       = 16
)

// SelectGranters returns the granters, sorted by name: the usable nodes with the fastest links.
// Nodes need not agree on the granters for the limits to hold; where they agree, no share is idle.
func SelectGranters(view *roster.View, reachable readers.Reachable) []*roster.Record {
	var eligible []*roster.Record
	for _, record := range view.Records() {
		if !record.Leaving && !record.Gone() && record.PeerAddress != "" && reachable(record) {
			eligible = append(eligible, record)
		}
	}
	count := min((len(eligible)+membersPerGranter-1)/membersPerGranter, maxGranters)
	slices.SortFunc(eligible, func(a, b *roster.Record) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(xxhash.Sum64String(a.Node), xxhash.Sum64String(b.Node)))
	})
	chosen := eligible[:count]
	slices.SortFunc(chosen, func(a, b *roster.Record) int { return cmp.Compare(a.Node, b.Node) })
	return chosen
}

// GranterOf returns the granter of an account, or nil if there are no granters. It uses rendezvous
// hashing: when a granter leaves, only its own accounts move.
func GranterOf(account string, granters []*roster.Record) *roster.Record {
	var best *roster.Record
	highest := uint64(0)
	for _, granter := range granters {
		if hash := xxhash.Sum64String(account + "\x00" + granter.Node); best == nil || hash > highest {
			best, highest = granter, hash
		}
	}
	return best
}
