package roster_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

func record(node string, epoch, counter uint64) roster.Record {
	return roster.Record{Node: node, Epoch: epoch, Counter: counter, Address: node + ":1", Zone: "z"}
}

func endpoint(id string, state roster.State, sequence uint64) *roster.Endpoint {
	return &roster.Endpoint{ID: id, Service: "s", Slots: 4, State: state, Sequence: sequence}
}

func TestMergeKeepsNewestVersion(t *testing.T) {
	cases := []struct {
		name         string
		epoch, count uint64
		taken        bool
	}{
		{"older epoch, higher counter", 1, 9, false},
		{"same", 2, 5, false},
		{"same epoch, lower counter", 2, 4, false},
		{"same epoch, higher counter", 2, 6, true},
		{"newer epoch, lower counter", 3, 1, true},
	}
	for _, offered := range cases {
		t.Run(offered.name, func(t *testing.T) {
			g := NewWithT(t)
			members := roster.New(record("self", 1, 1))
			first := record("other", 2, 5)
			members.Merge([]*roster.Record{&first})
			before := members.View().Digest()
			second := record("other", offered.epoch, offered.count)
			second.Leaving = true
			changed := members.Merge([]*roster.Record{&second})
			g.Expect(len(changed) == 1).To(Equal(offered.taken))
			g.Expect(members.View().Record("other").Leaving).To(Equal(offered.taken))
			g.Expect(members.View().Digest() != before).To(Equal(offered.taken))
		})
	}
}

// TestPreviousRunIsSuperseded checks that a node raises its epoch above the record of a previous
// run and adopts what that run knew about the back end.
func TestPreviousRunIsSuperseded(t *testing.T) {
	cases := []struct {
		name     string
		reported *roster.Endpoint
		previous *roster.Endpoint
		ended    []string
		want     *roster.Endpoint
	}{
		{"no heartbeat yet", nil, endpoint("i-1", roster.Draining, 4), nil, endpoint("i-1", roster.Draining, 4)},
		{"heartbeat older than draining", endpoint("i-1", roster.Ready, 3), endpoint("i-1", roster.Draining, 4), nil, endpoint("i-1", roster.Draining, 4)},
		{"newer heartbeat", endpoint("i-1", roster.Draining, 5), endpoint("i-1", roster.Ready, 4), nil, endpoint("i-1", roster.Draining, 5)},
		{"another back end since", endpoint("i-2", roster.Ready, 1), endpoint("i-1", roster.Ready, 4), nil, endpoint("i-2", roster.Ready, 1)},
		{"late heartbeat of an ended back end", endpoint("i-1", roster.Ready, 9), endpoint("i-0", roster.Ready, 1), []string{"i-1"}, endpoint("i-1", roster.Gone, 9)},
		{"gone stays gone", endpoint("i-1", roster.Ready, 9), endpoint("i-1", roster.Gone, 2), nil, endpoint("i-1", roster.Gone, 2)},
		{"previous run knew no back end", endpoint("i-1", roster.Ready, 9), nil, nil, endpoint("i-1", roster.Ready, 9)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			own := record("self", 1, 1)
			own.Endpoint = tc.reported
			held := roster.New(own)
			previous := record("self", 4, 2)
			previous.Endpoint, previous.Ended = tc.previous, tc.ended
			held.Merge([]*roster.Record{&previous})
			g.Expect(held.Own().Epoch).To(BeEquivalentTo(5))
			g.Expect(held.Own().Endpoint).To(Equal(tc.want))
		})
	}
}

// TestEvidenceIsMergedFromPreviousRun checks that a restarted node adopts what its previous run
// knew about requests that crash back ends, in addition to its own evidence.
func TestEvidenceIsMergedFromPreviousRun(t *testing.T) {
	g := NewWithT(t)
	held := func(letter byte) roster.Quarantined { return roster.Quarantined{Digest: fingerprint.Digest{letter}} }
	crash := func(endpoint string) roster.Crash {
		return roster.Crash{Endpoint: endpoint, Running: []fingerprint.Fingerprint{{}}}
	}
	own := record("self", 1, 1)
	own.Evidence = &roster.Evidence{Crashes: []roster.Crash{crash("i-1"), crash("i-2")}, Quarantined: []roster.Quarantined{held('a')}}
	members := roster.New(own)
	previous := record("self", 4, 2)
	previous.Evidence = &roster.Evidence{
		Crashes: []roster.Crash{crash("i-0"), crash("i-1")}, Cleared: []roster.Clearance{{Endpoints: []string{"i-0"}}},
		Quarantined: []roster.Quarantined{held('b'), held('a')},
	}
	members.Merge([]*roster.Record{&previous})
	g.Expect(members.Own().Evidence).To(Equal(&roster.Evidence{
		Crashes: []roster.Crash{crash("i-0"), crash("i-1"), crash("i-2")}, Cleared: previous.Evidence.Cleared,
		Quarantined: []roster.Quarantined{held('b'), held('a')},
	}))
}

// TestEvidenceIsBounded checks that the newest entries are kept and that empty evidence becomes
// nil.
func TestEvidenceIsBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(roster.Evidence{}.Bounded()).To(BeNil())
	var much roster.Evidence
	for i := range 200 {
		much.Crashes = append(much.Crashes, roster.Crash{Endpoint: fmt.Sprint(i), Running: make([]fingerprint.Fingerprint, 200)})
		much.Cleared = append(much.Cleared, roster.Clearance{Endpoints: []string{"i-0123456789", "i-0123456789"}})
		much.Quarantined = append(much.Quarantined, roster.Quarantined{Service: fmt.Sprint(i), Endpoints: []string{"i-0123456789", "i-0123456789"}})
		much.Lifted = append(much.Lifted, roster.Lift{})
	}
	bounded := much.Bounded()
	encoded, err := json.Marshal(bounded)
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%d bytes", len(encoded))
	g.Expect(len(encoded)).To(BeNumerically("<", 32<<10))
	g.Expect(bounded.Crashes[len(bounded.Crashes)-1].Endpoint).To(Equal("199"))
	g.Expect(bounded.Quarantined[len(bounded.Quarantined)-1].Service).To(Equal("199"))
	g.Expect(bounded.Full()).To(BeTrue())
}

// TestIncarnationTracker applies heartbeats of several ids in order of arrival.
func TestIncarnationTracker(t *testing.T) {
	const interval = 1500 * time.Millisecond
	type event struct {
		at       time.Duration
		id       string
		state    roster.State
		sequence uint64
		end      bool
		confirm  bool
	}
	cases := []struct {
		name   string
		events []event
		id     string
		state  roster.State
	}{
		{"first heartbeat", []event{{0, "a", roster.Ready, 1, false, false}}, "a", roster.Ready},
		{"draining", []event{{0, "a", roster.Ready, 1, false, false}, {1, "a", roster.Draining, 2, false, false}}, "a", roster.Draining},
		{"late heartbeat does not undo draining", []event{
			{0, "a", roster.Ready, 1, false, false}, {1, "a", roster.Draining, 3, false, false}, {2, "a", roster.Ready, 2, false, false},
		}, "a", roster.Draining},
		{"ended id does not return", []event{
			{0, "a", roster.Ready, 1, false, false}, {1, "a", "", 0, true, false}, {2, "a", roster.Ready, 2, false, false},
		}, "a", roster.Gone},
		{"next id after an end at once", []event{
			{0, "a", roster.Ready, 1, false, false}, {1, "a", "", 0, true, false}, {2, "b", roster.Ready, 1, false, false},
		}, "b", roster.Ready},
		{"single late heartbeats of an earlier id", []event{
			{0, "b", roster.Ready, 1, false, false}, {1, "a", roster.Ready, 40, false, false}, {interval, "b", roster.Ready, 2, false, false},
			{interval + 1, "a", roster.Ready, 41, false, false}, {2 * interval, "b", roster.Ready, 3, false, false},
		}, "b", roster.Ready},
		{"several late heartbeats of an earlier id together", []event{
			{0, "b", roster.Ready, 1, false, false}, {1, "a", roster.Ready, 40, false, false}, {2, "a", roster.Ready, 41, false, false},
			{3, "a", roster.Ready, 42, false, false},
		}, "b", roster.Ready},
		{"late heartbeat that arrived first is replaced", []event{
			{0, "a", roster.Ready, 40, false, false}, {1, "b", roster.Ready, 1, false, false}, {interval, "b", roster.Ready, 2, false, false},
		}, "b", roster.Ready},
		{"lost process is replaced by the first heartbeat", []event{
			{0, "a", roster.Ready, 40, false, false}, {1, "a", "lost", 0, false, false}, {2, "b", roster.Ready, 1, false, false},
		}, "b", roster.Ready},
		{"process wrongly considered lost continues", []event{
			{0, "a", roster.Ready, 40, false, false}, {1, "a", "lost", 0, false, false}, {2, "a", roster.Ready, 41, false, false},
			{3, "b", roster.Ready, 1, false, false},
		}, "a", roster.Ready},
		{"replaced id does not return with one heartbeat", []event{
			{0, "a", roster.Ready, 40, false, false}, {1, "b", roster.Ready, 1, false, false}, {interval, "b", roster.Ready, 2, false, false},
			{interval + 1, "a", roster.Ready, 41, false, false},
		}, "b", roster.Ready},
		{"silent id is replaced at once", []event{
			{0, "a", roster.Ready, 1, false, false}, {4 * interval, "b", roster.Ready, 1, false, false},
		}, "b", roster.Ready},
		{"id confirmed by the back end", []event{
			{0, "a", roster.Ready, 40, false, false}, {1, "b", roster.Ready, 1, false, false}, {2, "b", "", 0, false, true},
		}, "b", roster.Ready},
		{"id reported by the back end before its first heartbeat", []event{
			{0, "a", roster.Ready, 40, false, false}, {1, "b", "", 0, false, true}, {2, "b", roster.Ready, 1, false, false},
		}, "b", roster.Ready},
		{"id reported by the back end too long ago", []event{
			{0, "a", roster.Ready, 40, false, false}, {1, "b", "", 0, false, true}, {3 * interval, "a", roster.Ready, 41, false, false},
			{4 * interval, "b", roster.Ready, 1, false, false},
		}, "a", roster.Ready},
		{"unknown id from the back end is ignored", []event{
			{0, "a", roster.Ready, 40, false, false}, {2, "c", "", 0, false, true},
		}, "a", roster.Ready},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			start := time.Unix(1000, 0)
			claims := roster.IncarnationTracker{Interval: interval}
			own := record("self", 1, 1)
			for _, event := range tc.events {
				now := start.Add(event.at)
				switch {
				case event.state == "lost":
					claims.MarkLost(own, event.id)
				case event.end:
					own, _ = own.MarkEnded(roster.Incarnation{ID: event.id})
				case event.confirm:
					own, _ = claims.Confirm(own, event.id, now)
				default:
					own, _, _ = claims.ApplyHeartbeat(own, roster.Heartbeat{Endpoint: *endpoint(event.id, event.state, event.sequence)}, now)
				}
			}
			g.Expect(own.Endpoint.ID).To(Equal(tc.id))
			g.Expect(own.Endpoint.State).To(Equal(tc.state))
		})
	}
}

func TestUnchangedHeartbeatsDoNotChangeRecord(t *testing.T) {
	g := NewWithT(t)
	members := roster.New(record("self", 1, 1))
	claims := roster.IncarnationTracker{Interval: time.Second}
	notifications := 0
	members.Observe(func([]*roster.Record) { notifications++ })
	for sequence := uint64(1); sequence <= 5; sequence++ {
		members.Update(func(own roster.Record) (roster.Record, bool) {
			next, changed, _ := claims.ApplyHeartbeat(own, roster.Heartbeat{Endpoint: *endpoint("a", roster.Ready, sequence)}, time.Unix(int64(sequence), 0))
			return next, changed
		})
	}
	g.Expect(notifications).To(Equal(1))
	g.Expect(members.Own().Counter).To(BeEquivalentTo(2))
}

func TestEndedIDsAreBounded(t *testing.T) {
	g := NewWithT(t)
	own := record("self", 1, 1)
	for number := range 100 {
		own, _ = own.MarkEnded(roster.Incarnation{ID: string(rune('A' + number))})
	}
	g.Expect(len(own.Ended)).To(BeNumerically("<=", 16))
	g.Expect(own.HasEnded(roster.Incarnation{ID: string(rune('A' + 99))})).To(BeTrue())
}

// TestGoneNodesAreForgotten checks that a node whose back end has ended is forgotten after a while
// and not learned again from a peer that still knows it, while one that returns with another back
// end is.
func TestGoneNodesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	began := time.Unix(0, 0)
	held, peer := roster.New(record("self", 1, 1)), roster.New(record("self", 1, 1))
	alive, left := record("alive", 1, 1), record("left", 1, 2)
	alive.Endpoint = endpoint("i-1", roster.Ready, 1)
	left.Endpoint = endpoint("i-2", roster.Gone, 9)
	before := record("left", 1, 1)
	before.Endpoint = endpoint("i-2", roster.Ready, 8)
	for _, members := range []*roster.Roster{held, peer} {
		members.Merge([]*roster.Record{&alive, &before})
		members.Merge([]*roster.Record{&left})
	}
	g.Expect(held.View().LiveCount()).To(Equal(2))
	g.Expect(held.Forget(began)).To(BeEmpty())
	g.Expect(held.Forget(began.Add(time.Minute))).To(BeEmpty())
	g.Expect(held.View().Record("left")).NotTo(BeNil())
	g.Expect(held.Forget(began.Add(time.Hour))).To(Equal([]string{"left"}))
	g.Expect(held.View().Record("left")).To(BeNil())
	g.Expect(held.View().Digest()).To(Equal(peer.View().Digest()), "forgetting causes no exchange")
	g.Expect(held.View().Buckets(4)).To(Equal(peer.View().Buckets(4)))
	g.Expect(held.Merge(peer.View().Records())).To(BeEmpty())
	back := record("left", 2, 1)
	back.Endpoint = endpoint("i-3", roster.Ready, 1)
	g.Expect(held.Merge([]*roster.Record{&back})).To(HaveLen(1))
	g.Expect(held.Forget(began.Add(2 * time.Hour))).To(BeEmpty())
}

// TestChangesOfLargeRosterAreCoalesced checks that rapid changes of a large roster share views,
// that none is lost, and that the node's own record is never delayed.
func TestChangesOfLargeRosterAreCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		members := roster.New(record("self", 1, 1))
		many := make([]*roster.Record, 1000)
		for i := range many {
			made := record(fmt.Sprint("node-", i), 1, 1)
			many[i] = &made
		}
		members.Merge(many)
		time.Sleep(time.Second)
		views := map[*roster.View]bool{}
		for i := range many {
			changed := record(fmt.Sprint("node-", i), 1, 2)
			members.Merge([]*roster.Record{&changed})
			views[members.View()] = true
			time.Sleep(time.Millisecond)
		}
		g.Expect(len(views)).To(BeNumerically("<", 30))
		_, _ = members.Update(func(own roster.Record) (roster.Record, bool) { return own, true })
		g.Expect(members.Own().Counter).To(BeEquivalentTo(2))
		time.Sleep(time.Second)
		for i := range many {
			g.Expect(members.View().Record(fmt.Sprint("node-", i)).Counter).To(BeEquivalentTo(2))
		}
	})
}

// TestRunsWithEqualVersions checks two runs of a node that reached the same epoch and counter
// without knowing of each other. The node supersedes the other run and adopts what it knew. Until
// then, other nodes that receive both records keep the same one, and nodes with different ones have
// different digests.
func TestRunsWithEqualVersions(t *testing.T) {
	g := NewWithT(t)
	before, now := record("self", 2, 3), record("self", 2, 3)
	before.RunID, now.RunID = 9, 5
	before.Endpoint, before.Ended = endpoint("i-1", roster.Draining, 4), []string{"i-0"}
	g.Expect(before.Newer(&now)).To(BeTrue())
	g.Expect(now.Newer(&before)).To(BeFalse())

	for _, order := range [][]*roster.Record{{&before, &now}, {&now, &before}} {
		other := roster.New(record("other", 1, 1))
		other.Merge(order)
		g.Expect(other.View().Record("self").RunID).To(BeEquivalentTo(9))
	}
	one, another := roster.New(record("other", 1, 1)), roster.New(record("other", 1, 1))
	one.Merge([]*roster.Record{&before})
	another.Merge([]*roster.Record{&now})
	g.Expect(one.View().Digest()).NotTo(Equal(another.View().Digest()))

	for _, lives := range [][2]uint64{{9, 5}, {5, 9}} {
		remembered, own := before, now
		remembered.RunID, own.RunID = lives[0], lives[1]
		held := roster.New(own)
		held.Merge([]*roster.Record{&remembered})
		g.Expect(held.Own().Epoch).To(BeEquivalentTo(3))
		g.Expect(held.Own().Endpoint).To(Equal(before.Endpoint))
		g.Expect(held.Own().HasEnded(roster.Incarnation{ID: "i-0"})).To(BeTrue())
	}
}

// TestSoftwareVersionChangeIsPublished checks that a back end that returns under its id with other
// software is reported as a change.
func TestSoftwareVersionChangeIsPublished(t *testing.T) {
	g := NewWithT(t)
	claims := roster.IncarnationTracker{Interval: time.Second}
	now := time.Unix(100, 0)
	beat := roster.Heartbeat{Endpoint: *endpoint("i-1", roster.Ready, 1)}
	beat.Version = "v1"
	held, changed, _ := claims.ApplyHeartbeat(record("self", 1, 1), beat, now)
	g.Expect(changed).To(BeTrue())
	g.Expect(held.Endpoint.Version).To(Equal("v1"))
	beat.Sequence++
	held, changed, _ = claims.ApplyHeartbeat(held, beat, now)
	g.Expect(changed).To(BeFalse())
	beat.Version = "v2"
	beat.Sequence++
	held, changed, _ = claims.ApplyHeartbeat(held, beat, now)
	g.Expect(changed).To(BeTrue())
	g.Expect(held.Endpoint.Version).To(Equal("v2"))
}

// TestResumeAfterFullRestart checks that nodes that all resume their stored records have equal
// digests at once, and that a newer record of the previous run that the store lacks is superseded.
func TestResumeAfterFullRestart(t *testing.T) {
	for _, size := range []int{100, 1000, 2000} {
		g := NewWithT(t)
		var left []*roster.Record
		for i := range size {
			left = append(left, &roster.Record{
				Node: fmt.Sprint("n", i), Epoch: 4, Counter: 3, RunID: uint64(i), Zone: "z", Address: "a:1", PeerAddress: "a:2",
				Endpoint: &roster.Endpoint{ID: fmt.Sprint("i-", i), Service: "s", Slots: 4, State: roster.Ready},
			})
		}
		start := func(index int) *roster.Roster {
			made := roster.New(roster.Record{Node: left[index].Node, Epoch: 1, Counter: 1, RunID: 1 << 40, Zone: "z", Address: "a:1", PeerAddress: "a:2"})
			made.Merge(slices.DeleteFunc(slices.Clone(left), made.Own().SameNode))
			g.Expect(made.Resume([]*roster.Record{left[index]})).To(BeTrue())
			return made
		}
		first, second := start(0), start(1)
		g.Expect(first.View().Digest()).To(Equal(second.View().Digest()))
		// The previous run had published more than the store has.
		newer := *left[0]
		newer.Counter++
		newer.Endpoint = &roster.Endpoint{ID: "i-0", Service: "s", Slots: 4, State: roster.Draining, Sequence: 9}
		g.Expect(first.Merge([]*roster.Record{&newer})).To(HaveLen(1))
		g.Expect(first.Own().Newer(&newer)).To(BeTrue())
		g.Expect(first.Own().Endpoint.State).To(Equal(roster.Draining))
		g.Expect(first.Own().RunID).To(BeEquivalentTo(1 << 40))
	}
}

// TestBatch checks that a batch replaces the view once and that readers see the previous view until
// then.
func TestBatch(t *testing.T) {
	g := NewWithT(t)
	made := roster.New(roster.Record{Node: "self", Epoch: 1, Counter: 1})
	before := made.View()
	notifications := 0
	made.Observe(func(changed []*roster.Record) { notifications += len(changed) })
	made.Batch(func() {
		for i := range 300 {
			made.Merge([]*roster.Record{{Node: fmt.Sprint("n", i), Epoch: 1, Zone: "z"}})
			g.Expect(made.View()).To(BeIdenticalTo(before))
		}
	})
	g.Expect(made.View().Count()).To(Equal(301))
	g.Expect(notifications).To(Equal(300))
	made.Merge([]*roster.Record{{Node: "later", Epoch: 1, Zone: "z"}})
	g.Expect(made.View().Count()).To(Equal(302))
}

// TestEndAfterRestartIsFinal guards against an ended back end that accepts work again when a record
// of the previous run, in which it is ready, arrives after its end.
func TestEndAfterRestartIsFinal(t *testing.T) {
	cases := []struct {
		name      string
		heartbeat bool
		ended     roster.Incarnation
	}{
		{"heartbeat in this run", true, roster.Incarnation{ID: "i-1", Born: 7}},
		{"only its end in this run", false, roster.Incarnation{ID: "i-1", Born: 7}},
		{"only its end in this run, without start time", false, roster.Incarnation{ID: "i-1"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			endpoint := roster.Endpoint{ID: "i-1", Born: 7, Service: "s", Slots: 4, State: roster.Ready, Sequence: 20}
			node := roster.New(roster.Record{Node: "n", Epoch: 1, Counter: 1, RunID: 2})
			if tc.heartbeat {
				node.Update(func(record roster.Record) (roster.Record, bool) {
					reported := endpoint
					reported.Sequence = 19
					record.Endpoint = &reported
					return record, true
				})
			}
			node.Update(func(record roster.Record) (roster.Record, bool) { return record.MarkEnded(tc.ended) })
			node.Merge([]*roster.Record{{Node: "n", Epoch: 1, Counter: 5, RunID: 1, Endpoint: &endpoint}})
			g.Expect(node.Own().Endpoint.State).To(Equal(roster.Gone))
			g.Expect(node.Own().AcceptsWork()).To(BeFalse())
		})
	}
}
