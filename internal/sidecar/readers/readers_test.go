package readers_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

func all(*roster.Record) bool { return true }

// zoneOf returns the view of a zone of that many nodes.
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

func TestHowManyRead(t *testing.T) {
	for _, zone := range []struct{ nodes, zones, want int }{
		{0, 1, 0}, {1, 1, 1}, {4, 1, 4}, {18, 1, 6}, {192, 1, 6}, {193, 1, 7},
		{5, 3, 2}, {25, 3, 2}, {17, 4, 2}, {33, 6, 2}, {32, 6, 1}, {1, 6, 1}, {1347, 11, 43},
	} {
		NewWithT(t).Expect(readers.Count(zone.nodes, zone.zones)).To(Equal(zone.want), fmt.Sprint(zone))
	}
}

// TestEveryoneIsServed: each node either reads or is told by exactly one that
// does, whichever nodes are away.
func TestEveryoneIsServed(t *testing.T) {
	for away := range 8 {
		g := NewWithT(t)
		view := zoneOf(20, nil)
		usable := func(record *roster.Record) bool {
			var i int
			_, _ = fmt.Sscanf(record.Node, "node-%d", &i)
			return i >= away
		}
		served := map[string]int{}
		for _, record := range view.Zone("z")[0:] {
			if !usable(record) {
				continue
			}
			if readers.Reads(view, record, usable) {
				served[record.Node]++
				g.Expect(readers.Teller(view, record, usable)).To(BeNil())
			}
			for _, told := range readers.Told(view, record, usable) {
				served[told.Node]++
				g.Expect(readers.Teller(view, told, usable)).To(BeIdenticalTo(record))
			}
		}
		g.Expect(served).To(HaveLen(20 - away))
		for node, times := range served {
			g.Expect(times).To(Equal(1), node)
		}
	}
}

func TestWhoReads(t *testing.T) {
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
	g.Expect(readers.Reads(view, view.Record("node-11"), all)).To(BeFalse(), "one that leaves hears from its peers")
	g.Expect(readers.Told(view, view.Record("node-11"), all)).To(BeEmpty())
	g.Expect(readers.All(view, all)).To(HaveLen(6))
}

// TestALostReaderIsReplaced by the next one in order, by none else.
func TestALostReaderIsReplaced(t *testing.T) {
	g := NewWithT(t)
	view := zoneOf(20, nil)
	before, _ := readers.Zone(view, "z", all)
	after, _ := readers.Zone(view, "z", func(record *roster.Record) bool { return !record.SameNode(before[1]) })
	g.Expect(after).To(HaveLen(6))
	g.Expect(after).To(ContainElements(before[0], before[2], before[3], before[4], before[5]))
	g.Expect(after).NotTo(ContainElement(before[1]))
}

// TestNobodyElseReads: where all nodes of a zone are leaving, each reads for itself.
func TestNobodyElseReads(t *testing.T) {
	g := NewWithT(t)
	view := zoneOf(5, func(_ int, record *roster.Record) { record.Leaving = true })
	for _, record := range view.Zone("z") {
		g.Expect(readers.Reads(view, record, all)).To(BeTrue())
	}
}

// TestViewsThatDiffer in one node agree on who tells all others.
func TestViewsThatDiffer(t *testing.T) {
	g := NewWithT(t)
	nodes := 60
	whole := zoneOf(nodes, nil)
	for away := range nodes {
		lacking := func(record *roster.Record) bool { return record.Node != fmt.Sprint("node-", away) }
		if readers.Reads(whole, whole.Record(fmt.Sprint("node-", away)), all) {
			continue
		}
		for _, record := range whole.Zone("z") {
			if lacking(record) {
				g.Expect(readers.Teller(whole, record, lacking)).To(BeIdenticalTo(readers.Teller(whole, record, all)))
			}
		}
	}
}

// TestTheWorkOfTellingIsDivided: no reader tells more than three times as many as another.
func TestTheWorkOfTellingIsDivided(t *testing.T) {
	g := NewWithT(t)
	view := zoneOf(120, nil)
	reading, others := readers.Zone(view, "z", all)
	least, most := len(others), 0
	for _, reader := range reading {
		told := len(readers.Told(view, reader, all))
		least, most = min(least, told), max(most, told)
	}
	g.Expect(most).To(BeNumerically("<=", 3*least))
}
