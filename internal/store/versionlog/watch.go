package versionlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Waits before a watch that ended is opened again; each is drawn from zero up
// to the present bound, which doubles.
const (
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 5 * time.Second
)

// ErrGap means that an entry arrived whose predecessor did not.
var ErrGap = errors.New("versionlog: gap in the watch")

// Position is a place in the log: a version, and a revision of the store from
// which a watch shows everything above that version.
type Position struct {
	Version  uint64
	Revision uint64
}

// Update is the next step of a watch: either the next entry or, when entries in
// between have been trimmed, the whole state.
type Update struct {
	Position Position
	// Entry is the entry at Position.Version; its version is the former
	// update's plus one.
	Entry *resource.Entry
	// State replaces everything known, at a version above the former update's.
	State *resource.State
}

// Stream is a running watch of the log.
type Stream struct {
	log      *Log
	cancel   context.CancelFunc
	updates  chan Update
	position Position // owned by run

	mutex sync.Mutex
	err   error // guarded by mutex
}

// Watch streams what follows a position, in order and without gaps or
// repetitions, through outages of the store, until the context ends or something
// stored is malformed.
func (l *Log) Watch(ctx context.Context, after Position) *Stream {
	watchContext, stream := l.newStream(ctx, after)
	go stream.run(watchContext)
	return stream
}

// Follow is a Watch that ends at the first fault, for callers that decide by
// themselves when to go on: with store.ErrCompacted or ErrGap the log has to be
// loaded, after other errors followed again. An error of Follow itself means
// that nothing runs.
func (l *Log) Follow(ctx context.Context, after Position) (*Stream, error) {
	watchContext, stream := l.newStream(ctx, after)
	running, err := l.store.Watch(watchContext, LogPrefix, after.Revision)
	if err != nil {
		stream.cancel()
		return nil, trace.Wrap(readFailure(err), "step=watch log version=%d", after.Version)
	}
	go stream.runOnce(watchContext, running)
	return stream, nil
}

func (l *Log) newStream(ctx context.Context, after Position) (context.Context, *Stream) {
	watchContext, cancel := context.WithCancel(ctx)
	return watchContext, &Stream{log: l, cancel: cancel, updates: make(chan Update), position: after}
}

// Updates delivers the updates; it is closed when the stream ends.
func (s *Stream) Updates() <-chan Update { return s.updates }

// Err says why the stream ended; valid once Updates is closed.
func (s *Stream) Err() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.err
}

// Close ends the stream.
func (s *Stream) Close() { s.cancel() }

func (s *Stream) runOnce(ctx context.Context, running store.Watch) {
	defer close(s.updates)
	defer s.cancel()
	s.end(s.consume(ctx, running))
}

func (s *Stream) run(ctx context.Context) {
	defer close(s.updates)
	defer s.cancel()
	backoff := firstBackoff
	for {
		before := s.position.Version
		err := s.follow(ctx)
		if errors.Is(err, ErrGap) {
			err = s.catchUp(ctx)
		}
		if errors.Is(err, store.ErrCompacted) {
			err = s.reload(ctx)
		}
		if ctx.Err() != nil || errors.Is(err, ErrMalformed) {
			s.end(err)
			return
		}
		if s.position.Version > before {
			backoff = firstBackoff
		}
		if err != nil {
			pause(ctx, rand.N(backoff))
			backoff = min(2*backoff, lastBackoff)
		}
	}
}

func (s *Stream) end(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.err = trace.Wrap(err, "step=watch log version=%d", s.position.Version)
}

// follow runs one watch of the store and says why it ended.
func (s *Stream) follow(ctx context.Context) error {
	running, err := s.log.store.Watch(ctx, LogPrefix, s.position.Revision)
	if err != nil {
		return err
	}
	return s.consume(ctx, running)
}

// consume takes in a watch's events until it ends.
func (s *Stream) consume(ctx context.Context, running store.Watch) error {
	defer running.Close()
	for event := range running.Events() {
		if err := s.receive(ctx, event); err != nil {
			return err
		}
	}
	return running.Err()
}

// receive takes in one event of the store.
func (s *Stream) receive(ctx context.Context, event store.Event) error {
	version, err := entryVersion(event.Key)
	if err != nil {
		return err
	}
	if event.Deleted || version <= s.position.Version {
		s.position.Revision = max(s.position.Revision, event.Revision)
		return nil
	}
	if version != s.position.Version+1 {
		return fmt.Errorf("%w: %d follows %d", ErrGap, version, s.position.Version)
	}
	entry, err := s.log.codec.decodeEntry(event.KeyValue)
	if err != nil {
		return err
	}
	return s.deliverEntry(ctx, entry, event.Revision)
}

// catchUp reads the entries that a watch did not show.
func (s *Stream) catchUp(ctx context.Context) error {
	entries, err := s.log.ReadAfter(ctx, s.position.Version, pageEntries)
	if err != nil {
		return err
	}
	return s.deliverEntries(ctx, entries)
}

// reload reads the log anew and delivers the entries that are still there or,
// failing that, the state. It never goes back to an older version.
func (s *Stream) reload(ctx context.Context) error {
	state, entries, revision, err := s.log.Load(ctx)
	if err != nil {
		return err
	}
	if state.Version() < s.position.Version {
		return fmt.Errorf("%w: the store is at version %d, behind %d", store.ErrUnavailable, state.Version(), s.position.Version)
	}
	if missing := state.Version() - s.position.Version; missing <= uint64(len(entries)) {
		err = s.deliverEntries(ctx, entries[uint64(len(entries))-missing:])
	} else {
		err = s.deliver(ctx, Update{Position: Position{Version: state.Version()}, State: state})
	}
	if err == nil {
		s.position.Revision = revision
	}
	return err
}

func (s *Stream) deliverEntries(ctx context.Context, entries []resource.Entry) error {
	for _, entry := range entries {
		if err := s.deliverEntry(ctx, entry, s.position.Revision); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stream) deliverEntry(ctx context.Context, entry resource.Entry, revision uint64) error {
	position := Position{Version: entry.Version, Revision: revision}
	return s.deliver(ctx, Update{Position: position, Entry: &entry})
}

// deliver hands an update over and moves the position to it.
func (s *Stream) deliver(ctx context.Context, update Update) error {
	update.Position.Revision = max(update.Position.Revision, s.position.Revision)
	select {
	case s.updates <- update:
		s.position = update.Position
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pause waits for the duration or the end of the context.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
