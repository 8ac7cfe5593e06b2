package memory

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

// watch reads the store's events from its own position, so a slow receiver
// costs no memory and ends with ErrCompacted once it is too far behind.
type watch struct {
	source *Store
	prefix string
	events chan store.Event
	cancel context.CancelFunc

	mutex sync.Mutex
	err   error // guarded by mutex
}

// Watch implements store.Reader.
func (s *Store) Watch(ctx context.Context, prefix string, afterRevision uint64) (store.Watch, error) {
	if err := refuseEnded(ctx); err != nil {
		return nil, err
	}
	if _, err := s.eventsAfter(prefix, afterRevision); err != nil {
		return nil, err
	}
	watchContext, cancel := context.WithCancel(ctx)
	running := &watch{source: s, prefix: prefix, events: make(chan store.Event), cancel: cancel}
	go running.run(watchContext, afterRevision)
	return running, nil
}

// scan is what a watch finds in one look at the store.
type scan struct {
	matching []store.Event
	// revision is the store's revision at the look; events up to it have been
	// considered.
	revision uint64
	// changed closes at the next change after the look.
	changed <-chan struct{}
}

// eventsAfter looks for the matching events above a revision.
func (s *Store) eventsAfter(prefix string, revision uint64) (scan, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision < s.compacted {
		return scan{}, fmt.Errorf("%w: revision %d, kept after %d", store.ErrCompacted, revision, s.compacted)
	}
	found := scan{revision: max(s.revision, revision), changed: s.changed}
	for _, event := range s.events[s.firstEventAfter(revision):] {
		if strings.HasPrefix(event.Key, prefix) {
			found.matching = append(found.matching, store.Event{KeyValue: copyOf(event.KeyValue), Deleted: event.Deleted})
		}
	}
	return found, nil
}

func (w *watch) run(ctx context.Context, revision uint64) {
	defer close(w.events)
	for {
		found, err := w.source.eventsAfter(w.prefix, revision)
		if err != nil {
			w.fail(err)
			return
		}
		if !w.deliver(ctx, found.matching) {
			return
		}
		revision = found.revision
		select {
		case <-found.changed:
		case <-ctx.Done():
			w.fail(refuseEnded(ctx))
			return
		}
	}
}

// deliver hands events over in order and reports whether the watch goes on.
func (w *watch) deliver(ctx context.Context, events []store.Event) bool {
	for _, event := range events {
		select {
		case w.events <- event:
		case <-ctx.Done():
			w.fail(refuseEnded(ctx))
			return false
		}
	}
	return true
}

func (w *watch) fail(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.err = err
}

// Events implements store.Watch.
func (w *watch) Events() <-chan store.Event { return w.events }

// Err implements store.Watch.
func (w *watch) Err() error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.err
}

// Close implements store.Watch.
func (w *watch) Close() { w.cancel() }
