package controlhost

import (
	"slices"
	"sync/atomic"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// history keeps the newest entries for the watches of the resource API. One
// goroutine advances it; any may read.
type history struct {
	limit  int
	newest atomic.Pointer[historySnapshot]
}

// historySnapshot is immutable. Entries are contiguous and end at version.
type historySnapshot struct {
	version uint64
	entries []resource.Entry
	// changed is closed when a later view replaces this one.
	changed chan struct{}
}

func newHistory(limit int) *history {
	h := &history{limit: limit}
	h.newest.Store(&historySnapshot{changed: make(chan struct{})})
	return h
}

// advance moves to a version that was reached, with the entries that led to
// it. Where these leave a gap the history starts anew at the version.
func (h *history) advance(version uint64, entries []resource.Entry) {
	held := h.newest.Load()
	if version == held.version {
		return
	}
	next := &historySnapshot{version: held.version, entries: held.entries, changed: make(chan struct{})}
	for _, entry := range entries {
		if entry.Version == next.version+1 && entry.Version <= version {
			// Readers of earlier views never look beyond their own length.
			next.entries = append(next.entries, entry)
			next.version = entry.Version
		}
	}
	if next.version != version {
		next.version, next.entries = version, nil
	}
	if len(next.entries) > 2*h.limit {
		next.entries = slices.Clone(next.entries[len(next.entries)-h.limit:])
	}
	h.newest.Store(next)
	close(held.changed)
}

// after returns the entries above a version, and false when some of them are
// no longer held.
func (h *history) after(version uint64) ([]resource.Entry, bool) {
	view := h.newest.Load()
	if version >= view.version {
		return nil, true
	}
	missing := view.version - version
	if missing > uint64(len(view.entries)) {
		return nil, false
	}
	return view.entries[uint64(len(view.entries))-missing:], true
}
