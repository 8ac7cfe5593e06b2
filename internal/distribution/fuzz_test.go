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

// putChange returns a change that puts a resource completed by fill.
func putChange(kind resource.Kind, name string, fill func(*resource.Resource)) resource.Change {
	declared := &resource.Resource{Kind: kind, Metadata: resource.Metadata{Name: name}}
	fill(declared)
	return resource.Change{Action: resource.ActionPut, Resource: declared}
}

// newParent returns a relay at version 1 with one route that admits the peer, and
// one with a secret that does not.
func newParent() *relay.Core {
	core := relay.New(relay.DefaultConfig(), distribution.Node{Name: "r1", Incarnation: 1, Zone: "harbour"})
	core.SetSource(start, distribution.Source{})
	changes := []resource.Change{
		putChange(resource.KindService, "tariffs", func(r *resource.Resource) { r.Service = &resource.ServiceSpec{Slots: 1} }),
		putChange(resource.KindService, "billing", func(r *resource.Resource) { r.Service = &resource.ServiceSpec{Slots: 1} }),
		putChange(resource.KindSecret, "key", func(r *resource.Resource) {
			r.Secret = &resource.SecretSpec{Header: "Authorization", Value: secretValue}
		}),
		putChange(resource.KindRoute, "tariffs", func(r *resource.Resource) {
			r.Route = &resource.RouteSpec{Service: "tariffs", Consumers: []string{"driver-app"}}
		}),
		putChange(resource.KindRoute, "billing", func(r *resource.Resource) {
			r.Route = &resource.RouteSpec{Service: "billing", Secret: "key", Consumers: []string{"clerk"}}
		}),
	}
	core.Advance(start, []resource.Entry{{Version: 1, Batches: []resource.Batch{{Changes: changes}}}})
	return core
}

// mustEncode returns the value as JSON.
func mustEncode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

// FuzzHello checks that whatever Hello a proxy opens a stream with, it receives
// only what it is entitled to or a refusal, the relay's configuration does not
// change, and another proxy can attach a minute later.
func FuzzHello(f *testing.F) {
	f.Add(mustEncode(distribution.Hello{Node: node, Kind: distribution.ChildProxy, Entitlement: peer.Entitlement()}))
	f.Add(mustEncode(distribution.Hello{Node: node, Kind: distribution.ChildControl}))
	f.Add(mustEncode(distribution.Hello{Node: node, Kind: distribution.ChildProxy, Version: 1 << 63, Digest: "0",
		Endpoints: []endpoint.Update{{ID: endpoint.ID{Service: "driver-app", Name: "e"}, Zone: "harbour", State: endpoint.Down}}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		var hello distribution.Hello
		if json.Unmarshal(body, &hello) != nil || identity.AdmitHello(peer, &hello) != nil {
			return
		}
		if hello.Kind != distribution.ChildProxy || hello.Entitlement.Class() != peer.Entitlement().Class() {
			t.Fatalf("admitted a Hello of another identity: %+v", hello)
		}
		core := newParent()
		outputs := core.Attach(start, 1, hello)
		for _, send := range outputs.Sends {
			checkEntitled(t, send.Message)
		}
		if core.State().Version() != 1 {
			t.Fatalf("the configuration changed to version %d", core.State().Version())
		}
		after := start.Add(time.Minute)
		core.Tick(after)
		other := distribution.Hello{Node: distribution.Node{Name: "m2", Incarnation: 1, Zone: "harbour"},
			Kind: distribution.ChildProxy, Entitlement: peer.Entitlement()}
		if refused := core.Attach(after, 2, other).Refusals; len(refused) > 0 {
			t.Fatalf("another proxy is refused a minute later: %v", refused)
		}
	})
}

// checkEntitled fails the test if a message holds anything that the peer is not
// entitled to.
func checkEntitled(t *testing.T, message *distribution.Message) {
	if message.Checkpoint != nil || message.Entries != nil || message.Readers != nil || message.Zones != nil {
		t.Fatalf("a proxy was sent fields that are only for control daemons: %s", mustEncode(message))
	}
	if message.Snapshot != nil && (len(message.Snapshot.Secrets) > 0 || message.Snapshot.Routes["billing"] != nil) {
		t.Fatalf("a proxy was sent a route or secret of another consumer: %s", mustEncode(message))
	}
}

// FuzzReport checks that whatever a proxy reports, the relay's configuration does
// not change and no version above the relay's own counts as in force.
func FuzzReport(f *testing.F) {
	f.Add(mustEncode(distribution.Report{Node: node, Applied: 1}))
	f.Add(mustEncode(distribution.Report{Node: node, Applied: 1 << 63, Failure: &distribution.ApplyFailure{Version: 2, Reason: "x"}}))
	f.Add(mustEncode(distribution.Report{Node: node, Zones: []distribution.ZoneStatus{{Zone: "harbour", Highest: 9}}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		var report distribution.Report
		if json.Unmarshal(body, &report) != nil || identity.AdmitReport(peer, &report) != nil {
			return
		}
		core := newParent()
		core.Attach(start, 1, distribution.Hello{Node: node, Kind: distribution.ChildProxy, Entitlement: peer.Entitlement()})
		core.Report(start, 1, report)
		core.Tick(start.Add(time.Minute))
		if core.State().Version() != 1 || core.Floor("harbour") > 1 {
			t.Fatalf("the relay reports version %d and floor %d", core.State().Version(), core.Floor("harbour"))
		}
		for _, zone := range core.Zones() {
			if zone.Highest > 1 {
				t.Fatalf("version %d counts as in force, though the relay has not reached it", zone.Highest)
			}
		}
	})
}

// FuzzMessage checks that whatever a parent sends, a proxy applies only content
// with a matching digest, no dangling references and a version above the one in
// force, and that the relay of a control child processes it without a panic.
func FuzzMessage(f *testing.F) {
	snapshot := projection.Project(newParent().State(), projection.Entitlement{Zone: "harbour", Services: []string{"clerk"}})
	f.Add(mustEncode(distribution.Message{Version: 1, Snapshot: snapshot}), true)
	f.Add(mustEncode(distribution.Message{Version: 2, Delta: projection.Diff(snapshot, snapshot.WithVersion(2))}), false)
	f.Add(mustEncode(distribution.Message{Checkpoint: &distribution.Checkpoint{Version: 9, Resources: newParent().State().All()}}), false)
	f.Add(mustEncode(distribution.Message{Entries: []resource.Entry{{Version: 2, Batches: []resource.Batch{{
		Changes: []resource.Change{{Action: resource.ActionDelete, Key: resource.Key{Kind: resource.KindRoute, Name: "tariffs"}}}}}}}}), false)
	f.Add([]byte(`{"snapshot":{"version":3,"routes":{"a":null}}}`), true)
	f.Add([]byte(`{"checkpoint":{"version":3,"resources":[null]}}`), true)
	f.Add([]byte(`{"entries":[{"version":2,"batches":[{"changes":[{"action":"put"}]}]}]}`), true)
	f.Fuzz(func(t *testing.T, line []byte, setDigest bool) {
		message := &distribution.Message{}
		if json.Unmarshal(line, message) != nil || message.WellFormed() != nil {
			return
		}
		if setDigest && message.Snapshot != nil {
			message.Snapshot.Digest = message.Snapshot.ComputeDigest()
		}
		receiveAsProxy(t, message)
		receiveAsControl(message)
	})
}

// newChild returns a subscriber that is connected to a parent.
func newChild(kind distribution.ChildKind) *subscriber.Core {
	core := subscriber.New(subscriber.DefaultConfig(), node, kind, peer.Entitlement(), rand.New(rand.NewPCG(1, 1)))
	core.Parents(start, []subscriber.Parent{{Node: "r1", Address: "127.0.0.1:1"}})
	core.Tick(start.Add(time.Minute))
	core.Connected(start.Add(time.Minute))
	return core
}

// receiveAsProxy delivers the message to a proxy twice and checks what it applies.
func receiveAsProxy(t *testing.T, message *distribution.Message) {
	core, now := newChild(distribution.ChildProxy), start.Add(time.Minute)
	for range 2 {
		before := core.Version()
		applied := core.Received(now, message).Apply
		if applied == nil {
			continue
		}
		if applied.Version <= before || applied.Verify() != nil || applied.CheckReferences() != nil {
			t.Fatalf("applied %s over version %d", mustEncode(applied), before)
		}
		core.Applied(now, applied.Version)
	}
}

// receiveAsControl delivers the message to a control child and passes its outputs on
// to a relay.
func receiveAsControl(message *distribution.Message) {
	core, now := newChild(distribution.ChildControl), start.Add(time.Minute)
	outputs := core.Received(now, message)
	relayCore := newParent()
	if outputs.Checkpoint != nil {
		relayCore.Restore(now, *outputs.Checkpoint)
	}
	relayCore.Advance(now, outputs.Entries)
	relayCore.ParentZones(now, "r1", outputs.Zones)
	relayCore.SetReaders(now, slices.Clone(outputs.Readers))
	projection.Project(relayCore.State(), peer.Entitlement())
}
