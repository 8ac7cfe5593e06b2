package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestHeartbeatOfOtherIncarnation checks which incarnation is current after a heartbeat of another
// one, depending on what the back end itself says about the id.
func TestHeartbeatOfOtherIncarnation(t *testing.T) {
	const interval = time.Second
	present := roster.Endpoint{ID: "a", Born: 100, Service: "s", Slots: 4, State: roster.Ready, Sequence: 8}
	started := func(id string, born int64) roster.Endpoint {
		return roster.Endpoint{ID: id, Born: born, Service: "s", Slots: 4, State: roster.Ready, Sequence: 1}
	}
	// Each case has one result for an unknown, a confirmed and a refuted id.
	cases := []struct {
		name     string
		current  *roster.Endpoint
		silence  time.Duration
		reported roster.Endpoint
		refusals [3]roster.Refusal
	}{
		{"none is known", nil, 0, started("b", 0), [3]roster.Refusal{"", "", roster.RefusedInstance}},
		{"later start", &present, 0, started("b", 200), [3]roster.Refusal{"", "", roster.RefusedInstance}},
		{"earlier start", &present, 0, started("b", 50), [3]roster.Refusal{roster.RefusedUnconfirmed, "", roster.RefusedInstance}},
		{"no start time", &present, 0, started("b", 0), [3]roster.Refusal{roster.RefusedUnconfirmed, "", roster.RefusedInstance}},
		{"later start of a silent back end", &present, 4 * interval, started("b", 200), [3]roster.Refusal{"", "", roster.RefusedInstance}},
		{"earlier start of the same id", &present, 0, started("a", 50), [3]roster.Refusal{roster.RefusedUnconfirmed, roster.RefusedUnconfirmed, roster.RefusedInstance}},
		{"later start of the same id", &present, 0, started("a", 200), [3]roster.Refusal{"", "", roster.RefusedInstance}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for identity, refusal := range tc.refusals {
				g := NewWithT(t)
				tracker, now := roster.IncarnationTracker{Interval: interval}, time.Unix(1000, 0)
				own := record("self", 1, 1)
				if tc.current != nil {
					own, _, _ = tracker.ApplyHeartbeat(own, roster.Heartbeat{Endpoint: *tc.current, Identity: roster.IdentityConfirmed}, now)
				}
				beat := roster.Heartbeat{Endpoint: tc.reported, Identity: roster.Identity(identity)}
				next, changed, got := tracker.ApplyHeartbeat(own, beat, now.Add(tc.silence))
				g.Expect(got).To(Equal(refusal), "identity %d", identity)
				g.Expect(changed).To(Equal(refusal == ""))
				if refusal != "" {
					g.Expect(next).To(Equal(own))
					continue
				}
				g.Expect(*next.Endpoint).To(Equal(tc.reported))
			}
		})
	}
}

// TestUnverifiedIncarnationIsReturnedOnce checks that only an incarnation that was taken while the
// back end's id was not known has to be verified, and only once.
func TestUnverifiedIncarnationIsReturnedOnce(t *testing.T) {
	for identity, unverified := range []bool{roster.IdentityUnknown: true, roster.IdentityConfirmed: false} {
		g := NewWithT(t)
		tracker := roster.IncarnationTracker{Interval: time.Second}
		beat := roster.Heartbeat{Endpoint: *endpoint("a", roster.Ready, 1), Identity: roster.Identity(identity)}
		own, _, _ := tracker.ApplyHeartbeat(record("self", 1, 1), beat, time.Unix(1000, 0))
		beat.Sequence, beat.Identity = 2, roster.IdentityUnknown
		own, _, _ = tracker.ApplyHeartbeat(own, beat, time.Unix(1001, 0))
		if unverified {
			g.Expect(tracker.TakeUnverified(own)).To(Equal(own.Endpoint))
		}
		g.Expect(tracker.TakeUnverified(own)).To(BeNil())
	}
}

// TestRecordWithoutEndpoint checks that an incarnation is removed only while it is the current one and
// has not ended.
func TestRecordWithoutEndpoint(t *testing.T) {
	g := NewWithT(t)
	own := record("self", 1, 1)
	own.Endpoint = endpoint("a", roster.Ready, 1)
	_, changed := own.WithoutEndpoint(roster.Incarnation{ID: "b"})
	g.Expect(changed).To(BeFalse())
	removed, changed := own.WithoutEndpoint(roster.Incarnation{ID: "a"})
	g.Expect(changed).To(BeTrue())
	g.Expect(removed.Endpoint).To(BeNil())
	_, changed = removed.WithoutEndpoint(roster.Incarnation{ID: "a"})
	g.Expect(changed).To(BeFalse())
	ended, _ := own.MarkEnded(roster.Incarnation{ID: "a"})
	_, changed = ended.WithoutEndpoint(roster.Incarnation{ID: "a"})
	g.Expect(changed).To(BeFalse())
}

// TestAnswerWithoutIDNamesNoBackEnd guards against an answer for another instance that names none and
// takes the node's back end out of its record.
func TestAnswerWithoutIDNamesNoBackEnd(t *testing.T) {
	g := NewWithT(t)
	tracker, now := roster.IncarnationTracker{Interval: time.Second}, time.Unix(1000, 0)
	own, _, _ := tracker.ApplyHeartbeat(record("self", 1, 1), roster.Heartbeat{Endpoint: *endpoint("a", roster.Ready, 1)}, now)
	next, changed := tracker.Confirm(own, "", now)
	g.Expect(changed).To(BeFalse())
	g.Expect(next).To(Equal(own))
}

// TestReportedIDIsForgottenOnceTaken guards against a late heartbeat that replaces the back end that
// runs because its sender was there at an earlier answer.
func TestReportedIDIsForgottenOnceTaken(t *testing.T) {
	const interval = time.Second
	for name, starts := range map[string][]int64{"without start times": {0, 0, 0}, "with start times": {100, 200, 300}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tracker, now := roster.IncarnationTracker{Interval: interval}, time.Unix(1000, 0)
			beat := func(id string, sequence uint64, start int64) roster.Heartbeat {
				reported := *endpoint(id, roster.Ready, sequence)
				reported.Born = start
				return roster.Heartbeat{Endpoint: reported}
			}
			own, _, _ := tracker.ApplyHeartbeat(record("self", 1, 1), beat("first", 1, starts[0]), now)
			own, _ = tracker.Confirm(own, "second", now.Add(interval/10))
			own, _, _ = tracker.ApplyHeartbeat(own, beat("second", 1, starts[1]), now.Add(interval/5))
			g.Expect(own.Endpoint.ID).To(Equal("second"))
			tracker.MarkLost(own, own.Endpoint.Incarnation().String())
			own, _, _ = tracker.ApplyHeartbeat(own, beat("third", 1, starts[2]), now.Add(interval))
			g.Expect(own.Endpoint.ID).To(Equal("third"))
			own, _, refusal := tracker.ApplyHeartbeat(own, beat("second", 2, starts[1]), now.Add(interval+interval/10))
			g.Expect(refusal).To(Equal(roster.RefusedUnconfirmed))
			g.Expect(own.Endpoint.ID).To(Equal("third"))
		})
	}
}
