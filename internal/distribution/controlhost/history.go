package controlhost

import (
	"slices"
	"sync/atomic"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// history keeps the newest entries for the watches of the resource API. Only one
// goroutine may call advance; any goroutine may read.
type history struct {
	limit  int
	newest atomic.Pointer[historySnapshot]
}

// historySnapshot is an immutable view of the history. Its entries are contiguous
// and end at version.
type historySnapshot struct {
	version uint64
	entries []resource.Entry
	// changed is closed when a later snapshot replaces this one.
	changed chan struct{}
}

func newHistory(limit int) *history {
	h := &history{limit: limit}
	h.newest.Store(&historySnapshot{changed: make(chan struct{})})
	return h
}

// advance moves the history to a version, given the entries that led to it. If
// the entries leave a gap, the history is cleared and restarts at the version.
func (h *history) advance(version uint64, entries []resource.Entry) {
	held := h.newest.Load()
	if version == held.version {
		return
	}
	next := &historySnapshot{version: held.version, entries: held.entries, changed: make(chan struct{})}
	for _, entry := range entries {
		if entry.Version == next.version+1 && entry.Version <= version {
			// Appending may share the array with earlier snapshots; their readers
			// never access entries beyond their own length.
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

// after returns the entries after a version, or false if some of them are no
// longer kept.
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
