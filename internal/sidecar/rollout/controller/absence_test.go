package controller

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestAbsences guards against back ends in use that do not count while their nodes are restarted, and against
// those that count although they are gone.
func TestAbsences(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	endpoint := func(state roster.State) *roster.Endpoint {
		return &roster.Endpoint{ID: "i", Service: "s", Version: "v1", Slots: 4, State: state}
	}
	ready := roster.Record{Node: "a", Epoch: 1, Endpoint: endpoint(roster.Ready)}
	leaving := ready
	leaving.Leaving = true
	restarted := roster.Record{Node: "a", Epoch: 2}
	draining, gone := restarted, restarted
	draining.Endpoint, gone.Endpoint = endpoint(roster.Draining), endpoint(roster.Gone)
	replaced := roster.Record{Node: "a", Epoch: 2, Endpoint: &roster.Endpoint{ID: "other", Service: "s", State: roster.Ready}}
	cases := []struct {
		name    string
		records []roster.Record
		after   time.Duration
		absent  int
	}{
		{"accepts work", []roster.Record{ready}, time.Second, 0},
		{"leaving", []roster.Record{ready, leaving}, time.Second, 1},
		{"first seen while leaving", []roster.Record{leaving}, time.Second, 1},
		{"started again, back end not known yet", []roster.Record{ready, leaving, restarted}, time.Second, 1},
		{"started again, back end known", []roster.Record{ready, leaving, ready}, time.Second, 0},
		{"killed and started again", []roster.Record{ready, restarted}, time.Second, 1},
		{"the back end is leaving too", []roster.Record{ready, leaving, draining}, time.Second, 0},
		{"the back end has ended", []roster.Record{ready, leaving, gone}, time.Second, 0},
		{"another back end is there", []roster.Record{ready, leaving, replaced}, time.Second, 0},
		{"for too long", []roster.Record{ready, leaving}, maxAbsence, 0},
		{"no back end", []roster.Record{restarted}, time.Second, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			tracked := newAbsences()
			for i := range tc.records {
				tracked.follow(&tc.records[i], start)
			}
			g.Expect(tracked.count("s", "v2", start.Add(tc.after))).To(Equal(tc.absent))
			g.Expect(tracked.count("s", "v1", start.Add(tc.after))).To(BeZero(), "the version itself")
			g.Expect(tracked.count("another", "v2", start.Add(tc.after))).To(BeZero(), "another service")
		})
	}
}
