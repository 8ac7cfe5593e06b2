package egress

import (
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/evacuation"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestAllowedZones: back ends of evacuated zones and of other regions are not considered, even if
// none are left.
func TestAllowedZones(t *testing.T) {
	cases := []struct {
		name      string
		evacuated []string
		route     []string
		tenant    []string
		expected  []string // zones
	}{
		{"anywhere", nil, nil, nil, []string{"a", "b", "c"}},
		{"the own zone is evacuated", []string{"a"}, nil, nil, []string{"b", "c"}},
		{"all zones are evacuated", []string{"a", "b", "c"}, nil, nil, nil},
		{"an unknown zone is evacuated", []string{"x"}, nil, nil, []string{"a", "b", "c"}},
		{"a route's region", nil, []string{"north"}, nil, []string{"a", "b"}},
		{"a tenant's region", nil, nil, []string{"south", "east"}, []string{"c"}},
		{"both restrict", nil, []string{"north", "south"}, []string{"south"}, []string{"c"}},
		{"nothing in common", nil, []string{"north"}, []string{"south"}, nil},
		{"an unknown region", nil, []string{"west"}, nil, nil},
		{"the region's last zone is evacuated", []string{"c"}, []string{"south"}, nil, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			handler := newHandler(t, &fakeObserver{}, probeOK)
			handler.options.Zone = "a"
			handler.options.Regions = map[string]string{"a": "north", "b": "north", "c": "south"}
			members := roster.New(roster.Record{Node: "self", Epoch: 1, Zone: "a"})
			members.Merge(serviceRecords(9, "a", "b", "c"))
			orders := evacuation.New(evacuation.Options{
				ZoneExists: func(string) bool { return true }, Broadcast: func() {}, OnChange: func(string, bool) {}, Logger: zap.NewNop(),
			})
			handler.options.Evacuated = orders.Zones
			before := handler.subset(members.View(), "s", rollout.All(), regions{})
			g.Expect(before.records).To(HaveLen(9))
			for i, zone := range test.evacuated {
				orders.ApplyOrder(evacuation.Order{Zone: zone, Revision: uint64(i + 1), Evacuated: true})
			}
			found := map[string]bool{}
			for _, record := range handler.subset(members.View(), "s", rollout.All(), regionsOf(test.route, test.tenant)).records {
				found[record.Zone] = true
			}
			g.Expect(found).To(HaveLen(len(test.expected)))
			for _, zone := range test.expected {
				g.Expect(found).To(HaveKey(zone))
			}
		})
	}
}
