package egress

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// serviceRecords returns records of a service, spread evenly over the zones.
func serviceRecords(count int, zones ...string) []*roster.Record {
	records := make([]*roster.Record, count)
	for i := range records {
		records[i] = &roster.Record{
			Node: fmt.Sprint("node-", i), Epoch: 1, Zone: zones[i%len(zones)],
			Endpoint: &roster.Endpoint{ID: "i", Service: "s", Slots: 4, State: roster.Ready},
		}
	}
	return records
}

func TestSubsetSize(t *testing.T) {
	near := location{zone: "a"}
	cases := []struct {
		name    string
		records []*roster.Record
		want    int
	}{
		{"none", nil, 0},
		{"few: all", serviceRecords(12, "a", "b", "c"), 12},
		{"many in the zone", serviceRecords(500, "a"), nearSubset},
		{"many elsewhere", serviceRecords(500, "b", "c"), farSubset},
		{"many everywhere", serviceRecords(900, "a", "b", "c"), nearSubset + farSubset},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			chosen := chooseSubset(test.records, "self", near)
			g.Expect(chosen.records).To(HaveLen(test.want))
			for i, record := range chosen.records {
				g.Expect(record.Zone == near.zone).To(Equal(i < chosen.near))
			}
		})
	}
}

// TestSubsetOrder: back ends that accept work come first, then those of the region.
func TestSubsetOrder(t *testing.T) {
	g := NewWithT(t)
	records := serviceRecords(400, "a", "b", "c", "d")
	origin := location{zone: "a", regions: map[string]string{"a": "north", "b": "north", "c": "south", "d": "north"}}
	for i, record := range records {
		switch {
		case i < 200:
			record.Leaving = true
		case i < 220:
			record.Endpoint.State = roster.Gone
		}
	}
	for _, record := range chooseSubset(records, "self", origin).records {
		g.Expect(record.AcceptsWork()).To(BeTrue())
		g.Expect(record.Zone).NotTo(Equal("c"), "another region, and there are enough")
	}
	for _, record := range records {
		record.Leaving = true
	}
	g.Expect(chooseSubset(records, "self", origin).records).To(HaveLen(nearSubset+farSubset), "rather than none")
}

// TestSubsetSpread: the subsets of different nodes cover all back ends, and an added back end
// changes them little.
func TestSubsetSpread(t *testing.T) {
	g := NewWithT(t)
	records := serviceRecords(200, "a")
	near := location{zone: "a"}
	considered := map[string]int{}
	for caller := range 200 {
		self := fmt.Sprint("caller-", caller)
		before := chooseSubset(records, self, near).records
		for _, record := range before {
			considered[record.Node]++
		}
		after := chooseSubset(serviceRecords(201, "a"), self, near).records
		kept := 0
		for _, record := range before {
			for _, other := range after {
				if record.Node == other.Node {
					kept++
				}
			}
		}
		g.Expect(kept).To(BeNumerically(">=", nearSubset-1))
	}
	g.Expect(considered).To(HaveLen(200))
	for node, callers := range considered {
		g.Expect(callers).To(BeNumerically("~", nearSubset, 18), node)
	}
}

// TestSubsetBalance: of 44 back ends in four zones a node considers all of its own zone and 16 of
// the 33 others. Where some are 2.4 times slower, the capacity of the subsets of 88 nodes differs
// by less than a quarter from the mean, and no back end is considered by far fewer nodes than
// another.
func TestSubsetBalance(t *testing.T) {
	g := NewWithT(t)
	zones := []string{"a", "b", "c", "d"}
	records := serviceRecords(44, zones...)
	room := func(record *roster.Record) float64 {
		if len(record.Node)%2 == 0 { // node-0 to node-9
			return 1
		}
		return 2.4
	}
	var rooms []float64
	considered := map[string]int{}
	mean := 0.0
	const nodes = 88
	for i := range nodes {
		chosen := chooseSubset(records, fmt.Sprint("caller-", i), location{zone: zones[i%len(zones)]})
		g.Expect(chosen.near).To(Equal(11))
		g.Expect(chosen.records).To(HaveLen(11 + farSubset))
		sum := 0.0
		for _, record := range chosen.records[chosen.near:] {
			sum += room(record)
			considered[record.Node]++
		}
		rooms, mean = append(rooms, sum), mean+sum/nodes
	}
	t.Logf("room of other zones: %.2f to %.2f, mean %.2f", slices.Min(rooms), slices.Max(rooms), mean)
	g.Expect(slices.Min(rooms)).To(BeNumerically(">", 0.75*mean))
	g.Expect(slices.Max(rooms)).To(BeNumerically("<", 1.25*mean))
	counts := slices.Collect(maps.Values(considered))
	t.Logf("a back end is considered by %d to %d nodes of other zones", slices.Min(counts), slices.Max(counts))
	g.Expect(counts).To(HaveLen(44))
	g.Expect(float64(slices.Min(counts))).To(BeNumerically(">", 0.5*float64(slices.Max(counts))))
}

// TestFreeBackEndFoundBeyondSubset: when the limits of all back ends that a node considers are used up,
// requests are served by those of a large service that it does not consider otherwise.
func TestFreeBackEndFoundBeyondSubset(t *testing.T) {
	for _, count := range []int{2, farSubset + 2, maxChain * farSubset} {
		g := NewWithT(t)
		limited, free := newPeer(t, refuseAt(outcome.StepLimit, "20.00", "Kestrel-Limit: 500 -9000\r\n")), newPeer(t, answerWith(""))
		handler := newHandler(t, &fakeObserver{}, probeOK)
		records := serviceRecords(count, "other")
		considered := chooseSubset(records, "self", location{zone: "z"}).records
		for _, record := range records {
			record.Address = limited.address
		}
		others := slices.DeleteFunc(slices.Clone(records), func(record *roster.Record) bool { return slices.Contains(considered, record) })
		slices.Concat(others, considered)[0].Address = free.address
		members := roster.New(roster.Record{Node: "self", Epoch: 1, Zone: "z"})
		members.Merge(records)
		handler.options.View = members.View
		for range 5 {
			g.Expect(sendRequest(handler).Code).To(Equal(http.StatusOK), "%d back ends", count)
		}
		g.Expect(limited.requests.Load()).To(BeNumerically("<", count), "each is asked once at most")
	}
}

// TestSubsetsCoverAvailable: every record that accepts work is in one subset, and none that accepts none
// is in a later one.
func TestSubsetsCoverAvailable(t *testing.T) {
	g := NewWithT(t)
	records := serviceRecords(2*maxChain*farSubset, "a", "b")
	for i, record := range records {
		record.Leaving = i%7 == 0
	}
	seen := map[string]int{}
	for chosen, first := chooseSubset(records, "self", location{zone: "a"}), true; chosen != nil; chosen, first = chosen.next, false {
		g.Expect(len(chosen.records)).To(BeNumerically("<=", nearSubset+farSubset))
		for _, record := range chosen.records {
			seen[record.Node]++
			g.Expect(first || record.AcceptsWork()).To(BeTrue())
		}
	}
	for _, record := range records {
		if record.AcceptsWork() {
			g.Expect(seen[record.Node]).To(Equal(1), record.Node)
		}
	}
}
