package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// randomRecord returns a record of a random node in a random zone and state.
func randomRecord(random *rand.Rand, nodes int) *Record {
	record := &Record{Node: fmt.Sprint("n", random.IntN(nodes)), Epoch: uint64(random.IntN(5)), Counter: uint64(random.IntN(50)), Zone: fmt.Sprint("z", random.IntN(3))}
	if random.IntN(5) > 0 {
		record.Endpoint = &Endpoint{ID: "i", Service: fmt.Sprint("s", random.IntN(3)), State: []State{Ready, Draining, Gone}[random.IntN(3)]}
	}
	return record
}

// TestIncrementalViewEqualsRebuiltView guards against views that depend on how they were built: one
// that is updated change by change must equal one built from scratch.
func TestIncrementalViewEqualsRebuiltView(t *testing.T) {
	for seed := range uint64(30) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 9))
		records, view := map[string]*Record{}, newView(nil)
		for range 200 {
			changed := map[string]struct{}{}
			for range 1 + random.IntN(4) {
				record := randomRecord(random, 30)
				changed[record.Node] = struct{}{}
				if records[record.Node] = record; random.IntN(6) == 0 {
					delete(records, record.Node)
				}
			}
			before := *view
			view = view.with(changed, records)
			var all []*Record
			for _, record := range records {
				all = append(all, record)
			}
			rebuilt := newView(all)
			g.Expect(view).To(Equal(rebuilt))
			g.Expect(before.Records()).To(HaveLen(before.Count()), "the previous view is unchanged")
			for node, record := range records {
				g.Expect(view.Record(node)).To(BeIdenticalTo(record))
			}
			g.Expect(view.Record("nobody")).To(BeNil())
		}
	}
}

// TestUnchangedListsAreShared checks that a view shares the lists without changes with the previous
// one.
func TestUnchangedListsAreShared(t *testing.T) {
	g := NewWithT(t)
	members := newRosterOfSize(900)
	before := members.View()
	changed := *before.Record("node-0001")
	changed.Counter++
	members.Merge([]*Record{&changed})
	members.publishImmediately()
	after := members.View()
	shared, copied := 0, 0
	for _, zone := range after.Zones() {
		if &after.Zone(zone)[0] == &before.Zone(zone)[0] {
			shared++
		} else {
			copied++
		}
	}
	g.Expect(shared).To(Equal(5))
	g.Expect(copied).To(Equal(1))
}

// publishImmediately replaces the view without the delay for large views.
func (r *Roster) publishImmediately() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.publish()
}

// newRosterOfSize returns a roster of the given number of nodes in 6 zones with 3 services.
func newRosterOfSize(size int) *Roster {
	members := New(Record{Node: "node-0000", Epoch: 1, Counter: 1, Zone: "z0"})
	var records []*Record
	for i := 1; i < size; i++ {
		records = append(records, &Record{
			Node: fmt.Sprintf("node-%04d", i), Epoch: 1, Counter: 1, Zone: fmt.Sprint("z", i%6),
			Endpoint: &Endpoint{ID: "i", Service: fmt.Sprint("s", i%3), Slots: 14, State: Ready},
		})
	}
	members.Merge(records)
	return members
}

// TestAllocationsPerChange checks that a change copies a few lists, regardless of the number of
// records.
func TestAllocationsPerChange(t *testing.T) {
	for _, size := range []int{300, 1000, 2000} {
		g := NewWithT(t)
		made := newRosterOfSize(size)
		changed := *made.View().Record("node-0001")
		allocated := testing.AllocsPerRun(50, func() {
			changed.Counter++
			next := changed
			made.Merge([]*Record{&next})
			made.publishImmediately()
		})
		g.Expect(allocated).To(BeNumerically("<", 40), "%d records", size)
	}
}

// BenchmarkIncrementalView measures one changed record and the resulting view.
func BenchmarkIncrementalView(b *testing.B) {
	for _, size := range []int{74, 300, 984, 2000} {
		b.Run(fmt.Sprint(size, " records"), func(b *testing.B) {
			made := newRosterOfSize(size)
			changed := *made.View().Record("node-0001")
			b.ReportAllocs()
			for b.Loop() {
				changed.Counter++
				next := changed
				made.mutex.Lock()
				made.set(&next)
				made.publish()
				made.mutex.Unlock()
			}
		})
	}
}

// BenchmarkRebuiltView measures building the whole view instead.
func BenchmarkRebuiltView(b *testing.B) {
	for _, size := range []int{74, 300, 984, 2000} {
		b.Run(fmt.Sprint(size, " records"), func(b *testing.B) {
			records := newRosterOfSize(size).View().Records()
			b.ReportAllocs()
			for b.Loop() {
				newView(slices.Clone(records))
			}
		})
	}
}
