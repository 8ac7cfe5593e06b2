package versionlog

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// loadAttempts bounds how often Load starts again since trimming overtook it.
const loadAttempts = 8

// Load returns the newest state, the entries that the log still holds, which
// end at the state's version, and a revision from which Watch misses nothing.
func (l *Log) Load(ctx context.Context) (*resource.State, []resource.Entry, uint64, error) {
	for range loadAttempts {
		state, entries, revision, err := l.loadOnce(ctx)
		if err == nil {
			return state, entries, revision, nil
		}
		if !errors.Is(err, store.ErrCompacted) {
			return nil, nil, 0, trace.Wrap(readFailure(err), "step=load log")
		}
	}
	err := fmt.Errorf("%w: the log was trimmed during each of %d reads", store.ErrUnavailable, loadAttempts)
	return nil, nil, 0, trace.Wrap(err, "step=load log")
}

// loadOnce returns store.ErrCompacted when trimming overtook it.
func (l *Log) loadOnce(ctx context.Context) (*resource.State, []resource.Entry, uint64, error) {
	pointer, _, err := l.readPointer(ctx)
	if err != nil {
		return nil, nil, 0, err
	}
	state, err := l.readCheckpoint(ctx, pointer)
	if err != nil {
		return nil, nil, 0, err
	}
	entries, revision, err := l.readFrom(ctx, pointer.Floor)
	if err != nil {
		return nil, nil, 0, err
	}
	// The floor is read after the entries; see confirm.
	later, _, err := l.readPointer(ctx)
	if err != nil {
		return nil, nil, 0, err
	}
	if later.Floor != pointer.Floor {
		return nil, nil, 0, fmt.Errorf("%w: floor rose to %d", store.ErrCompacted, later.Floor)
	}
	loaded, follows := state.AdvanceAll(entries)
	if !follows {
		return nil, nil, 0, fmt.Errorf("%w: entries after checkpoint %d", store.ErrCompacted, pointer.Version)
	}
	return loaded, entries, revision, nil
}

// readFrom reads all entries above a version and the store's revision before
// the first of them was read.
func (l *Log) readFrom(ctx context.Context, after uint64) ([]resource.Entry, uint64, error) {
	var entries []resource.Entry
	var first uint64
	for {
		page, revision, err := l.readPage(ctx, after+uint64(len(entries)), pageEntries)
		if err != nil {
			return nil, 0, err
		}
		if len(entries) == 0 {
			first = revision
		}
		entries = append(entries, page...)
		if len(page) < pageEntries {
			return entries, first, nil
		}
	}
}
