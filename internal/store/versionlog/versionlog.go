// Package versionlog keeps the append-only log of configuration versions in the
// platform's store. An entry is committed by one create-if-absent of its
// version's key; nothing else commits. Checkpoints shorten what a start has to
// read, and their pointer only moves forward.
package versionlog

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Limits of the log.
const (
	// MaximumEntryBytes bounds the stored form of one entry.
	MaximumEntryBytes = 1 << 20
	// DefaultKeepEntries is how many entries up to a checkpoint's version stay
	// in the log, so that repeated operation ids are recognised and slow
	// readers find their next entry.
	DefaultKeepEntries = 1024

	pageEntries = 128
)

// ErrEntryTooLarge means that an entry was not written since its stored form
// exceeds MaximumEntryBytes. It is a store.ErrTooLarge.
var ErrEntryTooLarge = fmt.Errorf("versionlog: entry: %w", store.ErrTooLarge)

// Options tune a log.
type Options struct {
	// Sealer seals secret values before they are written; nil stores them as
	// they are.
	Sealer Sealer
	// KeepEntries replaces DefaultKeepEntries when positive.
	KeepEntries uint64
}

// Log is the version log in one store. It is safe for concurrent use.
type Log struct {
	store       store.Store
	codec       codec
	keepEntries uint64
}

// New returns the log in a store that keeps secret values unsealed.
func New(backing store.Store) *Log { return NewWithOptions(backing, Options{}) }

// NewWithOptions returns the log in a store.
func NewWithOptions(backing store.Store, options Options) *Log {
	if options.KeepEntries == 0 {
		options.KeepEntries = DefaultKeepEntries
	}
	return &Log{store: backing, codec: codec{sealer: options.Sealer}, keepEntries: options.KeepEntries}
}

// Append creates the entry at entry.Version. It returns store.ErrConflict when
// that version exists, store.ErrUnknownOutcome when the entry may or may not
// have been committed, and ErrEntryTooLarge, store.ErrUnavailable or
// store.ErrRateLimited when it was not; store.ErrUnavailable also when the store
// lacks the entry before.
func (l *Log) Append(ctx context.Context, entry resource.Entry) error {
	value, err := l.codec.encodeEntry(entry)
	if err != nil {
		return trace.Wrap(err, "step=append version=%d", entry.Version)
	}
	if err := l.requirePredecessor(ctx, entry.Version); err != nil {
		return trace.Wrap(readFailure(err), "step=check predecessor version=%d", entry.Version)
	}
	revision, err := l.store.CompareAndSwap(ctx, store.Swap{Key: entryKey(entry.Version), Value: value})
	if err != nil {
		return trace.Wrap(err, "step=append version=%d", entry.Version)
	}
	err = l.confirm(ctx, entry.Version, revision)
	return trace.Wrap(err, "step=confirm version=%d", entry.Version)
}

// requirePredecessor refuses to append after an entry that the store does not
// hold. A store that was restored from an older copy lacks entries its writers
// know; an entry after the gap could never be read.
func (l *Log) requirePredecessor(ctx context.Context, version uint64) error {
	if version <= 1 {
		return nil
	}
	_, err := l.store.Get(ctx, entryKey(version-1))
	if !errors.Is(err, store.ErrNotFound) {
		return err
	}
	pointer, _, err := l.readPointer(ctx)
	if err != nil {
		return err
	}
	if pointer.Floor >= version-1 {
		return fmt.Errorf("%w: version %d was trimmed, the log starts after %d", store.ErrConflict, version, pointer.Floor)
	}
	return fmt.Errorf("%w: entry %d is missing from the store, which may have been restored from an older copy", store.ErrUnavailable, version-1)
}

// confirm rules out that the entry was created in the place of a trimmed one:
// a writer paused since long ago could create such a key, which no reader ever
// takes for an entry. The floor rises before any entry under it is deleted, so
// a floor read after the creation shows this.
func (l *Log) confirm(ctx context.Context, version, revision uint64) error {
	pointer, pointerRevision, err := l.readPointer(ctx)
	if err != nil {
		return fmt.Errorf("%w: entry created, floor not read: %w", store.ErrUnknownOutcome, err)
	}
	if version > pointer.Floor {
		return nil
	}
	if revision > pointerRevision {
		return fmt.Errorf("%w: version %d was trimmed, the log starts after %d", store.ErrConflict, version, pointer.Floor)
	}
	return fmt.Errorf("%w: version %d was trimmed meanwhile", store.ErrUnknownOutcome, version)
}

// ReadAfter returns the entries above a version in order, at most limit. It
// returns store.ErrCompacted when the next entry has been trimmed; Load then
// gives the state.
func (l *Log) ReadAfter(ctx context.Context, after uint64, limit int) ([]resource.Entry, error) {
	entries, _, err := l.readPage(ctx, after, limit)
	if err != nil {
		return nil, trace.Wrap(readFailure(err), "step=read log after=%d", after)
	}
	if len(entries) == 0 {
		return nil, nil
	}
	// The floor is read after the entries; see confirm.
	pointer, _, err := l.readPointer(ctx)
	if err != nil {
		return nil, trace.Wrap(readFailure(err), "step=read floor after=%d", after)
	}
	if pointer.Floor > after {
		return nil, trace.Wrap(store.ErrCompacted, "step=read log after=%d floor=%d", after, pointer.Floor)
	}
	return entries, nil
}

// readPage reads the entries directly above a version, without regard to the
// floor, and the store's revision.
func (l *Log) readPage(ctx context.Context, after uint64, limit int) ([]resource.Entry, uint64, error) {
	values, revision, err := l.store.Range(ctx, LogPrefix, entryKey(after+1), limit)
	if err != nil {
		return nil, 0, err
	}
	entries := make([]resource.Entry, 0, len(values))
	for _, value := range values {
		entry, err := l.codec.decodeEntry(value)
		if err != nil {
			return nil, 0, err
		}
		if wanted := after + uint64(len(entries)) + 1; entry.Version != wanted {
			return nil, 0, fmt.Errorf("%w: entry %d is missing before %d", store.ErrCompacted, wanted, entry.Version)
		}
		entries = append(entries, entry)
	}
	return entries, revision, nil
}

// readFailure restates an error of a read. A read takes no effect, so one whose
// answer was lost counts as not run.
func readFailure(err error) error {
	if errors.Is(err, store.ErrUnknownOutcome) {
		return fmt.Errorf("%w: answer to a read lost: %v", store.ErrUnavailable, err)
	}
	return err
}
