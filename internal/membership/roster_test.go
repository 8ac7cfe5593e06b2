package membership_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/membership"
)

var _ = Describe("Roster", func() {
	start := time.Unix(1_000_000, 0)
	settled := start.Add(time.Minute)
	self := membership.Member{Name: "a", Zone: "z", Region: "r", Address: "a:1"}
	seeds := []membership.Member{self, {Name: "b", Zone: "z", Address: "b:1"}, {Name: "c", Zone: "z", Address: "c:1"}}

	announce := func(name string, sequence uint64, state endpoint.State) endpoint.Update {
		return endpoint.Update{
			ID:          endpoint.ID{Service: endpoint.ControlService, Name: name},
			Incarnation: 7, Sequence: sequence, State: state, Zone: "z", Address: name + ":2",
		}
	}
	names := func(members []membership.Member) []string {
		var list []string
		for _, member := range members {
			list = append(list, member.Name)
		}
		return list
	}

	DescribeTable("lists members", func(updates []endpoint.Update, path bool, at time.Time, want ...string) {
		roster := membership.NewRoster(self, 7, seeds)
		roster.SetReaderPath(start, path)
		roster.Observe(start, updates)
		Expect(names(roster.Members(at))).To(Equal(want))
	},
		Entry("unannounced seeds before the settle time", nil, true, start, "a", "b", "c"),
		Entry("only announced daemons after the settle time", []endpoint.Update{announce("b", 2, endpoint.Ready)}, true, settled, "a", "b"),
		Entry("an announced daemon that is not a seed", []endpoint.Update{announce("n", 2, endpoint.Ready)}, true, settled, "a", "n"),
		Entry("not a leaving daemon, effective immediately", []endpoint.Update{announce("b", 2, endpoint.Ready), announce("b", 4, endpoint.Draining)}, true, start, "a", "c"),
		Entry("not a daemon that is down", []endpoint.Update{announce("b", 2, endpoint.Ready), announce("b", 3, endpoint.Down)}, true, start, "a", "c"),
		Entry("ignoring an older announcement", []endpoint.Update{announce("b", 4, endpoint.Ready), announce("b", 2, endpoint.Draining)}, true, settled, "a", "b"),
		Entry("every seed without a path to a reader, including seeds that were down", []endpoint.Update{announce("b", 3, endpoint.Down)}, false, settled, "a", "b", "c"),
		Entry("no endpoints of other services", []endpoint.Update{{ID: endpoint.ID{Service: "b", Name: "x"}, State: endpoint.Ready}}, true, settled, "a"),
	)

	It("rebuilds the list only after a change", func() {
		roster := membership.NewRoster(self, 7, seeds)
		roster.SetReaderPath(start, true)
		first := roster.Members(start)
		Expect(testing.AllocsPerRun(100, func() { roster.Members(start.Add(time.Second)) })).To(BeZero())
		for _, change := range []struct {
			make func()
			want []string
		}{
			{func() { roster.Observe(start, []endpoint.Update{announce("n", 2, endpoint.Ready)}) }, []string{"a", "b", "c", "n"}},
			{func() { roster.Observe(start, []endpoint.Update{announce("b", 3, endpoint.Down)}) }, []string{"a", "c", "n"}},
			{func() { roster.SetReaderPath(start, false) }, []string{"a", "b", "c", "n"}},
			{func() { roster.SetReaderPath(start, true) }, []string{"a", "c", "n"}},
		} {
			change.make()
			Expect(names(roster.Members(start))).To(Equal(change.want))
		}
		Expect(names(roster.Members(settled))).To(Equal([]string{"a", "n"}))
		Expect(names(first)).To(Equal([]string{"a", "b", "c"}), "an earlier list must not be modified")
	})

	It("prefers the announced address over the seed address", func() {
		roster := membership.NewRoster(self, 7, seeds)
		roster.Observe(start, []endpoint.Update{announce("b", 2, endpoint.Ready)})
		Expect(roster.Members(start)[1]).To(Equal(membership.Member{Name: "b", Zone: "z", Address: "b:2"}))
	})

	It("refutes a down declaration about itself and remains a member", func() {
		roster := membership.NewRoster(self, 7, seeds)
		declared := roster.Announcement().RelayOverride(endpoint.Down)
		refutation, refuted := roster.Observe(start, []endpoint.Update{declared})
		Expect(refuted).To(BeTrue())
		Expect(refutation.State).To(Equal(endpoint.Ready))
		Expect(refutation.Compare(declared)).To(BeNumerically(">", 0))
		Expect(names(roster.Members(settled))).To(ContainElement("a"))
	})

	It("resolves the holder of a slot by its address", func() {
		Expect(membership.ResolveReader([]membership.Member{self}, 1, "a:1", 9).Node).To(Equal("a"))
		Expect(membership.ResolveReader([]membership.Member{self}, 1, "x:1", 9).Node).To(Equal("x:1"))
	})
})
