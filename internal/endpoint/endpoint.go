// Package endpoint defines the soft state of back ends: which are ready,
// warming, draining or down. The state is disseminated through the distribution
// tree and never written to the store. The package does no I/O and reads no
// clock.
package endpoint

import (
	"cmp"
	"slices"
)

// State is the availability of an endpoint for new work.
type State string

// The states of an endpoint.
const (
	// Ready endpoints receive new work.
	Ready State = "ready"
	// Warming endpoints receive a growing share of new work.
	Warming State = "warming"
	// Draining endpoints complete the work in progress and receive no new work.
	Draining State = "draining"
	// Down endpoints receive no work.
	Down State = "down"
)

// AcceptsWork reports whether an endpoint in this state may receive new work.
func (s State) AcceptsWork() bool { return s == Ready || s == Warming }

// ControlService is the service name under which control daemons announce
// themselves in the distribution tree. It is not a valid resource name, so it
// cannot collide with a service that an operator declares.
const ControlService = "_control"

// ID identifies an endpoint within the mesh.
type ID struct {
	Service string `json:"service"`
	Name    string `json:"name"`
}

// Compare orders IDs by service, then by name.
func (id ID) Compare(other ID) int {
	return cmp.Or(cmp.Compare(id.Service, other.Service), cmp.Compare(id.Name, other.Name))
}

// Update is the state of an endpoint as reported by its authority, the proxy
// beside it, or as overridden by a relay (see RelayOverride). Of two updates for
// one endpoint, the one with the higher (Incarnation, Sequence) wins.
type Update struct {
	ID ID `json:"id"`
	// Incarnation is the start time of the authority, in Unix milliseconds.
	Incarnation uint64 `json:"incarnation"`
	// Sequence orders the updates of one incarnation. The authority uses even
	// numbers. A relay that overrides an update uses the next odd number, so
	// that the authority's next update supersedes the override.
	Sequence uint64 `json:"sequence"`
	State    State  `json:"state"`
	Zone     string `json:"zone"`
	// Address is the host:port of the inbound listener.
	Address string            `json:"address,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
}

// Compare orders updates of one endpoint by age. The result is positive if u is
// newer than other.
func (u Update) Compare(other Update) int {
	return cmp.Or(cmp.Compare(u.Incarnation, other.Incarnation), cmp.Compare(u.Sequence, other.Sequence))
}

// RelayOverride returns the update with which a relay overrides u with another
// state: Down after the authority has stopped reporting, Draining when the
// platform lists the machine as leaving.
func (u Update) RelayOverride(state State) Update {
	u.State = state
	u.Sequence |= 1
	return u
}

// RevertsDownOverride reports whether held is a relay's override of u to Down.
// A proxy that receives u after the override, from another relay, trusts the
// relay that it is attached to and reverts to u. A relay must not do so, since
// its children may hold the override too.
func (u Update) RevertsDownOverride(held Update) bool {
	return held.State == Down && !u.IsRelayOverride() && u.ID == held.ID && u.RelayOverride(Down).Compare(held) == 0
}

// IsRelayOverride reports whether the update was made by a relay and not by the
// authority of the endpoint.
func (u Update) IsRelayOverride() bool { return u.Sequence%sequenceStep != 0 }

// Table holds the newest update of each endpoint. It is not safe for
// concurrent use.
type Table struct {
	latest map[ID]Update
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{latest: map[ID]Update{}} }

// Merge stores an update if it is newer than the one held for the endpoint, and
// reports whether it did.
func (t *Table) Merge(update Update) bool {
	held, known := t.latest[update.ID]
	if known && update.Compare(held) <= 0 {
		return false
	}
	t.latest[update.ID] = update
	return true
}

// Get returns the newest update of an endpoint.
func (t *Table) Get(id ID) (Update, bool) {
	update, known := t.latest[id]
	return update, known
}

// Len returns the number of endpoints in the table.
func (t *Table) Len() int { return len(t.latest) }

// MergeAtProxy is like Merge, but also stores an update that reverts a relay's
// override to Down. It is meant for proxies, which do not pass their table on.
func (t *Table) MergeAtProxy(update Update) bool {
	if held, known := t.latest[update.ID]; known && update.RevertsDownOverride(held) {
		t.latest[update.ID] = update
		return true
	}
	return t.Merge(update)
}

// All returns the newest update of every endpoint, ordered by ID.
func (t *Table) All() []Update {
	all := make([]Update, 0, len(t.latest))
	for _, update := range t.latest {
		all = append(all, update)
	}
	slices.SortFunc(all, func(a, b Update) int { return a.ID.Compare(b.ID) })
	return all
}
