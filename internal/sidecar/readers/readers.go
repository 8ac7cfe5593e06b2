// Package readers decides which nodes read the store: a few in each zone. The others
// take what these read from them.
// The package is pure: each node decides by its own view, and when views differ
// a node too many reads.
package readers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// least is how many nodes read at least, those of all zones together: where the
	// store turns every third one away, all of them are among those in one of 700
	// cases. A zone whose readers are lost or refused hears from those of others.
	least = 6
	// share is the number of a zone's nodes for each of which one reads: so many
	// peers a reader tells of each change.
	share = 32
)

// Usable reports whether a node is believed to be there.
type Usable func(*roster.Record) bool

// Count returns how many of that many nodes of a zone read, where there are that
// many zones.
func Count(nodes, zones int) int {
	wanted := max((least+zones-1)/max(zones, 1), (nodes+share-1)/share)
	return min(wanted, nodes)
}

// ranked is a node with the hash of its name, which is worked out once: a node ranks its zone four
// times a second and more.
type ranked struct {
	record *roster.Record
	hash   uint64
}

// Zone divides the nodes of one zone: those that read, in order, and the others
// in the order of their names. Nodes that are not usable are in neither. Of two
// nodes the one with the faster link reads.
func Zone(view *roster.View, zone string, usable Usable) (reading, others []*roster.Record) {
	records := view.Zone(zone)
	ranking := make([]ranked, 0, len(records))
	for _, record := range records {
		if !record.Leaving && !record.Gone() && usable(record) {
			ranking = append(ranking, ranked{record: record, hash: xxhash.Sum64String(record.Node)})
		}
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.record.Link, a.record.Link), cmp.Compare(a.hash, b.hash))
	})
	all := make([]*roster.Record, len(ranking))
	for i := range ranking {
		all[i] = ranking[i].record
	}
	count := Count(len(all), len(view.Zones()))
	reading, others = all[:count], all[count:]
	slices.SortFunc(others, func(a, b *roster.Record) int { return cmp.Compare(a.Node, b.Node) })
	return reading, others
}

// All returns the nodes of all zones that read.
func All(view *roster.View, usable Usable) (reading []*roster.Record) {
	for _, zone := range view.Zones() {
		near, _ := Zone(view, zone, usable)
		reading = append(reading, near...)
	}
	return reading
}

// Reads reports whether the node is among those of its zone that read. A node that
// is leaving, or whose back end is gone, hears from its peers until its end, unless
// there is none to read.
func Reads(view *roster.View, own *roster.Record, usable Usable) bool {
	reading, _ := Zone(view, own.Zone, usable)
	return len(reading) == 0 || slices.ContainsFunc(reading, own.SameNode)
}

// Told returns the nodes that the given one is to tell of what it has read: of
// those in its zone that do not read, each is told by one reader.
func Told(view *roster.View, own *roster.Record, usable Usable) []*roster.Record {
	reading, others := Zone(view, own.Zone, usable)
	if !slices.ContainsFunc(reading, own.SameNode) {
		return nil
	}
	var told []*roster.Record
	for _, other := range others {
		if tellerOf(other, reading).SameNode(own) {
			told = append(told, other)
		}
	}
	return told
}

// tellerOf returns the reader that tells a node: the one with the highest hash of both names.
// Views that differ in a node or a reader so agree on all others; by places in a list one node
// more in a reader's view left half of the zone with nobody who told it.
func tellerOf(node *roster.Record, reading []*roster.Record) *roster.Record {
	return slices.MaxFunc(reading, func(a, b *roster.Record) int {
		return cmp.Compare(xxhash.Sum64String(a.Node+"\x00"+node.Node), xxhash.Sum64String(b.Node+"\x00"+node.Node))
	})
}

// Teller returns the reader that tells the given node, nil when the node reads
// itself.
func Teller(view *roster.View, own *roster.Record, usable Usable) *roster.Record {
	reading, others := Zone(view, own.Zone, usable)
	if slices.ContainsFunc(others, own.SameNode) && len(reading) > 0 {
		return tellerOf(own, reading)
	}
	return nil
}
