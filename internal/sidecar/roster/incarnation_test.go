package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestAStartUnderTheSameID: the later start takes the place at once, with counts that start
// anew, and words of the earlier one change nothing.
func TestAStartUnderTheSameID(t *testing.T) {
	const interval = time.Second
	type word struct {
		id       string
		born     int64
		state    roster.State // empty: the back end says that it ends
		sequence uint64
	}
	cases := []struct {
		name  string
		words []word
		born  int64
		state roster.State
	}{
		{"counts start anew", []word{{"a", 100, roster.Ready, 40}, {"a", 200, roster.Ready, 1}}, 200, roster.Ready},
		{"a start after the word that it leaves", []word{{"a", 100, roster.Draining, 40}, {"a", 200, roster.Ready, 1}}, 200, roster.Ready},
		{"a start after an end", []word{{"a", 100, roster.Ready, 40}, {"a", 100, "", 0}, {"a", 200, roster.Ready, 1}}, 200, roster.Ready},
		{"one end does not end the next start", []word{{"a", 200, roster.Ready, 1}, {"a", 100, "", 0}}, 200, roster.Ready},
		{"an end that does not tell is of the present one", []word{{"a", 200, roster.Ready, 1}, {"a", 0, "", 0}}, 200, roster.Gone},
		{"the end of a later start ends the earlier one", []word{{"a", 100, roster.Ready, 1}, {"a", 200, "", 0}}, 100, roster.Gone},
		{"a late word of the start before", []word{{"a", 200, roster.Ready, 1}, {"a", 100, roster.Draining, 41}}, 200, roster.Ready},
		{"several of them", []word{
			{"a", 200, roster.Ready, 1}, {"a", 100, roster.Draining, 41}, {"a", 100, roster.Draining, 42}, {"a", 100, roster.Draining, 43},
		}, 200, roster.Ready},
		{"a late word after the end", []word{{"a", 200, roster.Ready, 1}, {"a", 200, "", 0}, {"a", 100, roster.Ready, 41}}, 200, roster.Gone},
		{"a word after the end of its start", []word{{"a", 200, roster.Ready, 1}, {"a", 200, "", 0}, {"a", 200, roster.Ready, 2}}, 200, roster.Gone},
		{"a clock that was set back", []word{
			{"a", 200, roster.Ready, 1}, {"a", 200, "", 0}, {"a", 150, roster.Ready, 1}, {"a", 150, roster.Ready, 2},
		}, 150, roster.Ready},
		{"a later start under another id", []word{{"a", 100, roster.Ready, 40}, {"b", 200, roster.Ready, 1}}, 200, roster.Ready},
		{"a late word of an earlier id", []word{{"b", 200, roster.Ready, 1}, {"a", 100, roster.Ready, 40}, {"a", 100, roster.Ready, 41}}, 200, roster.Ready},
		{"a word without a start, of another writer", []word{{"a", 100, roster.Ready, 1}, {"a", 0, roster.Draining, 99}, {"a", 0, roster.Draining, 100}}, 100, roster.Ready},
		{"the first that tells its start", []word{{"a", 0, roster.Ready, 40}, {"a", 100, roster.Ready, 1}, {"a", 100, roster.Ready, 2}}, 100, roster.Ready},
	}
	for _, played := range cases {
		t.Run(played.name, func(t *testing.T) {
			g := NewWithT(t)
			claims := roster.IncarnationTracker{Interval: interval}
			own := record("self", 1, 1)
			for i, said := range played.words {
				if said.state == "" {
					own, _ = own.MarkEnded(roster.Incarnation{ID: said.id, Born: said.born})
					continue
				}
				beat := roster.Heartbeat{Endpoint: *endpoint(said.id, said.state, said.sequence)}
				beat.Born = said.born
				own, _ = claims.ApplyHeartbeat(own, beat, time.Unix(1000, int64(i)))
			}
			g.Expect(own.Endpoint.Born).To(Equal(played.born))
			g.Expect(own.Endpoint.State).To(Equal(played.state))
		})
	}
}

// TestAStartThatAnEarlierLifeKnew: a node that starts again keeps the later of the two starts
// that it and its earlier life have heard of.
func TestAStartThatAnEarlierLifeKnew(t *testing.T) {
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

// TestEvidenceIsOfOneStart: what a node thought of a back end is not held against its next
// start.
func TestEvidenceIsOfOneStart(t *testing.T) {
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
