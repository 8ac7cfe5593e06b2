package subscriber_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	parents = []subscriber.Parent{{Node: "r1", Address: "a1"}, {Node: "r2", Address: "a2"}, {Node: "r3", Address: "a3"}}
)

// newSnapshot returns a snapshot with one service and one route to the service
// named route.
func newSnapshot(version uint64, slots int, route string) *projection.Snapshot {
	snapshot := &projection.Snapshot{
		Version:  version,
		Services: map[string]*projection.Service{"orders": {Slots: slots, AllowedZones: []string{}}},
		Routes:   map[string]*resource.RouteSpec{"orders": {Service: route}},
	}
	snapshot.Digest = snapshot.ComputeDigest()
	return snapshot
}

// newAttachedCore returns the core of a proxy that is attached to r1.
func newAttachedCore() *subscriber.Core {
	core := subscriber.New(subscriber.DefaultConfig(), distribution.Node{Name: "p1", Incarnation: 1, Zone: "z1"},
		distribution.ChildProxy, projection.Entitlement{Zone: "z1"}, rand.New(rand.NewPCG(1, 1)))
	core.Parents(start, parents)
	Expect(core.Tick(start).Connect.Parent).To(Equal(parents[0]))
	Expect(core.Connected(start).AttachedTo).To(Equal("r1"))
	return core
}

// newCoreWithVersion returns an attached core that has applied a version.
func newCoreWithVersion(version uint64) *subscriber.Core {
	core := newAttachedCore()
	outputs := core.Received(start, &distribution.Message{Version: version, Source: &distribution.Source{}, Snapshot: newSnapshot(version, 1, "orders")})
	Expect(outputs.Apply.Version).To(Equal(version))
	core.Applied(start, version)
	return core
}

// nextConnect runs ticks until the core starts a connection attempt. It returns
// the attempt and its time.
func nextConnect(core *subscriber.Core) (*subscriber.Connect, time.Time) {
	for range 20 {
		at := core.NextTick()
		if outputs := core.Tick(at); outputs.Connect != nil {
			return outputs.Connect, at
		}
	}
	Fail("the core started no connection attempt within 20 ticks")
	return nil, time.Time{}
}

var _ = Describe("The stream of a child", func() {
	corrupt := newSnapshot(6, 2, "orders")
	corrupt.Digest = "wrong"
	mismatchedDelta := projection.Diff(newSnapshot(4, 9, "orders"), newSnapshot(6, 2, "orders"))

	DescribeTable("handles a message with", func(message *distribution.Message, applied uint64, failedStep string, needsSnapshot bool) {
		core := newCoreWithVersion(5)
		outputs := core.Received(start, message)
		if applied == 0 {
			Expect(outputs.Apply).To(BeNil())
		} else {
			Expect(outputs.Apply.Version).To(Equal(applied))
		}
		Expect(core.Version()).To(BeEquivalentTo(5))
		if needsSnapshot {
			Expect(outputs.Disconnect).To(BeTrue())
			connect, _ := nextConnect(core)
			Expect(connect.Parent).To(Equal(parents[1]))
			Expect(connect.Hello.Version).To(BeEquivalentTo(5))
			Expect(connect.Hello.Digest).To(BeEmpty())
		} else if failedStep != "" {
			Expect(outputs.Report.Failure.Step).To(Equal(failedStep))
			Expect(outputs.Report.Applied).To(BeEquivalentTo(5))
		}
	},
		Entry("a newer snapshot", &distribution.Message{Version: 6, Snapshot: newSnapshot(6, 2, "orders")}, uint64(6), "", false),
		Entry("an older snapshot", &distribution.Message{Version: 4, Snapshot: newSnapshot(4, 2, "orders")}, uint64(0), "", false),
		Entry("a snapshot of the same version", &distribution.Message{Version: 5, Snapshot: newSnapshot(5, 2, "orders")}, uint64(0), "", false),
		Entry("a delta whose base is the applied content", &distribution.Message{Version: 6, Delta: projection.Diff(newSnapshot(5, 1, "orders"), newSnapshot(6, 2, "orders"))}, uint64(6), "", false),
		Entry("a delta with another base", &distribution.Message{Version: 6, Delta: mismatchedDelta}, uint64(0), "delta", true),
		Entry("a newer version and no content", &distribution.Message{Version: 7}, uint64(7), "", false),
		Entry("no content and the current version", &distribution.Message{Version: 5}, uint64(0), "", false),
		Entry("a snapshot that does not match its digest", &distribution.Message{Version: 6, Snapshot: corrupt}, uint64(0), "digest", true),
		Entry("a route to a service that is not in the snapshot", &distribution.Message{Version: 6, Snapshot: newSnapshot(6, 2, "none")}, uint64(0), "closure", false),
	)

	It("keeps the active snapshot and reports the cause when the proxy fails to apply a newer one", func() {
		core := newCoreWithVersion(5)
		core.Received(start, &distribution.Message{Version: 6, Snapshot: newSnapshot(6, 2, "orders")})
		report := core.ApplyFailed(start, distribution.ApplyFailure{Version: 6, Step: "compile", Reason: "bad"}).Report
		Expect(report.Applied).To(BeEquivalentTo(5))
		Expect(report.Failure.Step).To(Equal("compile"))
		Expect(core.ActiveSnapshot().Version).To(BeEquivalentTo(5))
		Expect(core.Received(start, &distribution.Message{Version: 7, Snapshot: newSnapshot(7, 3, "orders")}).Apply.Version).To(BeEquivalentTo(7))
		core.Applied(start, 7)
		Expect(core.Tick(core.NextTick()).Report.Failure).To(BeNil())
	})

	It("delays acknowledgements, reports endpoint states at once and repeats them in the next hello", func() {
		core := newCoreWithVersion(5)
		core.Received(start, &distribution.Message{Version: 6})
		Expect(core.Applied(start, 6).Report).To(BeNil())
		at := core.NextTick()
		config := subscriber.DefaultConfig()
		Expect(at).To(BeTemporally("<=", start.Add(config.AckWindow+config.LazyAckWindow)))
		Expect(core.Tick(at).Report.Applied).To(BeEquivalentTo(6))
		draining := endpoint.Update{ID: endpoint.ID{Service: "orders", Name: "b1"}, Sequence: 2, State: endpoint.Draining}
		Expect(core.EndpointChanged(at, []endpoint.Update{draining}).Report.Endpoints).To(Equal([]endpoint.Update{draining}))
		core.Disconnected(at, nil)
		connect, _ := nextConnect(core)
		Expect(connect.Hello.Endpoints).To(Equal([]endpoint.Update{draining}), "the hello repeats the endpoint states after the stream was lost")
	})
})

var _ = Describe("A child leaves its parent", func() {
	DescribeTable("when", func(loseParent func(*subscriber.Core) time.Time, within time.Duration) {
		core := newCoreWithVersion(5)
		lost := loseParent(core)
		connect, at := nextConnect(core)
		Expect(connect.Parent).NotTo(Equal(parents[0]))
		Expect(at.Sub(lost)).To(BeNumerically("<=", within))
	},
		Entry("the stream ends", func(c *subscriber.Core) time.Time { c.Disconnected(start, nil); return start }, 50*time.Millisecond),
		Entry("the parent says goodbye", func(c *subscriber.Core) time.Time {
			c.Received(start, &distribution.Message{Goodbye: true})
			return start
		}, 50*time.Millisecond),
		Entry("the parent sends nothing", func(c *subscriber.Core) time.Time { return start }, 1850*time.Millisecond),
		Entry("the parent is detached from the readers", func(c *subscriber.Core) time.Time {
			c.Received(start, &distribution.Message{Source: &distribution.Source{Detached: true}})
			return sendHeartbeat(c)
		}, 2050*time.Millisecond),
		Entry("the parent lags behind the version in its zone", func(c *subscriber.Core) time.Time {
			c.Received(start, &distribution.Message{Source: &distribution.Source{Floor: 9}})
			return sendHeartbeat(c)
		}, 2050*time.Millisecond),
	)

	It("when the parent is beyond the hop limit, but only a daemon does, since a proxy has no children and cannot be part of a loop", func() {
		for kind, leaves := range map[distribution.ChildKind]bool{distribution.ChildControl: true, distribution.ChildProxy: false} {
			core := subscriber.New(subscriber.DefaultConfig(), distribution.Node{Name: "d1", Incarnation: 1},
				kind, projection.Entitlement{}, rand.New(rand.NewPCG(1, 1)))
			core.Parents(start, parents)
			core.Tick(start)
			core.Connected(start)
			outputs := core.Received(start, &distribution.Message{Source: &distribution.Source{Hops: 7}})
			Expect(outputs.Disconnect).To(Equal(leaves))
		}
	})

	It("and increases the backoff when streams are accepted and end at once", func() {
		core := newAttachedCore()
		var maxWait time.Duration
		at := start
		for range 60 {
			core.Disconnected(at, nil)
			maxWait = max(maxWait, core.NextTick().Sub(at))
			_, at = nextConnect(core)
			core.Connected(at)
		}
		Expect(maxWait).To(BeNumerically(">", 500*time.Millisecond))
	})

	It("and does not alternate without a delay between two detached daemons that each name the other first", func() {
		core := newAttachedCore()
		at, moves := start, 0
		for range 60 {
			first := 1 - moves%2
			candidates := []subscriber.Parent{parents[first], parents[1-first]}
			outputs := core.Parents(at, candidates)
			for outputs.Connect == nil {
				at = core.NextTick()
				outputs = core.Tick(at)
			}
			moves++
			core.Connected(at)
			core.Received(at, &distribution.Message{Source: &distribution.Source{Detached: true}})
		}
		Expect(at.Sub(start)).To(BeNumerically(">=", 30*time.Second))
	})

	It("and skips a candidate that timed out while there are others, unless the child itself was paused", func() {
		core := newCoreWithVersion(5)
		silence := subscriber.DefaultConfig().Silence
		core.Tick(start.Add(silence))
		connect, at := nextConnect(core)
		Expect(connect.Parent).To(Equal(parents[1]))
		core.Connected(at)
		core.Disconnected(at, nil)
		connect, _ = nextConnect(core)
		Expect(connect.Parent).To(Equal(parents[1]), "the preferred candidate is in its cooldown")

		paused := newCoreWithVersion(5)
		paused.Tick(start.Add(time.Minute))
		_, at = nextConnect(paused)
		paused.Connected(at)
		paused.Disconnected(at, nil)
		connect, _ = nextConnect(paused)
		Expect(connect.Parent).To(Equal(parents[0]))
	})

	It("and increases the backoff with each round of refusals, up to the larger of the cap and the given delay", func() {
		core := newAttachedCore()
		core.Disconnected(start, nil)
		var maxWait time.Duration
		for range 60 {
			_, at := nextConnect(core)
			core.Refused(at, 100*time.Millisecond)
			maxWait = max(maxWait, core.NextTick().Sub(at))
		}
		Expect(maxWait).To(BeNumerically(">", 500*time.Millisecond))
		Expect(maxWait).To(BeNumerically("<=", time.Second))
	})

	It("and later fails back to its preferred parent", func() {
		core := newCoreWithVersion(5)
		core.Disconnected(start, nil)
		_, at := nextConnect(core)
		core.Connected(at)
		for {
			outputs := core.Received(at, &distribution.Message{Source: &distribution.Source{}})
			at = at.Add(time.Second)
			if outputs = core.Tick(at); outputs.Connect != nil {
				Expect(outputs.Connect.Parent).To(Equal(parents[0]))
				return
			}
			Expect(at.Sub(start)).To(BeNumerically("<", 2*time.Minute))
		}
	})
})

// sendHeartbeat delivers a heartbeat 900 ms after start, so that the silence
// timeout does not expire before the child leaves a detached or lagging parent.
func sendHeartbeat(core *subscriber.Core) time.Time {
	core.Received(start.Add(900*time.Millisecond), &distribution.Message{Version: 5})
	return start
}
