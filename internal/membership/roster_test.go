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
		Entry("seeds until it settles", nil, true, start, "a", "b", "c"),
		Entry("only who announced itself afterwards", []endpoint.Update{announce("b", 2, endpoint.Ready)}, true, settled, "a", "b"),
		Entry("who is no seed", []endpoint.Update{announce("n", 2, endpoint.Ready)}, true, settled, "a", "n"),
		Entry("nobody that leaves, at once", []endpoint.Update{announce("b", 2, endpoint.Ready), announce("b", 4, endpoint.Draining)}, true, start, "a", "c"),
		Entry("nobody that is down", []endpoint.Update{announce("b", 2, endpoint.Ready), announce("b", 3, endpoint.Down)}, true, start, "a", "c"),
		Entry("not by an older word", []endpoint.Update{announce("b", 4, endpoint.Ready), announce("b", 2, endpoint.Draining)}, true, settled, "a", "b"),
		Entry("every seed while there is no path, also those that were down", []endpoint.Update{announce("b", 3, endpoint.Down)}, false, settled, "a", "b", "c"),
		Entry("no endpoint of an operator's service", []endpoint.Update{{ID: endpoint.ID{Service: "b", Name: "x"}, State: endpoint.Ready}}, true, settled, "a"),
	)

	It("makes a list anew only after a change", func() {
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
		Expect(names(first)).To(Equal([]string{"a", "b", "c"}), "an earlier list is left as it was")
	})

	It("takes the announced address in place of the seed's", func() {
		roster := membership.NewRoster(self, 7, seeds)
		roster.Observe(start, []endpoint.Update{announce("b", 2, endpoint.Ready)})
		Expect(roster.Members(start)[1]).To(Equal(membership.Member{Name: "b", Zone: "z", Address: "b:2"}))
	})

	It("refutes that it is down, and stays itself a member", func() {
		roster := membership.NewRoster(self, 7, seeds)
		declared := roster.Announcement().RelayOverride(endpoint.Down)
		refutation, refuted := roster.Observe(start, []endpoint.Update{declared})
		Expect(refuted).To(BeTrue())
		Expect(refutation.State).To(Equal(endpoint.Ready))
		Expect(refutation.Compare(declared)).To(BeNumerically(">", 0))
		Expect(names(roster.Members(settled))).To(ContainElement("a"))
	})

	It("names a slot's holder after the member of its address", func() {
		Expect(membership.ResolveReader([]membership.Member{self}, 1, "a:1", 9).Node).To(Equal("a"))
		Expect(membership.ResolveReader([]membership.Member{self}, 1, "x:1", 9).Node).To(Equal("x:1"))
	})
})
