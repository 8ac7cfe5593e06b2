package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestDrainingSurvivesLateHeartbeats checks that draining announced by a response is not undone by
// late heartbeats or by records of previous runs, only by another incarnation.
func TestDrainingSurvivesLateHeartbeats(t *testing.T) {
	g := NewWithT(t)
	ready := roster.Endpoint{ID: "i", Born: 100, Service: "s", Slots: 4, State: roster.Ready, Sequence: 1}
	record := roster.Record{Node: "n", Epoch: 1, Counter: 1, Endpoint: &ready}
	tracker := &roster.IncarnationTracker{Interval: time.Second}
	draining, changed := record.MarkDraining(ready.Incarnation())
	g.Expect(changed).To(BeTrue())
	g.Expect(draining.Endpoint.State).To(Equal(roster.Draining))
	g.Expect(ready.State).To(Equal(roster.Ready), "the shared endpoint is not modified")

	late := ready
	late.Sequence = 9
	afterLate, _, _ := tracker.ApplyHeartbeat(draining, roster.Heartbeat{Endpoint: late}, time.Now())
	g.Expect(afterLate.Endpoint.State).To(Equal(roster.Draining))

	next := ready
	next.Born, next.Sequence = 200, 1
	started, _, _ := tracker.ApplyHeartbeat(afterLate, roster.Heartbeat{Endpoint: next}, time.Now())
	g.Expect(started.Endpoint.State).To(Equal(roster.Ready))
	_, changed = started.MarkDraining(ready.Incarnation())
	g.Expect(changed).To(BeFalse(), "late response of the previous incarnation")

	for _, reports := range [][2]*roster.Endpoint{{draining.Endpoint, &late}, {&late, draining.Endpoint}} {
		own := record
		own.Endpoint = reports[0]
		members := roster.New(own)
		earlier := record
		earlier.Epoch, earlier.Endpoint = 7, reports[1]
		members.Merge([]*roster.Record{&earlier})
		g.Expect(members.Own().Endpoint.State).To(Equal(roster.Draining))
	}
}
