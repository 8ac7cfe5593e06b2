package egress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestCandidateRoundTrip: the assumed round-trip time by zone and region. A zone whose region is
// unknown counts as one of the node's own region.
func TestCandidateRoundTrip(t *testing.T) {
	origin := location{zone: "a", regions: map[string]string{"a": "north", "b": "north", "c": "south"}}
	cases := []struct {
		zone                  string
		sameZone, otherRegion bool
		roundTrip             time.Duration
	}{
		{"a", true, false, 0},
		{"b", false, false, crossZoneRTT},
		{"c", false, true, crossRegionRTT},
		{"unknown", false, false, crossZoneRTT},
	}
	for _, test := range cases {
		t.Run(test.zone, func(t *testing.T) {
			g := NewWithT(t)
			record := &roster.Record{Node: "n", Zone: test.zone, Endpoint: &roster.Endpoint{Slots: 4, State: roster.Ready}}
			described := (&target{}).candidate(record, origin, time.Second, time.Now())
			g.Expect(described.SameZone).To(Equal(test.sameZone))
			g.Expect(described.OtherRegion).To(Equal(test.otherRegion))
			g.Expect(described.RoundTrip).To(Equal(test.roundTrip))
		})
	}
}

// TestOutdatedLoadReport: a load report is void after the node or its back end has restarted.
func TestOutdatedLoadReport(t *testing.T) {
	g := NewWithT(t)
	record := func(epoch uint64, id string) *roster.Record {
		return &roster.Record{Node: "n", Epoch: epoch, Endpoint: &roster.Endpoint{ID: id, Slots: 4, State: roster.Ready}}
	}
	now := time.Now()
	peer := &target{}
	peer.observe(hop.Reply{Running: 3, Waiting: 2, Slots: 4, Factor: 7, HoldTime: time.Second}, record(1, "a"), now)
	described := func(of *roster.Record) choice.Candidate { return peer.candidate(of, location{}, time.Second, now) }
	g.Expect(described(record(1, "a")).Outstanding).To(Equal(5.0))
	g.Expect(described(record(1, "a")).ServiceTime).To(Equal(7 * time.Second))
	for _, later := range []*roster.Record{record(2, "a"), record(1, "b")} {
		g.Expect(described(later).Outstanding).To(BeZero())
		g.Expect(described(later).ServiceTime).To(Equal(time.Second))
	}
}

// TestOwnRequestsCountedOnce: a report includes this node's own requests, which it counts itself.
func TestOwnRequestsCountedOnce(t *testing.T) {
	g := NewWithT(t)
	record := &roster.Record{Node: "n", Epoch: 1, Endpoint: &roster.Endpoint{ID: "a", Slots: 4, State: roster.Ready}}
	now := time.Now()
	peer := &target{}
	peer.inFlight.Store(2)
	peer.observe(hop.Reply{Running: 3, Slots: 4, Factor: 1, HoldTime: time.Second}, record, now)
	peer.inFlight.Store(4)
	g.Expect(peer.candidate(record, location{}, time.Second, now).Outstanding).To(Equal(5.0))
}
