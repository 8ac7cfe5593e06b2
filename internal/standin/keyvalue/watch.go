package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

// errWatchCut ends a watch as a broken connection does.
var errWatchCut = fmt.Errorf("%w: watch cut", store.ErrUnavailable)

// watch passes the engine's events on until a fault cuts it.
type watch struct {
	service *Service
	prefix  string
	inner   store.Watch
	events  chan store.Event
	cancel  context.CancelFunc

	mutex sync.Mutex
	err   error // guarded by mutex
}

// Watch implements store.Reader.
func (s *Service) Watch(ctx context.Context, prefix string, afterRevision uint64) (store.Watch, error) {
	s.counters.watch.Add(1)
	changes := s.faults.changes()
	watchContext, cancel := context.WithCancel(ctx)
	inner, err := run(ctx, s.faults, OperationWatch, prefix, func() (store.Watch, error) {
		return s.engine.Watch(watchContext, prefix, afterRevision)
	})
	if err != nil {
		cancel()
		return nil, err
	}
	running := &watch{service: s, prefix: prefix, inner: inner, events: make(chan store.Event), cancel: cancel}
	s.counters.openWatches.Add(1)
	go running.run(watchContext, changes)
	return running, nil
}

func (w *watch) run(ctx context.Context, changes <-chan struct{}) {
	defer close(w.events)
	defer w.service.counters.openWatches.Add(-1)
	defer w.cancel()
	err := w.pass(ctx, changes)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.err = err
}

// pass hands events over and says why it ended.
func (w *watch) pass(ctx context.Context, changes <-chan struct{}) error {
	for {
		select {
		case <-changes:
			changes = w.service.faults.changes()
			if w.service.cut(w.prefix) {
				return errWatchCut
			}
		case event, open := <-w.inner.Events():
			if !open {
				return w.inner.Err()
			}
			if w.service.cut(w.prefix) {
				return errWatchCut
			}
			select {
			case w.events <- event:
			case <-ctx.Done():
				return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
			}
		}
	}
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

// answerLost reports whether an error stands for a connection that ends without
// an answer.
func answerLost(err error) bool {
	return errors.Is(err, store.ErrUnknownOutcome) || errors.Is(err, errWatchCut)
}
