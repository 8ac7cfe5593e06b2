package lending

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// membersPerGranter is how many nodes there are for each granter, mostGranters the most
	// granters. Each node keeps its shares lent to all of them.
	membersPerGranter = 16
	maxGranters       = 16
)

// SelectGranters returns the nodes that give out tokens, by their names: those with the fastest links.
// The package is right whatever each node takes for granters; where they agree no share is idle.
func SelectGranters(view *roster.View, usable readers.Reachable) []*roster.Record {
	var eligible []*roster.Record
	for _, record := range view.Records() {
		if !record.Leaving && !record.Gone() && record.PeerAddress != "" && usable(record) {
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

// GranterOf returns the one of the granters that gives out an account's tokens, nil when there are
// none. When one goes, the others keep their accounts.
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
