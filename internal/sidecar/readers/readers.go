// Package readers selects the nodes that read the store: a few in each zone. The other
// nodes receive what these read from them.
// The package is pure: each node decides from its own view of the roster. When views
// differ, more nodes than necessary read.
package readers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// minReaders is the least number of readers in all zones together: if the store
	// refuses every third node, it refuses all six in one of 700 cases. A zone whose
	// readers are lost or refused is notified by readers of other zones.
	minReaders = 6
	// nodesPerReader is the number of a zone's nodes per reader, and thus about the number
	// of peers that a reader notifies of each change.
	nodesPerReader = 32
)

// Reachable reports whether a node is believed to be reachable.
type Reachable func(*roster.Record) bool

// Count returns the number of readers in a zone with the given number of nodes, one of
// the given number of zones.
func Count(nodes, zones int) int {
	wanted := max((minReaders+zones-1)/max(zones, 1), (nodes+nodesPerReader-1)/nodesPerReader)
	return min(wanted, nodes)
}

// rankedNode is a node with the hash of its name. The hash is computed once per ranking, since a node
// ranks its zone at least four times a second.
type rankedNode struct {
	record *roster.Record
	hash   uint64
}

// Zone divides the nodes of one zone into readers, ordered by rank, and others, ordered
// by name. Nodes that are leaving, gone or not reachable are in neither. Nodes with
// faster links are preferred as readers.
func Zone(view *roster.View, zone string, reachable Reachable) (reading, others []*roster.Record) {
	records := view.Zone(zone)
	ranking := make([]rankedNode, 0, len(records))
	for _, record := range records {
		if !record.Leaving && !record.Gone() && reachable(record) {
			ranking = append(ranking, rankedNode{record: record, hash: xxhash.Sum64String(record.Node)})
		}
	}
	slices.SortFunc(ranking, func(a, b rankedNode) int {
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

// All returns the readers of all zones.
func All(view *roster.View, reachable Reachable) (reading []*roster.Record) {
	for _, zone := range view.Zones() {
		near, _ := Zone(view, zone, reachable)
		reading = append(reading, near...)
	}
	return reading
}

// IsReader reports whether the node is a reader of its zone. A node that is leaving, or
// whose back end is gone, depends on the readers until it ends; it reads only when its
// zone has no reader.
func IsReader(view *roster.View, own *roster.Record, reachable Reachable) bool {
	reading, _ := Zone(view, own.Zone, reachable)
	return len(reading) == 0 || slices.ContainsFunc(reading, own.SameNode)
}

// AssignedNodes returns the nodes that the given one notifies of what it has read. Each
// node of a zone that is not a reader is assigned to one reader of the zone.
func AssignedNodes(view *roster.View, own *roster.Record, reachable Reachable) []*roster.Record {
	reading, others := Zone(view, own.Zone, reachable)
	if !slices.ContainsFunc(reading, own.SameNode) {
		return nil
	}
	var assigned []*roster.Record
	for _, other := range others {
		if assignedReader(other, reading).SameNode(own) {
			assigned = append(assigned, other)
		}
	}
	return assigned
}

// assignedReader returns the reader that notifies a node: the one with the highest hash of both names
// (rendezvous hashing). Views that differ in one node or reader thus agree on all other assignments.
// With assignment by list index, one more node in a reader's view left half of the zone without notices.
func assignedReader(node *roster.Record, reading []*roster.Record) *roster.Record {
	return slices.MaxFunc(reading, func(a, b *roster.Record) int {
		return cmp.Compare(xxhash.Sum64String(a.Node+"\x00"+node.Node), xxhash.Sum64String(b.Node+"\x00"+node.Node))
	})
}

// AssignedReader returns the reader that notifies the given node, nil when the node is a
// reader itself or its zone has none.
func AssignedReader(view *roster.View, own *roster.Record, reachable Reachable) *roster.Record {
	reading, others := Zone(view, own.Zone, reachable)
	if slices.ContainsFunc(others, own.SameNode) && len(reading) > 0 {
		return assignedReader(own, reading)
	}
	return nil
}
