// Package endpoint defines the soft state of back ends: which are ready,
// warming, draining or down. It is spread over the distribution tree and never
// written to the store. The package is pure.
package endpoint

import (
	"cmp"
	"slices"
)

// State is the condition of an endpoint as its authority reports it.
type State string

// The states of an endpoint.
const (
	// Ready endpoints receive new work.
	Ready State = "ready"
	// Warming endpoints receive a growing share of new work.
	Warming State = "warming"
	// Draining endpoints finish what they have and receive no new work.
	Draining State = "draining"
	// Down endpoints receive nothing.
	Down State = "down"
)

// AcceptsWork reports whether an endpoint in this state may receive new work.
func (s State) AcceptsWork() bool { return s == Ready || s == Warming }

// ControlService is the service under which control daemons announce
// themselves over the tree. It is no valid name of an operator's service, so
// that neither can be taken for the other.
const ControlService = "_control"

// ID identifies an endpoint within the mesh.
type ID struct {
	Service string `json:"service"`
	Name    string `json:"name"`
}

// Compare orders ids by service, then by name.
func (id ID) Compare(other ID) int {
	return cmp.Or(cmp.Compare(id.Service, other.Service), cmp.Compare(id.Name, other.Name))
}

// Update is one observation of an endpoint by its authority, the proxy beside
// it, or by a relay on that proxy's silence. Of two updates for one endpoint
// the higher (Incarnation, Sequence) wins.
type Update struct {
	ID ID `json:"id"`
	// Incarnation is the authority's start, in Unix milliseconds.
	Incarnation uint64 `json:"incarnation"`
	// Sequence orders the updates of one incarnation. The authority uses
	// even numbers; a relay that declares the endpoint down uses the odd one
	// above, so that the authority's next update is newer than that.
	Sequence uint64 `json:"sequence"`
	State    State  `json:"state"`
	Zone     string `json:"zone"`
	// Address is the inbound listener, host:port.
	Address string            `json:"address,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
}

// Compare orders updates of one endpoint by age: positive when u is newer.
func (u Update) Compare(other Update) int {
	return cmp.Or(cmp.Compare(u.Incarnation, other.Incarnation), cmp.Compare(u.Sequence, other.Sequence))
}

// RelayOverride returns the update by which a relay declares the endpoint to be in
// a state on behalf of its authority: down after the authority fell silent,
// draining when the platform lists the machine as leaving.
func (u Update) RelayOverride(state State) Update {
	u.State = state
	u.Sequence |= 1
	return u
}

// RevertsDownOverride reports whether this update is the one from which a relay made the
// held declaration that the endpoint is down. A proxy that hears it after the
// declaration, from another relay, believes the one it is attached to; a relay
// must not, since its children may hold the declaration too.
func (u Update) RevertsDownOverride(held Update) bool {
	return held.State == Down && !u.IsRelayOverride() && u.ID == held.ID && u.RelayOverride(Down).Compare(held) == 0
}

// IsRelayOverride reports whether a relay declared the update on the authority's
// behalf.
func (u Update) IsRelayOverride() bool { return u.Sequence%sequenceStep != 0 }

// Table holds the newest update of each endpoint. It is not safe for
// concurrent use.
type Table struct {
	latest map[ID]Update
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{latest: map[ID]Update{}} }

// Merge takes an update in when it is newer than what is held, and reports
// whether it was.
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

// Len returns how many endpoints the table holds.
func (t *Table) Len() int { return len(t.latest) }

// MergeAtProxy is Merge for a table whose content goes to nobody else.
func (t *Table) MergeAtProxy(update Update) bool {
	if held, known := t.latest[update.ID]; known && update.RevertsDownOverride(held) {
		t.latest[update.ID] = update
		return true
	}
	return t.Merge(update)
}

// All returns the newest update of every endpoint, ordered by id.
func (t *Table) All() []Update {
	all := make([]Update, 0, len(t.latest))
	for _, update := range t.latest {
		all = append(all, update)
	}
	slices.SortFunc(all, func(a, b Update) int { return a.ID.Compare(b.ID) })
	return all
}
