package query

import (
	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Changes is what happened after a version.
type Changes struct {
	// Events are in log order; the last one is a bookmark.
	Events []v1.Event
	// Version is what to ask from next.
	Version uint64
	// Next is closed when there is more.
	Next <-chan struct{}
}

// ChangesAfter returns the events of one kind, or of all when the kind is
// empty, after a version. False means that some are no longer held: the
// watcher has to list anew.
func (s *Service) ChangesAfter(version uint64, kind resource.Kind) (Changes, bool) {
	next := s.history.Changed()
	entries, held := s.history.EntriesAfter(version)
	if !held {
		return Changes{}, false
	}
	changes := Changes{Version: version, Next: next}
	state := s.state()
	for _, entry := range entries {
		changes.Events = appendEvents(changes.Events, entry, kind, state)
		changes.Version = entry.Version
	}
	changes.Events = append(changes.Events, v1.Event{Type: v1.EventBookmark, Version: changes.Version})
	return changes, true
}

func appendEvents(events []v1.Event, entry resource.Entry, kind resource.Kind, state *resource.State) []v1.Event {
	for _, batch := range entry.Batches {
		for _, change := range batch.Changes {
			key := change.Target()
			if kind == "" || key.Kind == kind {
				events = append(events, event(entry.Version, change, state.Get(key)))
			}
		}
	}
	return events
}

// event renders a change; current is the resource in the newest state, or nil.
func event(version uint64, change resource.Change, current *resource.Resource) v1.Event {
	key := change.Target()
	if change.Action == resource.ActionDelete {
		return v1.Event{Type: v1.EventDelete, Version: version, Key: &key}
	}
	shown := *change.Resource.Redacted()
	shown.Metadata.ResourceVersion = version
	shown.Metadata.CreatedVersion = 0
	if current != nil && current.Metadata.CreatedVersion <= version {
		shown.Metadata.CreatedVersion = current.Metadata.CreatedVersion
	}
	return v1.Event{Type: v1.EventPut, Version: version, Key: &key, Resource: &shown}
}
