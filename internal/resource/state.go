package resource

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// Action says what a change does to a resource.
type Action string

// The actions of a change.
const (
	ActionPut    Action = "put"
	ActionDelete Action = "delete"
)

// Change is one step of a batch.
type Change struct {
	Action Action `json:"action"`
	// Resource is the new content of a put.
	Resource *Resource `json:"resource,omitempty"`
	// Key is the target of a delete.
	Key Key `json:"key,omitzero"`
	// IfVersion, when set, is the ResourceVersion the target must have;
	// zero means the target must not exist.
	IfVersion *uint64 `json:"ifVersion,omitempty"`
}

// Target returns the key the change affects.
func (c Change) Target() Key {
	if c.Action == ActionPut && c.Resource != nil {
		return c.Resource.Key()
	}
	return c.Key
}

// Operation identifies one request to change resources and who made it.
type Operation struct {
	// ID is chosen by the client; the same id has one outcome for ever.
	ID      string    `json:"id"`
	Actor   string    `json:"actor,omitempty"`
	Machine string    `json:"machine,omitempty"`
	Time    time.Time `json:"time,omitzero"`
}

// Batch is a set of changes accepted or rejected as one.
type Batch struct {
	Operation Operation `json:"operation"`
	Changes   []Change  `json:"changes"`
}

// Entry is one accepted log record. Group commit may place several batches in
// one entry; they take effect together and in order.
type Entry struct {
	Version uint64  `json:"version"`
	Batches []Batch `json:"batches"`
}

// State is the configuration at one version. It is immutable: every method
// that changes something returns a new State.
type State struct {
	version   uint64
	resources map[Key]*Resource
	// size is the sum of the resources' encoded sizes in bytes.
	size int
	// sorted holds the lists of each kind once somebody asked for one. States
	// that change while they are built never ask.
	sorted atomic.Pointer[map[Kind][]*Resource]
}

// NewState returns the empty state at version zero.
func NewState() *State { return &State{resources: map[Key]*Resource{}} }

// Restore rebuilds a state from a checkpoint's content.
func Restore(version uint64, resources []*Resource) *State {
	restored := &State{version: version, resources: make(map[Key]*Resource, len(resources))}
	for _, r := range resources {
		restored.set(r.Key(), r)
	}
	return restored
}

// Version returns the log version this state results from.
func (s *State) Version() uint64 { return s.version }

// Len returns how many resources the state holds.
func (s *State) Len() int { return len(s.resources) }

// Size returns the sum of the resources' sizes, encoded as JSON, in bytes.
func (s *State) Size() int { return s.size }

// Get returns the resource of that key, or nil.
func (s *State) Get(key Key) *Resource { return s.resources[key] }

// List returns the resources of one kind sorted by name. The list is shared
// and must not be modified.
func (s *State) List(kind Kind) []*Resource { return s.lists()[kind] }

// lists sorts the resources once for each state. Concurrent first calls may
// sort twice and agree.
func (s *State) lists() map[Kind][]*Resource {
	if sorted := s.sorted.Load(); sorted != nil {
		return *sorted
	}
	lists := map[Kind][]*Resource{}
	for key, r := range s.resources {
		lists[key.Kind] = append(lists[key.Kind], r)
	}
	for _, list := range lists {
		slices.SortFunc(list, func(a, b *Resource) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	}
	s.sorted.Store(&lists)
	return lists
}

// All returns every resource, by kind in the order of Kinds, then by name.
func (s *State) All() []*Resource {
	all := make([]*Resource, 0, len(s.resources))
	for _, kind := range Kinds {
		all = append(all, s.List(kind)...)
	}
	return all
}

// Advance returns the state after an accepted entry. It does not validate:
// entries in the log were admitted before they were written. An entry whose
// version is not the next one returns the state unchanged and false.
func (s *State) Advance(entry Entry) (*State, bool) {
	if entry.Version != s.version+1 {
		return s, false
	}
	next := s.successor()
	next.take(entry)
	return next, true
}

// AdvanceAll returns the state after accepted entries in order, copying the
// state once. Entries up to the state's version change nothing. It stops before
// an entry that does not follow and returns false then.
func (s *State) AdvanceAll(entries []Entry) (*State, bool) {
	next := s
	for _, entry := range entries {
		switch {
		case entry.Version <= next.version:
			continue
		case entry.Version != next.version+1:
			return next, false
		case next == s:
			next = s.successor()
		default:
			next.version++
		}
		next.take(entry)
	}
	return next, true
}

// take performs an entry's changes on a state that is still private to its
// builder.
func (s *State) take(entry Entry) {
	for _, batch := range entry.Batches {
		for _, change := range batch.Changes {
			s.apply(change)
		}
	}
}

// successor returns a copy at the next version, private to its builder.
func (s *State) successor() *State {
	return &State{version: s.version + 1, resources: maps.Clone(s.resources), size: s.size}
}

// apply performs one change on a state that is still private to its builder.
func (s *State) apply(change Change) {
	target := change.Target()
	if change.Action == ActionDelete {
		s.set(target, nil)
		return
	}
	stored := *change.Resource
	stored.Metadata.ResourceVersion = s.version
	stored.Metadata.CreatedVersion = s.version
	if previous := s.resources[target]; previous != nil {
		stored.Metadata.CreatedVersion = previous.Metadata.CreatedVersion
	}
	s.set(target, &stored)
}

// set places a resource under a key, or nothing when it is nil.
func (s *State) set(key Key, r *Resource) {
	if previous := s.resources[key]; previous != nil {
		s.size -= encodedSize(previous)
	}
	if r == nil {
		delete(s.resources, key)
		return
	}
	s.size += encodedSize(r)
	s.resources[key] = r
}

func encodedSize(r *Resource) int {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic("resource: a resource always encodes: " + err.Error())
	}
	return len(encoded)
}
