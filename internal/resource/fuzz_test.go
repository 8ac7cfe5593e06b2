package resource_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// FuzzDecode feeds the decoders any bytes. They never panic, refuse only with
// field errors, and what they accept reads the same after it was written.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(serviceYAML))
	f.Add([]byte("---\n" + serviceYAML + "---\n" + routeJSON))
	f.Add([]byte(`{"changes":[{"action":"put","resource":` + routeJSON + `,"ifVersion":3},{"action":"delete","key":{"kind":"Secret","name":"s"}}]}`))
	f.Add([]byte("apiVersion: kestrelstream/v1\nkind: Placement\nmetadata: {name: p}\nspec: {service: s, rules: [{callerZones: [a], backendZones: [b]}]}"))
	f.Add([]byte("apiVersion: kestrelstream/v1\nkind: Secret\nmetadata: {name: &a s, labels: {x: *a}}\nspec: {header: X, value: v}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := resource.DecodeDocuments(data)
		requireRejection(t, err)
		for _, one := range decoded {
			_ = resource.Validate(0, one)
			requireSameAfterWriting(t, one)
		}
		changes, err := resource.DecodeChanges(data)
		requireRejection(t, err)
		if err == nil {
			_, err = resource.Admit(resource.NewState(), batch(changes...))
			requireRefusal(t, err)
		}
	})
}

func requireSameAfterWriting(t *testing.T, one *resource.Resource) {
	t.Helper()
	written, err := json.Marshal(one)
	if err != nil {
		t.Fatal(err)
	}
	again, err := resource.DecodeJSON(written)
	if err != nil {
		t.Fatalf("%s: %v", written, err)
	}
	rewritten, err := json.Marshal(again)
	if err != nil || string(rewritten) != string(written) {
		t.Fatalf("%s became %s (%v)", written, rewritten, err)
	}
}

func requireRejection(t *testing.T, err error) {
	t.Helper()
	var rejected *resource.RejectionError
	if err != nil && (!errors.As(err, &rejected) || len(rejected.Fields) == 0) {
		t.Fatalf("not a rejection with fields: %v", err)
	}
}

func requireRefusal(t *testing.T, err error) {
	t.Helper()
	var conflict *resource.ConflictError
	if !errors.As(err, &conflict) {
		requireRejection(t, err)
	}
}

// FuzzAdmit applies batches drawn from the input. Whatever is accepted
// projects to closed snapshots for every entitlement class, replays to the
// same state, and leaves the state before it unchanged.
func FuzzAdmit(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x03\x00\x00\x00\x00\x01\x00\x00\x00\x02\x00\x00\x00\x03\x00\x00"))
	f.Add([]byte("a long enough input to draw several batches of several changes from, whatever they be"))
	f.Fuzz(func(t *testing.T, data []byte) {
		source := &drawer{data: data}
		state := resource.NewState()
		for !source.empty() {
			drawn := source.batch()
			before := state.All()
			next, err := resource.Admit(state, drawn)
			if !reflect.DeepEqual(before, state.All()) {
				t.Fatal("the state before was changed")
			}
			if err != nil {
				requireRefusal(t, err)
				continue
			}
			replayed, follows := state.Advance(resource.Entry{Version: state.Version() + 1, Batches: []resource.Batch{drawn}})
			if !follows || replayed.Size() != next.Size() || !reflect.DeepEqual(replayed.All(), next.All()) {
				t.Fatal("replay gives another state than admission")
			}
			state = next
			requireClosed(t, state)
		}
	})
}

// Names drawn by the fuzz target; few, so that references often hold.
var (
	drawnNames     = []string{"a", "b", "c"}
	drawnConsumers = []string{"x", "y", resource.AnyConsumer}
	drawnZones     = []string{"north", "south"}
	drawnMethods   = [][]string{nil, {"GET"}, {"POST"}, {"GET", "POST"}}
)

// requireClosed projects a state for every class of the drawn names.
func requireClosed(t *testing.T, state *resource.State) {
	t.Helper()
	identities := append(append([]string{}, drawnNames...), drawnConsumers[:2]...)
	for _, zone := range append([]string{"elsewhere"}, drawnZones...) {
		for subset := range 1 << len(identities) {
			entitlement := projection.Entitlement{Zone: zone}
			for index, identity := range identities {
				if subset&(1<<index) != 0 {
					entitlement.Services = append(entitlement.Services, identity)
				}
			}
			if err := projection.Project(state, entitlement).CheckReferences(); err != nil {
				t.Fatalf("class %s: %v", entitlement.Class(), err)
			}
		}
	}
}

// drawer turns bytes into batches.
type drawer struct{ data []byte }

func (d *drawer) empty() bool { return len(d.data) == 0 }

func (d *drawer) next(bound int) int {
	if d.empty() {
		return 0
	}
	drawn := int(d.data[0]) % bound
	d.data = d.data[1:]
	return drawn
}

func (d *drawer) name() string { return drawnNames[d.next(len(drawnNames))] }

func (d *drawer) batch() resource.Batch {
	drawn := batch()
	for range 1 + d.next(4) {
		drawn.Changes = append(drawn.Changes, d.change())
	}
	return drawn
}

func (d *drawer) change() resource.Change {
	change := put(d.resource())
	switch d.next(8) {
	case 0, 1, 2:
		change = remove(change.Resource.Kind, change.Resource.Metadata.Name)
	case 3:
		change = expecting(change, uint64(d.next(4)))
	case 4:
		change.Resource.Metadata.ResourceVersion = uint64(d.next(4))
	}
	return change
}

func (d *drawer) resource() *resource.Resource {
	switch d.next(4) {
	case 0:
		return secret(d.name())
	case 1:
		drawn := service(d.name())
		drawn.Service.Deadline = resource.Duration(time.Duration(d.next(3)) * time.Second)
		return drawn
	case 2:
		drawn := placement(d.name(), d.name())
		drawn.Placement.Rules[0].CallerZones = drawnZones[:d.next(len(drawnZones)+1)]
		return drawn
	default:
		drawn := route(d.name(), d.name(), "")
		drawn.Route.Host = fmt.Sprintf("h%d.city", d.next(2))
		drawn.Route.Methods = drawnMethods[d.next(len(drawnMethods))]
		drawn.Route.Consumers = drawnConsumers[d.next(len(drawnConsumers)):][:1]
		if d.next(2) == 0 {
			drawn.Route.Secret = d.name()
		}
		return drawn
	}
}
