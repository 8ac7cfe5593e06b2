package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

var start = time.Unix(1_700_000_000, 0)

func service(name string, slots int) resource.Change {
	return put(&resource.Resource{
		Kind: resource.KindService, Metadata: resource.Metadata{Name: name},
		Service: &resource.ServiceSpec{Slots: slots, Connections: 1, Selector: &resource.EndpointSelector{}},
	})
}

func route(name, service, consumer string) resource.Change {
	return put(&resource.Resource{
		Kind: resource.KindRoute, Metadata: resource.Metadata{Name: name},
		Route: &resource.RouteSpec{Service: service, PathPrefix: "/" + name, Consumers: []string{consumer}},
	})
}

func put(r *resource.Resource) resource.Change {
	return resource.Change{Action: resource.ActionPut, Resource: r}
}

func entry(version uint64, changes ...resource.Change) resource.Entry {
	return resource.Entry{Version: version, Batches: []resource.Batch{{Changes: changes}}}
}

func proxyHello(name string, version uint64, digest string, services ...string) distribution.Hello {
	return distribution.Hello{
		Node:        distribution.Node{Name: name, Incarnation: 1, Zone: "z1"},
		Kind:        distribution.ChildProxy,
		Entitlement: projection.Entitlement{Zone: "z1", Services: services},
		Version:     version, Digest: digest,
	}
}

func controlHello(name string, version uint64) distribution.Hello {
	return distribution.Hello{
		Node: distribution.Node{Name: name, Incarnation: 1, Zone: "z1"},
		Kind: distribution.ChildControl, Version: version,
	}
}

func update(name string, sequence uint64, state endpoint.State) endpoint.Update {
	return endpoint.Update{
		ID: endpoint.ID{Service: "orders", Name: name}, Incarnation: 1, Sequence: sequence, State: state, Zone: "z1",
	}
}

// loaded returns a relay at version 2 with the services orders and stock, and a
// route to orders for the consumer shop.
func loaded(change func(*relay.Config)) *relay.Core {
	config := relay.DefaultConfig()
	if change != nil {
		change(&config)
	}
	core := relay.New(config, distribution.Node{Name: "r1", Incarnation: 1, Zone: "z1"})
	core.SetSource(start, distribution.Source{})
	core.Advance(start, []resource.Entry{
		entry(1, service("orders", 1), service("stock", 1)),
		entry(2, route("orders", "orders", "shop")),
	})
	return core
}

func messages(outputs relay.Outputs) []*distribution.Message {
	var list []*distribution.Message
	for _, send := range outputs.Sends {
		list = append(list, send.Message)
	}
	return list
}

var _ = Describe("a relay's streams", func() {
	It("sends a snapshot, then a delta, then the version alone, as one message shared by the class", func() {
		core := loaded(nil)
		first := core.Attach(start, 1, proxyHello("p1", 0, "", "shop"))
		core.Attach(start, 2, proxyHello("p2", 0, "", "shop"))
		Expect(first.Sends).To(HaveLen(1))
		Expect(first.Sends[0].Message.Snapshot.Version).To(BeEquivalentTo(2))
		Expect(first.Sends[0].Message.Source).NotTo(BeNil())
		core.Sent(start, 1)
		core.Sent(start, 2)

		touched := core.Advance(start, []resource.Entry{entry(3, service("orders", 9))})
		Expect(touched.Sends).To(HaveLen(2))
		Expect(touched.Sends[0].Message).To(BeIdenticalTo(touched.Sends[1].Message))
		Expect(touched.Sends[0].Message.Delta.PutServices).To(HaveKey("orders"))
		core.Sent(start, 1)
		core.Sent(start, 2)

		untouched := core.Advance(start, []resource.Entry{entry(4, service("stock", 9))})
		Expect(messages(untouched)).To(HaveEach(Equal(&distribution.Message{Version: 4})))
	})

	It("keeps one message in flight and only the newest state behind it", func() {
		core := loaded(nil)
		core.Attach(start, 1, proxyHello("p1", 0, "", "shop"))
		for version := uint64(3); version < 40; version++ {
			Expect(core.Advance(start, []resource.Entry{entry(version, service("orders", int(version)))}).Sends).To(BeEmpty())
		}
		next := core.Sent(start, 1)
		Expect(next.Sends).To(HaveLen(1))
		Expect(next.Sends[0].Message.Delta.FromVersion).To(BeEquivalentTo(2))
		Expect(next.Sends[0].Message.Delta.Version).To(BeEquivalentTo(39))
		Expect(core.Sent(start, 1).Sends).To(BeEmpty())
	})

	It("closes a stream whose message can't be written, without delaying its siblings", func() {
		core := loaded(nil)
		core.Attach(start, 1, proxyHello("stuck", 0, "", "shop"))
		core.Attach(start, 2, proxyHello("p2", 0, "", "shop"))
		core.Sent(start, 2)
		sent := core.Advance(start, []resource.Entry{entry(3, service("orders", 3))})
		Expect(sent.Sends).To(HaveLen(1))
		Expect(sent.Sends[0].Session).To(Equal(relay.SessionID(2)))
		core.Sent(start, 2)
		core.Tick(start.Add(time.Second))
		Expect(core.Tick(start.Add(11 * time.Second)).Closes).To(Equal([]relay.SessionID{1}))
	})

	DescribeTable("resumes from what the child holds", func(version uint64, known bool, want string) {
		core := loaded(nil)
		digest := "unknown"
		if known {
			digest = projection.Project(core.State(), projection.Entitlement{Zone: "z1", Services: []string{"shop"}}).Digest
		}
		core.Attach(start, 9, proxyHello("other", 0, "", "shop"))
		core.Advance(start, []resource.Entry{entry(3, service("orders", 5))})
		outputs := core.Attach(start, 1, proxyHello("p1", version, digest, "shop"))
		Expect(outputs.Sends).To(HaveLen(1))
		message := outputs.Sends[0].Message
		got := map[bool]string{true: "snapshot"}[message.Snapshot != nil] + map[bool]string{true: "delta"}[message.Delta != nil]
		Expect(got).To(Equal(want))
	},
		Entry("nothing held", uint64(0), false, "snapshot"),
		Entry("an unknown digest", uint64(2), false, "snapshot"),
		Entry("an older content still in the history", uint64(2), true, "delta"),
	)

	DescribeTable("refuses what it can't serve", func(prepare func(*relay.Core), hello distribution.Hello, empty bool, want relay.Reason) {
		core := loaded(func(c *relay.Config) { c.MaximumSnapshots = 1 })
		if empty {
			core = relay.New(relay.DefaultConfig(), distribution.Node{Name: "r1"})
		}
		prepare(core)
		outputs := core.Attach(start, 5, hello)
		Expect(outputs.Sends).To(BeEmpty())
		Expect(outputs.Refusals).To(HaveLen(1))
		Expect(outputs.Refusals[0].Reason).To(Equal(want))
		Expect(outputs.Refusals[0].RetryAfter).To(BeNumerically(">", 0))
	},
		Entry("an empty relay", func(*relay.Core) {}, proxyHello("p", 0, "", "shop"), true, relay.ReasonNotReady),
		Entry("a child ahead of it", func(*relay.Core) {}, proxyHello("p", 3, "d", "shop"), false, relay.ReasonBehind),
		Entry("a new child after a higher version was claimed in its zone", func(c *relay.Core) {
			c.Attach(start, 1, proxyHello("ahead", 7, "d", "shop"))
		}, proxyHello("p", 0, "", "shop"), false, relay.ReasonBehind),
		Entry("a new child after the parent reported a higher version in force in the zone", func(c *relay.Core) {
			c.ParentZones(start, "reader", []distribution.ZoneStatus{{Zone: "z1", Relay: "r2", Stamp: 1, Proxies: 1, Highest: 3}})
		}, proxyHello("p", 0, "", "shop"), false, relay.ReasonBehind),
		Entry("one snapshot too many", func(c *relay.Core) {
			c.Attach(start, 1, proxyHello("other", 0, "", "shop"))
		}, proxyHello("p", 0, "", "shop"), false, relay.ReasonBusy),
		Entry("an earlier incarnation", func(c *relay.Core) {
			hello := proxyHello("p", 0, "", "shop")
			hello.Node.Incarnation = 2
			c.Attach(start, 1, hello)
			c.Sent(start, 1)
		}, proxyHello("p", 0, "", "shop"), false, relay.ReasonStaleIncarnation),
	)

	It("sends summaries to a control child even if ticks are late", func() {
		core := loaded(func(*relay.Config) {})
		const late = 7 * time.Millisecond
		for id := relay.SessionID(1); id <= 3; id++ {
			core.Attach(start, id, controlHello(fmt.Sprintf("d%d", id), 2))
			core.Sent(start, id)
		}
		core.ParentZones(start, "reader", []distribution.ZoneStatus{{Zone: "z9", Relay: "r9", Stamp: 1, Proxies: 1, Highest: 2}})
		told := map[relay.SessionID]bool{}
		for now := start; now.Before(start.Add(10 * time.Second)); {
			now = core.NextTick().Add(late)
			for _, send := range core.Tick(now).Sends {
				told[send.Session] = told[send.Session] || len(send.Message.Zones) > 0
				core.Sent(now, send.Session)
			}
		}
		Expect(told).To(Equal(map[relay.SessionID]bool{1: true, 2: true, 3: true}))
	})

	It("accepts a control child with an empty log once it has a path to a reader", func() {
		core := relay.New(relay.DefaultConfig(), distribution.Node{Name: "r1"})
		Expect(core.Attach(start, 1, controlHello("d1", 0)).Refusals).To(HaveLen(1))
		core.SetSource(start, distribution.Source{Hops: 1})
		Expect(core.Attach(start, 2, controlHello("d1", 0)).Refusals).To(BeEmpty())
	})

	It("sends control children entries, and a checkpoint when the tail is too short", func() {
		core := loaded(func(c *relay.Config) { c.HistoryLength = 2 })
		for version := uint64(3); version <= 8; version++ {
			core.Advance(start, []resource.Entry{entry(version, service("orders", int(version)))})
		}
		near := core.Attach(start, 1, controlHello("d1", 7))
		Expect(near.Sends[0].Message.Entries).To(HaveLen(1))
		far := core.Attach(start, 2, controlHello("d2", 1))
		Expect(far.Sends[0].Message.Checkpoint.Version).To(BeEquivalentTo(8))
	})

	It("combines changes over the batch window at a reader", func() {
		core := loaded(func(c *relay.Config) { c.BatchWindow = 100 * time.Millisecond })
		core.Tick(start.Add(100 * time.Millisecond))
		core.Attach(start, 1, proxyHello("p1", 0, "", "shop"))
		core.Sent(start, 1)
		at := start.Add(time.Second)
		Expect(core.Advance(at, []resource.Entry{entry(3, service("orders", 3))}).Sends).To(BeEmpty())
		Expect(core.Advance(at.Add(50*time.Millisecond), []resource.Entry{entry(4, service("orders", 4))}).Sends).To(BeEmpty())
		flushed := core.Tick(at.Add(100 * time.Millisecond))
		Expect(flushed.Sends).To(HaveLen(1))
		Expect(flushed.Sends[0].Message.Delta.Version).To(BeEquivalentTo(4))
	})

	It("sends heartbeats on idle streams only", func() {
		core := loaded(nil)
		core.Attach(start, 1, proxyHello("p1", 0, "", "shop"))
		core.Sent(start, 1)
		Expect(core.Tick(core.NextTick()).Sends).To(BeEmpty(), "the snapshot was sent in this interval")
		var heartbeats int
		for range 4 {
			for _, heartbeat := range messages(core.Tick(core.NextTick())) {
				Expect(heartbeat).To(Equal(&distribution.Message{}), "a heartbeat is an empty message")
				heartbeats++
			}
			core.Sent(start, 1)
		}
		Expect(heartbeats).To(BeNumerically(">=", 2))
	})
})

var _ = Describe("a relay's endpoint states", func() {
	attach := func(core *relay.Core) {
		core.Attach(start, 1, proxyHello("p1", 0, "", "orders"))
		core.Attach(start, 2, proxyHello("p2", 0, "", "shop"))
		core.Attach(start, 3, proxyHello("p3", 0, "", "stock"))
		core.Attach(start, 4, controlHello("d1", 2))
		for id := relay.SessionID(1); id <= 4; id++ {
			core.Sent(start, id)
		}
	}
	reportOf := func(updates ...endpoint.Update) distribution.Report {
		return distribution.Report{Node: distribution.Node{Name: "p1", Incarnation: 1}, Applied: 2, Endpoints: updates}
	}

	It("go to the entitled siblings, control children and the parent", func() {
		core := loaded(nil)
		attach(core)
		outputs := core.Report(start, 1, reportOf(update("b1", 2, endpoint.Draining)))
		var to []relay.SessionID
		for _, send := range outputs.Sends {
			to = append(to, send.Session)
		}
		Expect(to).To(Equal([]relay.SessionID{2, 4}))
		Expect(outputs.Report.Endpoints).To(HaveLen(1))
	})

	DescribeTable("after their authority's session is lost", func(meanwhile func(*relay.Core), want endpoint.State) {
		core := loaded(nil)
		attach(core)
		core.Report(start, 1, reportOf(update("b1", 2, endpoint.Ready)))
		core.Detach(start, 1)
		meanwhile(core)
		for range 8 {
			core.Tick(core.NextTick())
		}
		core.Tick(start.Add(4 * time.Second))
		Expect(core.Endpoints()).To(HaveLen(1))
		Expect(core.Endpoints()[0].State).To(Equal(want))
	},
		Entry("not reported again: down", func(*relay.Core) {}, endpoint.Down),
		Entry("reported by the parent with a new sequence: kept", func(c *relay.Core) {
			c.ParentEndpoints(start, "reader", []endpoint.Update{update("b1", 4, endpoint.Ready)})
		}, endpoint.Ready),
		Entry("attached again: kept", func(c *relay.Core) {
			hello := proxyHello("p1", 2, "", "orders")
			hello.Endpoints = []endpoint.Update{update("b1", 2, endpoint.Ready)}
			c.Attach(start, 8, hello)
		}, endpoint.Ready),
	)

	It("are not declared down while a session reports them; their authority is asked to refute", func() {
		core := loaded(nil)
		attach(core)
		core.Report(start, 1, reportOf(update("b1", 2, endpoint.Ready)))
		outputs := core.ParentEndpoints(start, "reader", []endpoint.Update{update("b1", 3, endpoint.Down)})
		Expect(core.Endpoints()[0].State).To(Equal(endpoint.Ready))
		Expect(outputs.Sends).To(HaveLen(1))
		Expect(outputs.Sends[0].Session).To(Equal(relay.SessionID(1)))
		authority := endpoint.NewAuthority(update("b1", 0, endpoint.Ready))
		refuting, refutes := authority.Observe(start, outputs.Sends[0].Message.Endpoints[0])
		Expect(refutes).To(BeTrue())
		Expect(refuting.Sequence).To(BeEquivalentTo(4))
	})

	It("declared down in a partitioned zone are refuted by their authority once it reconnects", func() {
		declared := update("b1", 3, endpoint.Down)
		zone := loaded(nil)
		zone.SetSource(start, distribution.Source{Hops: 1})
		zone.ParentEndpoints(start, "upper", []endpoint.Update{declared})
		outputs := zone.ParentEndpoints(start, "upper", []endpoint.Update{update("b1", 2, endpoint.Ready)})
		Expect(zone.Endpoints()).To(Equal([]endpoint.Update{declared}))
		Expect(outputs.Report.Endpoints).To(Equal([]endpoint.Update{declared}))

		upper := loaded(nil)
		attach(upper)
		upper.Report(start, 1, reportOf(update("b1", 2, endpoint.Ready)))
		upper.Attach(start, 7, controlHello("zone", 2))
		upper.Sent(start, 7)
		outputs = upper.Report(start, 7, distribution.Report{Node: distribution.Node{Incarnation: 1}, Endpoints: []endpoint.Update{declared}})
		Expect(upper.Endpoints()[0].State).To(Equal(endpoint.Ready), "not applied while a session reports it")
		Expect(outputs.Sends).To(HaveLen(1))
		Expect(outputs.Sends[0].Session).To(Equal(relay.SessionID(1)))
		Expect(outputs.Sends[0].Message.Endpoints).To(Equal([]endpoint.Update{declared}))
		outputs = upper.Report(start, 1, reportOf(update("b1", 4, endpoint.Ready)))
		Expect(outputs.Sends).To(ContainElement(HaveField("Session", relay.SessionID(7))))
	})

	It("are declared down when the node that the declaration was forwarded to does not refute it", func() {
		core := loaded(nil)
		reported := func(id relay.SessionID, said endpoint.Update) {
			core.Report(start, id, distribution.Report{Node: distribution.Node{Incarnation: 1}, Endpoints: []endpoint.Update{said}})
		}
		for id := relay.SessionID(7); id <= 8; id++ {
			core.Attach(start, id, controlHello(fmt.Sprint("zone", id), 2))
			core.Sent(start, id)
		}
		reported(8, update("b1", 2, endpoint.Ready))
		reported(7, update("b1", 3, endpoint.Down))
		Expect(core.Endpoints()[0].State).To(Equal(endpoint.Ready))
		Expect(core.NextTick()).To(BeTemporally("<=", start.Add(2*time.Second)))
		core.Tick(start.Add(2 * time.Second))
		Expect(core.Endpoints()[0].State).To(Equal(endpoint.Down))
	})

	It("reported again by a parent that was lost and reattached are not down", func() {
		core := loaded(nil)
		ready := []endpoint.Update{update("b1", 2, endpoint.Ready)}
		core.ParentEndpoints(start, "peer", ready)
		core.ParentLost(start, "peer")
		core.ParentEndpoints(start.Add(time.Second), "peer", ready)
		core.Tick(start.Add(time.Minute))
		Expect(core.Endpoints()).To(Equal(ready))
	})

	It("of a failed reader are down even if a former parent reported it first", func() {
		core := loaded(nil)
		reader := endpoint.Update{
			ID:          endpoint.ID{Service: endpoint.ControlService, Name: "reader"},
			Incarnation: 1, Sequence: 4, State: endpoint.Ready, Zone: "z2",
		}
		core.SetSource(start, distribution.Source{Hops: 2})
		core.ParentEndpoints(start, "former", []endpoint.Update{reader})
		core.ParentLost(start, "former")
		core.SetSource(start, distribution.Source{})
		core.ParentEndpoints(start, "reader", []endpoint.Update{reader})
		core.PeerEndpoints(start, "other", []endpoint.Update{reader})
		core.ParentLost(start.Add(time.Second), "reader")
		core.Tick(start.Add(time.Minute))
		Expect(core.Endpoints()[0].State).To(Equal(endpoint.Down))
	})

	It("are sent to a peer as heard if another peer reported them", func() {
		core := loaded(nil)
		peer := controlHello("peer", 2)
		peer.Readers = []distribution.Reader{{Slot: 1, Node: "10.0.0.1:2", Revision: 2}}
		core.ParentEndpoints(start, "other", []endpoint.Update{update("theirs", 2, endpoint.Ready)})
		attach(core)
		core.Report(start, 1, reportOf(update("own", 2, endpoint.Ready)))
		told := core.Attach(start, 9, peer).Sends[0].Message
		Expect(told.Endpoints).To(ConsistOf(HaveField("ID.Name", "own")))
		Expect(told.Heard).To(ConsistOf(HaveField("ID.Name", "theirs")))
	})

	It("are down when the child that reports them declares so", func() {
		core := loaded(nil)
		core.Attach(start, 7, controlHello("zone", 2))
		core.Sent(start, 7)
		for _, said := range []endpoint.Update{update("b1", 2, endpoint.Ready), update("b1", 3, endpoint.Down)} {
			core.Report(start, 7, distribution.Report{Node: distribution.Node{Incarnation: 1}, Endpoints: []endpoint.Update{said}})
		}
		Expect(core.Endpoints()[0].State).To(Equal(endpoint.Down))
	})

	It("drain at once when the platform lists the machine as leaving", func() {
		core := loaded(nil)
		attach(core)
		core.Report(start, 1, reportOf(update("b1", 2, endpoint.Ready)))
		core.MachineLeaving(start, "p1")
		Expect(core.Endpoints()[0].State).To(Equal(endpoint.Draining))
	})

	DescribeTable("of a machine listed as leaving while its process was detached",
		func(attached time.Duration, incarnation time.Duration, want endpoint.State) {
			core := loaded(nil)
			core.MachineLeaving(start, "p1")
			hello := proxyHello("p1", 0, "", "orders")
			hello.Node.Incarnation = uint64(start.Add(incarnation).UnixMilli())
			hello.Endpoints = []endpoint.Update{update("b1", 2, endpoint.Ready)}
			outputs := core.Attach(start.Add(attached), 1, hello)
			Expect(core.Endpoints()[0].State).To(Equal(want))
			if want == endpoint.Draining {
				Expect(outputs.Sends[0].Message.Endpoints).To(ContainElement(HaveField("State", want)))
			}
		},
		Entry("drain when it attaches", 20*time.Second, -time.Hour, endpoint.Draining),
		Entry("are unaffected if the process started later", 20*time.Second, 10*time.Second, endpoint.Ready),
		Entry("are unaffected after the retention time", time.Hour, -time.Hour, endpoint.Ready),
	)
})

var _ = Describe("a relay's status", func() {
	It("reduces proxies to lowest, highest, count and a bounded list of laggards", func() {
		core := loaded(func(c *relay.Config) { c.MaximumLaggards = 2 })
		for id := relay.SessionID(1); id <= 5; id++ {
			core.Attach(start, id, proxyHello(fmt.Sprint("p", id), 0, "", "shop"))
			core.Sent(start, id)
		}
		failure := &distribution.ApplyFailure{Version: 2, Step: "compile", Reason: "bad"}
		core.Report(start, 1, distribution.Report{Node: distribution.Node{Incarnation: 1}, Failure: failure})
		core.Report(start, 5, distribution.Report{Node: distribution.Node{Incarnation: 1}, Applied: 2})
		outputs := core.Tick(start.Add(time.Second))
		Expect(outputs.Report.Zones).To(HaveLen(1))
		summary := outputs.Report.Zones[0]
		Expect(summary.Proxies).To(Equal(5))
		Expect(summary.Lowest).To(BeEquivalentTo(0))
		Expect(summary.Highest).To(BeEquivalentTo(2))
		Expect(summary.Laggards).To(HaveLen(2))
		Expect(summary.Laggards[0].Failure).To(Equal(failure))
		Expect(core.Zones()).To(Equal(outputs.Report.Zones))
	})

	It("exceeds the stamp of an earlier process after the clock was set back", func() {
		core := loaded(nil)
		core.Attach(start, 1, proxyHello("p1", 0, "", "shop"))
		core.Tick(start.Add(time.Second))
		later := uint64(start.Add(time.Hour).UnixMilli())
		outputs := core.ParentZones(start.Add(time.Second), "reader",
			[]distribution.ZoneStatus{{Zone: "z1", Relay: "r1", Stamp: later, Proxies: 9, Lowest: 2, Highest: 2}})
		Expect(outputs.Report.Zones).To(HaveLen(1))
		Expect(outputs.Report.Zones[0].Stamp).To(BeNumerically(">", later))
		Expect(outputs.Report.Zones[0].Proxies).To(Equal(1))
	})

	It("is sent again if others retired it while its proxies are attached", func() {
		core := loaded(nil)
		core.Attach(start, 1, proxyHello("p1", 0, "", "shop"))
		told := core.Tick(start.Add(time.Second)).Report.Zones[0]
		retired := distribution.ZoneStatus{Zone: told.Zone, Relay: told.Relay, Stamp: told.Stamp}
		outputs := core.ParentZones(start.Add(5*time.Second), "reader", []distribution.ZoneStatus{retired})
		Expect(outputs.Report).NotTo(BeNil())
		Expect(outputs.Report.Zones).To(ConsistOf(And(
			HaveField("Stamp", BeNumerically(">", told.Stamp)), HaveField("Proxies", 1),
		)))
		again := core.ParentZones(start.Add(6*time.Second), "reader", []distribution.ZoneStatus{retired})
		Expect(again.Report).To(BeNil())
	})

	It("of a lost relay is retired unless it is received through another path", func() {
		core := loaded(nil)
		core.Attach(start, 1, controlHello("r7", 2))
		core.Sent(start, 1)
		zones := []distribution.ZoneStatus{{Zone: "z9", Relay: "r7", Stamp: 5, Proxies: 3, Lowest: 2, Highest: 2}}
		core.Report(start, 1, distribution.Report{Node: distribution.Node{Incarnation: 1}, Zones: zones})
		Expect(core.Zones()).To(HaveLen(1))
		core.Detach(start, 1)
		Expect(core.Zones()).To(HaveLen(1))
		core.Tick(start.Add(4 * time.Second))
		Expect(core.Zones()).To(BeEmpty())
		Expect(core.Floor("z9")).To(BeEquivalentTo(2))
	})
})
