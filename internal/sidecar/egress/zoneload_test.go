package egress

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

func loadRecord(node, zone, service string) *roster.Record {
	return &roster.Record{Node: node, Zone: zone, Epoch: 1, Endpoint: &roster.Endpoint{ID: node, Service: service, Slots: 6, State: roster.Ready}}
}

// TestZoneLoads: a report of one back end stands for all of its service and zone, and for no
// others; its weight fades when none follows.
func TestZoneLoads(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var loads zoneLoads
	loads.observe(loadRecord("n1", "a", "s"), 9, now)
	g.Expect(loads.others(loadRecord("n2", "a", "s"), now)).To(Equal(9.0))
	g.Expect(loads.others(loadRecord("n3", "b", "s"), now)).To(BeZero(), "another zone")
	g.Expect(loads.others(loadRecord("n4", "a", "t"), now)).To(BeZero(), "another service")
	g.Expect(loads.others(loadRecord("n2", "a", "s"), now.Add(time.Hour))).To(BeNumerically("~", 0, 0.001), "no report for an hour")
	var running sync.WaitGroup
	for i := range 16 {
		running.Go(func() {
			for range 100 {
				loads.observe(loadRecord(fmt.Sprint("n", i), "c", "s"), 3, now)
			}
		})
	}
	running.Wait()
	g.Expect(loads.others(loadRecord("n", "c", "s"), now)).To(BeNumerically("~", 3, 0.001))
}

// TestSweepZoneLoads: zones without recent reports are forgotten, others are kept.
func TestSweepZoneLoads(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	handler := &Handler{targets: &targets{}}
	handler.zoneLoads.observe(loadRecord("n", "old", "s"), 3, now)
	handler.zoneLoads.forRecord(loadRecord("n", "never", "s"))
	handler.zoneLoads.observe(loadRecord("n", "fresh", "s"), 3, now.Add(zoneRetention))
	handler.Sweep(now.Add(zoneRetention + time.Second))
	loads := handler.ZoneLoads(now.Add(zoneRetention))
	g.Expect(loads).To(HaveLen(1))
	g.Expect(loads[0].Zone).To(Equal("fresh"))
	_, kept := handler.zoneLoads.byZone.Load(zoneKey{service: "s", zone: "never"})
	g.Expect(kept).To(BeFalse())
}

// TestZoneBecomesFull: a zone is reported full once, and as having room only well below that.
func TestZoneBecomesFull(t *testing.T) {
	g := NewWithT(t)
	now, record := time.Now(), loadRecord("n", "a", "s")
	var loads zoneLoads
	changes := func(others float64) (count int, last bool) {
		for range 60 {
			if full, changed := loads.observe(record, others, now); changed {
				count, last = count+1, full
			}
		}
		return count, last
	}
	count, _ := changes(4)
	g.Expect(count).To(BeZero(), "room from the start")
	count, full := changes(12)
	g.Expect(count).To(Equal(1))
	g.Expect(full).To(BeTrue())
	count, _ = changes(6)
	g.Expect(count).To(BeZero(), "between the two bounds")
	count, full = changes(3)
	g.Expect(count).To(Equal(1))
	g.Expect(full).To(BeFalse())
}

// TestUnreportedWeight: the zone's average has no weight right after a report and full weight
// without one from the back end's current incarnation, so that a new one is neither flooded nor
// ignored.
func TestUnreportedWeight(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	peer, record := &target{}, loadRecord("n", "a", "s")
	g.Expect(peer.unreportedWeight(record, now)).To(Equal(1.0))
	peer.observe(hop.Reply{Running: 3, Slots: 6, Factor: 1, HoldTime: time.Second}, record, now)
	peer.observe(hop.Reply{Running: 3, Slots: 6, Factor: 1, HoldTime: time.Second}, record, now.Add(time.Millisecond))
	now = now.Add(time.Millisecond)
	g.Expect(peer.unreportedWeight(record, now)).To(BeZero())
	g.Expect(peer.unreportedWeight(record, now.Add(time.Second))).To(BeNumerically("~", 0.5, 0.001))
	g.Expect(peer.unreportedWeight(record, now.Add(time.Hour))).To(BeNumerically("~", 1, 0.001))
	replaced := loadRecord("n", "a", "s")
	replaced.Endpoint.ID = "other"
	g.Expect(peer.unreportedWeight(replaced, now)).To(Equal(1.0))
}
