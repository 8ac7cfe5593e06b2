// Package query is the read side: resources, watches, the history of changes
// and where a version is in force. It answers from what this node holds and
// never asks the store, so it works while the store is down. Secret values are
// masked in everything it returns.
package query

import (
	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// StateSource gives the newest state this node knows.
type StateSource interface {
	State() *resource.State
}

// History gives the entries this node holds.
type History interface {
	// EntriesAfter returns the entries above a version, in order; false means
	// that some of them are no longer held.
	EntriesAfter(version uint64) ([]resource.Entry, bool)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// StatusSource gives the summaries of the zones' relays.
type StatusSource interface {
	Zones() []distribution.ZoneStatus
}

// Service answers reads. It is safe for concurrent use when its sources are.
type Service struct {
	states   StateSource
	history  History
	statuses StatusSource
}

// New returns a service over the sources of one node.
func New(states StateSource, history History, statuses StatusSource) *Service {
	return &Service{states: states, history: history, statuses: statuses}
}

// state returns the newest state, or the empty one before there is any.
func (s *Service) state() *resource.State {
	if state := s.states.State(); state != nil {
		return state
	}
	return resource.NewState()
}

// Get returns one resource, or nil.
func (s *Service) Get(key resource.Key) *v1.Resource {
	return s.state().Get(key).Redacted()
}

// List returns the resources of one kind by name, or of every kind when the
// kind is empty.
func (s *Service) List(kind resource.Kind) v1.ResourceList {
	state := s.state()
	held := state.All()
	if kind != "" {
		held = state.List(kind)
	}
	list := v1.ResourceList{Version: state.Version(), Items: make([]*v1.Resource, 0, len(held))}
	for _, r := range held {
		list.Items = append(list.Items, r.Redacted())
	}
	return list
}
