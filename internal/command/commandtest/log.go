// Package commandtest provides an in-memory version log with faults, for tests
// of the command side and of what stands on it.
package commandtest

import (
	"context"
	"slices"
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Fault is what happens to one append.
type Fault struct {
	// Err is returned. When it is nil the append proceeds.
	Err error
	// Applied says that the append takes effect all the same.
	Applied bool
	// Before runs ahead of the append, outside the lock.
	Before func()
}

// Log is a version log in memory. It serves as a command.Log, and, as a node
// that has seen every entry, as a state source and a history.
type Log struct {
	mutex   sync.Mutex
	entries []resource.Entry
	state   *resource.State
	faults  []Fault
	readErr error
	// trimmed is the highest version no longer held.
	trimmed uint64
	appends int
	reads   int
	// limit is the most changes of an entry; zero means no limit.
	limit   int
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{state: resource.NewState(), changed: make(chan struct{})}
}

// FailAppends sets the faults of the next appends, one each.
func (l *Log) FailAppends(faults ...Fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults = faults
}

// FailReads makes reads fail until it is called with nil.
func (l *Log) FailReads(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.readErr = err
}

// LimitChanges makes appends of more changes than the limit fail as too large.
func (l *Log) LimitChanges(limit int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limit = limit
}

// Trim forgets the entries up to a version.
func (l *Log) Trim(version uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.trimmed = version
	l.entries = slices.DeleteFunc(l.entries, func(entry resource.Entry) bool { return entry.Version <= version })
}

// Appends returns how many appends were asked for.
func (l *Log) Appends() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appends
}

// Reads returns how many reads were asked for.
func (l *Log) Reads() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.reads
}

// Append implements command.Log.
func (l *Log) Append(_ context.Context, entry resource.Entry) error {
	fault := l.nextFault()
	if fault.Before != nil {
		fault.Before()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.appends++
	if fault.Err != nil && !fault.Applied {
		return fault.Err
	}
	if l.limit > 0 && changes(entry) > l.limit {
		return store.ErrTooLarge
	}
	next, follows := l.state.Advance(entry)
	if !follows {
		return store.ErrConflict // taken, or trimmed since
	}
	l.state = next
	l.entries = append(l.entries, entry)
	close(l.changed)
	l.changed = make(chan struct{})
	return fault.Err
}

func changes(entry resource.Entry) int {
	count := 0
	for _, batch := range entry.Batches {
		count += len(batch.Changes)
	}
	return count
}

func (l *Log) nextFault() Fault {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.faults) == 0 {
		return Fault{}
	}
	fault := l.faults[0]
	l.faults = l.faults[1:]
	return fault
}

// ReadAfter implements command.Log.
func (l *Log) ReadAfter(_ context.Context, after uint64, limit int) ([]resource.Entry, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reads++
	if l.readErr != nil {
		return nil, l.readErr
	}
	if after < l.trimmed {
		return nil, store.ErrCompacted
	}
	entries := l.after(after)
	return entries[:min(limit, len(entries))], nil
}

func (l *Log) after(version uint64) []resource.Entry {
	var entries []resource.Entry
	for _, entry := range l.entries {
		if entry.Version > version {
			entries = append(entries, entry)
		}
	}
	return entries
}

// State implements command.StateSource.
func (l *Log) State() *resource.State {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state
}

// EntriesAfter implements query.History.
func (l *Log) EntriesAfter(version uint64) ([]resource.Entry, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.after(version), version >= l.trimmed
}

// Changed implements query.History.
func (l *Log) Changed() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.changed
}
