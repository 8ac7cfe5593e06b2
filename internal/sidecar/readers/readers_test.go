package readers_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

func all(*roster.Record) bool { return true }

// zoneOf returns the view of a zone with the given number of nodes.
func zoneOf(nodes int, change func(i int, record *roster.Record)) *roster.View {
	records := make([]*roster.Record, nodes)
	for i := range records {
		records[i] = &roster.Record{Node: fmt.Sprint("node-", i), Epoch: 1, Counter: 1, Zone: "z"}
		if change != nil {
			change(i, records[i])
		}
	}
	members := roster.New(*records[0])
	members.Merge(records[1:])
	return members.View()
}

func TestReaderCount(t *testing.T) {
	for _, zone := range []struct{ nodes, zones, want int }{
		{0, 1, 0}, {1, 1, 1}, {4, 1, 4}, {18, 1, 6}, {192, 1, 6}, {193, 1, 7},
		{5, 3, 2}, {25, 3, 2}, {17, 4, 2}, {33, 6, 2}, {32, 6, 1}, {1, 6, 1}, {1347, 11, 43},
	} {
		NewWithT(t).Expect(readers.Count(zone.nodes, zone.zones)).To(Equal(zone.want), fmt.Sprint(zone))
	}
}

// TestEveryNodeReadsOrHasOneReader checks that each node either is a reader or is assigned to
// exactly one, whichever nodes are lost.
func TestEveryNodeReadsOrHasOneReader(t *testing.T) {
	for lost := range 8 {
		g := NewWithT(t)
		view := zoneOf(20, nil)
		reachable := func(record *roster.Record) bool {
			var i int
			_, _ = fmt.Sscanf(record.Node, "node-%d", &i)
			return i >= lost
		}
		served := map[string]int{}
		for _, record := range view.Zone("z")[0:] {
			if !reachable(record) {
				continue
			}
			if readers.IsReader(view, record, reachable) {
				served[record.Node]++
				g.Expect(readers.AssignedReader(view, record, reachable)).To(BeNil())
			}
			for _, assigned := range readers.AssignedNodes(view, record, reachable) {
				served[assigned.Node]++
				g.Expect(readers.AssignedReader(view, assigned, reachable)).To(BeIdenticalTo(record))
			}
		}
		g.Expect(served).To(HaveLen(20 - lost))
		for node, times := range served {
			g.Expect(times).To(Equal(1), node)
		}
	}
}

func TestReadersPreferFastLinks(t *testing.T) {
	g := NewWithT(t)
	view := zoneOf(20, func(i int, record *roster.Record) {
		switch i {
		case 3, 7:
			record.Link = 200
		case 11:
			record.Link, record.Leaving = 200, true
		case 13:
			record.Link, record.Endpoint = 200, &roster.Endpoint{State: roster.Gone}
		default:
			record.Link = 10
		}
	})
	reading, others := readers.Zone(view, "z", all)
	g.Expect(reading).To(HaveLen(6))
	g.Expect(others).To(HaveLen(12))
	g.Expect([]string{reading[0].Node, reading[1].Node}).To(ConsistOf("node-3", "node-7"), "faster links first")
	g.Expect(readers.IsReader(view, view.Record("node-11"), all)).To(BeFalse(), "a leaving node is not a reader")
	g.Expect(readers.AssignedNodes(view, view.Record("node-11"), all)).To(BeEmpty())
	g.Expect(readers.All(view, all)).To(HaveLen(6))
}

// TestLostReaderIsReplaced checks that the next node in rank replaces a lost reader, and that the
// other readers remain.
func TestLostReaderIsReplaced(t *testing.T) {
	g := NewWithT(t)
	view := zoneOf(20, nil)
	before, _ := readers.Zone(view, "z", all)
	after, _ := readers.Zone(view, "z", func(record *roster.Record) bool { return !record.SameNode(before[1]) })
	g.Expect(after).To(HaveLen(6))
	g.Expect(after).To(ContainElements(before[0], before[2], before[3], before[4], before[5]))
	g.Expect(after).NotTo(ContainElement(before[1]))
}

// TestLeavingZoneReadsForItself checks that each node reads when all nodes of its zone are leaving.
func TestLeavingZoneReadsForItself(t *testing.T) {
	g := NewWithT(t)
	view := zoneOf(5, func(_ int, record *roster.Record) { record.Leaving = true })
	for _, record := range view.Zone("z") {
		g.Expect(readers.IsReader(view, record, all)).To(BeTrue())
	}
}

// TestAssignmentStableAcrossDifferingViews checks that views that differ in one node agree on the
// assigned readers of all others.
func TestAssignmentStableAcrossDifferingViews(t *testing.T) {
	g := NewWithT(t)
	nodes := 60
	whole := zoneOf(nodes, nil)
	for lost := range nodes {
		reachable := func(record *roster.Record) bool { return record.Node != fmt.Sprint("node-", lost) }
		if readers.IsReader(whole, whole.Record(fmt.Sprint("node-", lost)), all) {
			continue
		}
		for _, record := range whole.Zone("z") {
			if reachable(record) {
				g.Expect(readers.AssignedReader(whole, record, reachable)).To(BeIdenticalTo(readers.AssignedReader(whole, record, all)))
			}
		}
	}
}

// TestAssignmentIsBalanced checks that no reader is assigned more than three times as many nodes as
// another.
func TestAssignmentIsBalanced(t *testing.T) {
	g := NewWithT(t)
	view := zoneOf(120, nil)
	reading, others := readers.Zone(view, "z", all)
	least, most := len(others), 0
	for _, reader := range reading {
		assigned := len(readers.AssignedNodes(view, reader, all))
		least, most = min(least, assigned), max(most, assigned)
	}
	g.Expect(most).To(BeNumerically("<=", 3*least))
}
