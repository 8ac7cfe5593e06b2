package egress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestTheWayToABackEnd: what is believed of the way by zone and region. A zone
// whose region is not known counts as one of the own region.
func TestTheWayToABackEnd(t *testing.T) {
	near := place{zone: "a", regions: map[string]string{"a": "north", "b": "north", "c": "south"}}
	cases := []struct {
		zone                  string
		sameZone, otherRegion bool
		roundTrip             time.Duration
	}{
		{"a", true, false, 0},
		{"b", false, false, zoneCrossing},
		{"c", false, true, regionCrossing},
		{"unknown", false, false, zoneCrossing},
	}
	for _, way := range cases {
		t.Run(way.zone, func(t *testing.T) {
			g := NewWithT(t)
			record := &roster.Record{Node: "n", Zone: way.zone, Endpoint: &roster.Endpoint{Slots: 4, State: roster.Ready}}
			described := (&target{}).candidate(record, near, time.Second, time.Now())
			g.Expect(described.SameZone).To(Equal(way.sameZone))
			g.Expect(described.OtherRegion).To(Equal(way.otherRegion))
			g.Expect(described.RoundTrip).To(Equal(way.roundTrip))
		})
	}
}
