package query

import (
	"sort"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// HistoryFilter selects entries of the history.
type HistoryFilter struct {
	// After is the version after which to begin.
	After uint64
	// Kind and Name, when set, select the changes of these resources.
	Kind resource.Kind
	Name string
	// Limit bounds the batches returned; the oldest come first. The batches of
	// one version are never separated.
	Limit int
}

func (f HistoryFilter) selects(key resource.Key) bool {
	return (f.Kind == "" || f.Kind == key.Kind) && (f.Name == "" || f.Name == key.Name)
}

// History returns who changed what, and when, as far back as this node holds
// the log.
func (s *Service) History(filter HistoryFilter) v1.History {
	oldest, entries := s.heldEntries()
	past := newPast(s.state())
	history := v1.History{From: oldest, Entries: []v1.HistoryEntry{}}
	for _, entry := range entries {
		selected := past.entry(entry, filter)
		if entry.Version <= filter.After || len(selected) == 0 {
			continue
		}
		if len(history.Entries) >= filter.Limit {
			history.More = true
			break
		}
		history.Entries = append(history.Entries, selected...)
	}
	return history
}

// heldEntries returns every entry this node holds and the version before the
// first of them. Holding the entries after a version means holding those after
// every later one, so the lowest such version is found by bisection.
func (s *Service) heldEntries() (oldest uint64, entries []resource.Entry) {
	head := s.state().Version()
	oldest = uint64(sort.Search(int(head), func(version int) bool {
		_, held := s.history.EntriesAfter(uint64(version))
		return held
	}))
	entries, _ = s.history.EntriesAfter(oldest)
	return oldest, entries
}

// past follows the content of resources through the entries that are held.
type past struct {
	// newest is the state at the end, which tells when a resource was created.
	newest   *resource.State
	contents map[resource.Key]*resource.Resource
}

func newPast(newest *resource.State) *past {
	return &past{newest: newest, contents: map[resource.Key]*resource.Resource{}}
}

// entry moves past an entry and returns its batches with selected changes.
func (p *past) entry(entry resource.Entry, filter HistoryFilter) []v1.HistoryEntry {
	var selected []v1.HistoryEntry
	for _, batch := range entry.Batches {
		changes := p.apply(entry.Version, batch, filter)
		if len(changes) > 0 {
			selected = append(selected, v1.HistoryEntry{Version: entry.Version, Operation: batch.Operation, Changes: changes})
		}
	}
	return selected
}

// apply moves past a batch and returns the selected changes of it.
func (p *past) apply(version uint64, batch resource.Batch, filter HistoryFilter) []v1.HistoryChange {
	var changes []v1.HistoryChange
	for _, change := range batch.Changes {
		key := change.Target()
		before, known := p.contents[key]
		after := change.Resource
		if change.Action == resource.ActionDelete {
			after = nil
		}
		p.contents[key] = after
		if filter.selects(key) {
			changes = append(changes, p.describe(version, change, before, known))
		}
	}
	return changes
}

// describe renders one change. When the content before is no longer held, the
// fields after it are given alone.
func (p *past) describe(version uint64, change resource.Change, before *resource.Resource, known bool) v1.HistoryChange {
	described := v1.HistoryChange{Key: change.Target(), Action: v1.HistoryUpdated}
	created := known && before == nil || !known && p.createdAt(version, change)
	switch {
	case change.Action == resource.ActionDelete:
		described.Action = v1.HistoryDeleted
		described.Fields = FieldChanges(before, nil)
	case created:
		described.Action = v1.HistoryCreated
		described.Fields = FieldChanges(nil, change.Resource)
	default:
		described.Fields = FieldChanges(before, change.Resource)
	}
	described.BeforeUnknown = !known && !created
	return described
}

// createdAt reports whether a change created its resource, as far as the
// change itself or the newest state tells.
func (p *past) createdAt(version uint64, change resource.Change) bool {
	if change.IfVersion != nil && *change.IfVersion == 0 {
		return true
	}
	held := p.newest.Get(change.Target())
	return held != nil && held.Metadata.CreatedVersion == version
}
