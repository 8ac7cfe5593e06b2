package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestRestartUnderSameID checks that a later start under the same id replaces the earlier one at
// once, with a new sequence, and that late reports of the earlier start change nothing.
func TestRestartUnderSameID(t *testing.T) {
	const interval = time.Second
	type report struct {
		id       string
		born     int64
		state    roster.State // empty: the back end reports its end
		sequence uint64
	}
	cases := []struct {
		name    string
		reports []report
		born    int64
		state   roster.State
	}{
		{"sequence restarts", []report{{"a", 100, roster.Ready, 40}, {"a", 200, roster.Ready, 1}}, 200, roster.Ready},
		{"restart after draining", []report{{"a", 100, roster.Draining, 40}, {"a", 200, roster.Ready, 1}}, 200, roster.Ready},
		{"restart after end", []report{{"a", 100, roster.Ready, 40}, {"a", 100, "", 0}, {"a", 200, roster.Ready, 1}}, 200, roster.Ready},
		{"end of previous start does not end the next", []report{{"a", 200, roster.Ready, 1}, {"a", 100, "", 0}}, 200, roster.Ready},
		{"end without start time applies to the current start", []report{{"a", 200, roster.Ready, 1}, {"a", 0, "", 0}}, 200, roster.Gone},
		{"end of a later start ends the earlier one", []report{{"a", 100, roster.Ready, 1}, {"a", 200, "", 0}}, 100, roster.Gone},
		{"late heartbeat of the previous start", []report{{"a", 200, roster.Ready, 1}, {"a", 100, roster.Draining, 41}}, 200, roster.Ready},
		{"several late heartbeats of the previous start", []report{
			{"a", 200, roster.Ready, 1}, {"a", 100, roster.Draining, 41}, {"a", 100, roster.Draining, 42}, {"a", 100, roster.Draining, 43},
		}, 200, roster.Ready},
		{"late heartbeat of the previous start after the end", []report{{"a", 200, roster.Ready, 1}, {"a", 200, "", 0}, {"a", 100, roster.Ready, 41}}, 200, roster.Gone},
		{"heartbeat after the end of its own start", []report{{"a", 200, roster.Ready, 1}, {"a", 200, "", 0}, {"a", 200, roster.Ready, 2}}, 200, roster.Gone},
		{"clock set back", []report{
			{"a", 200, roster.Ready, 1}, {"a", 200, "", 0}, {"a", 150, roster.Ready, 1}, {"a", 150, roster.Ready, 2},
		}, 150, roster.Ready},
		{"later start under another id", []report{{"a", 100, roster.Ready, 40}, {"b", 200, roster.Ready, 1}}, 200, roster.Ready},
		{"late heartbeats of an earlier id", []report{{"b", 200, roster.Ready, 1}, {"a", 100, roster.Ready, 40}, {"a", 100, roster.Ready, 41}}, 200, roster.Ready},
		{"heartbeats without start time, of another sender", []report{{"a", 100, roster.Ready, 1}, {"a", 0, roster.Draining, 99}, {"a", 0, roster.Draining, 100}}, 100, roster.Ready},
		{"first heartbeat with start time", []report{{"a", 0, roster.Ready, 40}, {"a", 100, roster.Ready, 1}, {"a", 100, roster.Ready, 2}}, 100, roster.Ready},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			tracker := roster.IncarnationTracker{Interval: interval}
			own := record("self", 1, 1)
			for i, reported := range tc.reports {
				if reported.state == "" {
					own, _ = own.MarkEnded(roster.Incarnation{ID: reported.id, Born: reported.born})
					continue
				}
				heartbeat := roster.Heartbeat{Endpoint: *endpoint(reported.id, reported.state, reported.sequence)}
				heartbeat.Born = reported.born
				own, _, _ = tracker.ApplyHeartbeat(own, heartbeat, time.Unix(1000, 0).Add(time.Duration(i)*interval))
			}
			g.Expect(own.Endpoint.Born).To(Equal(tc.born))
			g.Expect(own.Endpoint.State).To(Equal(tc.state))
		})
	}
}

// TestLaterStartOfPreviousRunIsKept checks that a restarted node keeps the later of the two starts
// that it and its previous run have seen.
func TestLaterStartOfPreviousRunIsKept(t *testing.T) {
	for _, starts := range [][2]int64{{100, 200}, {200, 100}} {
		g := NewWithT(t)
		now, before := record("self", 1, 1), record("self", 5, 1)
		now.Endpoint, before.Endpoint = endpoint("a", roster.Ready, 1), endpoint("a", roster.Ready, 40)
		now.Endpoint.Born, before.Endpoint.Born = starts[0], starts[1]
		held := roster.New(now)
		held.Merge([]*roster.Record{&before})
		g.Expect(held.Own().Endpoint.Born).To(BeEquivalentTo(200))
	}
}

// TestAssessmentAppliesToOneIncarnation checks that the assessment of a back end is not applied to
// its next start.
func TestAssessmentAppliesToOneIncarnation(t *testing.T) {
	g := NewWithT(t)
	held := record("self", 1, 1)
	held.Endpoint = endpoint("a", roster.Ready, 1)
	held.Endpoint.Born = 100
	held.LastAssessment = &roster.Assessment{ID: held.Endpoint.Incarnation().String(), Faulty: true}
	g.Expect(held.Assessment()).NotTo(BeNil())
	next := *held.Endpoint
	next.Born = 200
	held.Endpoint = &next
	g.Expect(held.Assessment()).To(BeNil())
}
