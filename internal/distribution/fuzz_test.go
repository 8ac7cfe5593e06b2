package distribution_test

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/identity"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

var (
	start = time.Unix(1_700_000_000, 0)
	peer  = identity.Identity{Role: identity.RoleProxy, Zone: "harbour", Machine: "m1", Services: []string{"driver-app"}}
	node  = distribution.Node{Name: "m1", Incarnation: 1, Zone: "harbour"}
)

const secretValue = "planted-secret"

func put(kind resource.Kind, name string, fill func(*resource.Resource)) resource.Change {
	declared := &resource.Resource{Kind: kind, Metadata: resource.Metadata{Name: name}}
	fill(declared)
	return resource.Change{Action: resource.ActionPut, Resource: declared}
}

// parent is a relay at version 1 with one route for the peer and one, with a
// secret, for others.
func parent() *relay.Core {
	core := relay.New(relay.DefaultConfig(), distribution.Node{Name: "r1", Incarnation: 1, Zone: "harbour"})
	core.SetSource(start, distribution.Source{})
	changes := []resource.Change{
		put(resource.KindService, "tariffs", func(r *resource.Resource) { r.Service = &resource.ServiceSpec{Slots: 1} }),
		put(resource.KindService, "billing", func(r *resource.Resource) { r.Service = &resource.ServiceSpec{Slots: 1} }),
		put(resource.KindSecret, "key", func(r *resource.Resource) {
			r.Secret = &resource.SecretSpec{Header: "Authorization", Value: secretValue}
		}),
		put(resource.KindRoute, "tariffs", func(r *resource.Resource) {
			r.Route = &resource.RouteSpec{Service: "tariffs", Consumers: []string{"driver-app"}}
		}),
		put(resource.KindRoute, "billing", func(r *resource.Resource) {
			r.Route = &resource.RouteSpec{Service: "billing", Secret: "key", Consumers: []string{"clerk"}}
		}),
	}
	core.Advance(start, []resource.Entry{{Version: 1, Batches: []resource.Batch{{Changes: changes}}}})
	return core
}

func encoded(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

// FuzzHello: whatever a proxy says on opening a stream, it gets its own view
// or a refusal, and the configuration stays as it is.
func FuzzHello(f *testing.F) {
	f.Add(encoded(distribution.Hello{Node: node, Kind: distribution.ChildProxy, Entitlement: peer.Entitlement()}))
	f.Add(encoded(distribution.Hello{Node: node, Kind: distribution.ChildControl}))
	f.Add(encoded(distribution.Hello{Node: node, Kind: distribution.ChildProxy, Version: 1 << 63, Digest: "0",
		Endpoints: []endpoint.Update{{ID: endpoint.ID{Service: "driver-app", Name: "e"}, Zone: "harbour", State: endpoint.Down}}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		var hello distribution.Hello
		if json.Unmarshal(body, &hello) != nil || identity.AdmitHello(peer, &hello) != nil {
			return
		}
		if hello.Kind != distribution.ChildProxy || hello.Entitlement.Class() != peer.Entitlement().Class() {
			t.Fatalf("admitted %+v", hello)
		}
		core := parent()
		outputs := core.Attach(start, 1, hello)
		for _, send := range outputs.Sends {
			checkView(t, send.Message)
		}
		if core.State().Version() != 1 {
			t.Fatalf("the configuration moved to version %d", core.State().Version())
		}
		after := start.Add(time.Minute)
		core.Tick(after)
		newcomer := distribution.Hello{Node: distribution.Node{Name: "m2", Incarnation: 1, Zone: "harbour"},
			Kind: distribution.ChildProxy, Entitlement: peer.Entitlement()}
		if refused := core.Attach(after, 2, newcomer).Refusals; len(refused) > 0 {
			t.Fatalf("a newcomer is refused after a minute: %v", refused)
		}
	})
}

// checkView fails when a message holds what the peer is not entitled to.
func checkView(t *testing.T, message *distribution.Message) {
	if message.Checkpoint != nil || message.Entries != nil || message.Readers != nil || message.Zones != nil {
		t.Fatalf("a proxy was sent what control daemons get: %s", encoded(message))
	}
	if message.Snapshot != nil && (len(message.Snapshot.Secrets) > 0 || message.Snapshot.Routes["billing"] != nil) {
		t.Fatalf("a proxy was sent another consumer's route: %s", encoded(message))
	}
}

// FuzzReport: whatever a proxy reports, the configuration stays as it is and
// no version is said to be in force that the relay has not reached.
func FuzzReport(f *testing.F) {
	f.Add(encoded(distribution.Report{Node: node, Applied: 1}))
	f.Add(encoded(distribution.Report{Node: node, Applied: 1 << 63, Failure: &distribution.ApplyFailure{Version: 2, Reason: "x"}}))
	f.Add(encoded(distribution.Report{Node: node, Zones: []distribution.ZoneStatus{{Zone: "harbour", Highest: 9}}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		var report distribution.Report
		if json.Unmarshal(body, &report) != nil || identity.AdmitReport(peer, &report) != nil {
			return
		}
		core := parent()
		core.Attach(start, 1, distribution.Hello{Node: node, Kind: distribution.ChildProxy, Entitlement: peer.Entitlement()})
		core.Report(start, 1, report)
		core.Tick(start.Add(time.Minute))
		if core.State().Version() != 1 || core.Floor("harbour") > 1 {
			t.Fatalf("version %d, floor %d", core.State().Version(), core.Floor("harbour"))
		}
		for _, zone := range core.Zones() {
			if zone.Highest > 1 {
				t.Fatalf("version %d is said to be in force", zone.Highest)
			}
		}
	})
}

// FuzzMessage: whatever a parent sends, a child applies only whole, closed
// content above what it has in force; a control child's relay takes it in.
func FuzzMessage(f *testing.F) {
	snapshot := projection.Project(parent().State(), projection.Entitlement{Zone: "harbour", Services: []string{"clerk"}})
	f.Add(encoded(distribution.Message{Version: 1, Snapshot: snapshot}), true)
	f.Add(encoded(distribution.Message{Version: 2, Delta: projection.Diff(snapshot, snapshot.WithVersion(2))}), false)
	f.Add(encoded(distribution.Message{Checkpoint: &distribution.Checkpoint{Version: 9, Resources: parent().State().All()}}), false)
	f.Add(encoded(distribution.Message{Entries: []resource.Entry{{Version: 2, Batches: []resource.Batch{{
		Changes: []resource.Change{{Action: resource.ActionDelete, Key: resource.Key{Kind: resource.KindRoute, Name: "tariffs"}}}}}}}}), false)
	f.Add([]byte(`{"snapshot":{"version":3,"routes":{"a":null}}}`), true)
	f.Add([]byte(`{"checkpoint":{"version":3,"resources":[null]}}`), true)
	f.Add([]byte(`{"entries":[{"version":2,"batches":[{"changes":[{"action":"put"}]}]}]}`), true)
	f.Fuzz(func(t *testing.T, line []byte, rightDigest bool) {
		message := &distribution.Message{}
		if json.Unmarshal(line, message) != nil || message.WellFormed() != nil {
			return
		}
		if rightDigest && message.Snapshot != nil {
			message.Snapshot.Digest = message.Snapshot.ComputeDigest()
		}
		takeAsProxy(t, message)
		takeAsControl(message)
	})
}

func child(kind distribution.ChildKind) *subscriber.Core {
	core := subscriber.New(subscriber.DefaultConfig(), node, kind, peer.Entitlement(), rand.New(rand.NewPCG(1, 1)))
	core.Parents(start, []subscriber.Parent{{Node: "r1", Address: "127.0.0.1:1"}})
	core.Tick(start.Add(time.Minute))
	core.Connected(start.Add(time.Minute))
	return core
}

func takeAsProxy(t *testing.T, message *distribution.Message) {
	core, now := child(distribution.ChildProxy), start.Add(time.Minute)
	for range 2 {
		before := core.Version()
		applied := core.Received(now, message).Apply
		if applied == nil {
			continue
		}
		if applied.Version <= before || applied.Verify() != nil || applied.CheckReferences() != nil {
			t.Fatalf("applies %s over version %d", encoded(applied), before)
		}
		core.Applied(now, applied.Version)
	}
}

func takeAsControl(message *distribution.Message) {
	core, now := child(distribution.ChildControl), start.Add(time.Minute)
	outputs := core.Received(now, message)
	relaying := parent()
	if outputs.Checkpoint != nil {
		relaying.Restore(now, *outputs.Checkpoint)
	}
	relaying.Advance(now, outputs.Entries)
	relaying.ParentZones(now, "r1", outputs.Zones)
	relaying.SetReaders(now, slices.Clone(outputs.Readers))
	projection.Project(relaying.State(), peer.Entitlement())
}
