// Package memory is the store port held in the memory of one process: the
// engine of the stand-in and the store of tests. Leases run on an injectable
// clock.
package memory

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Limits of a store.
const (
	// DefaultHistory is how many events a store keeps for watches that start
	// in the past.
	DefaultHistory = 8192
	// MaximumValueBytes bounds the value of one key.
	MaximumValueBytes = 2 << 20
)

// Clock is the time source of the leases.
type Clock interface {
	Now() time.Time
	// AfterFunc runs a function once the duration has passed.
	AfterFunc(delay time.Duration, run func())
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) AfterFunc(delay time.Duration, run func()) { time.AfterFunc(delay, run) }

// Options tune a store; the zero value is usable.
type Options struct {
	// Clock drives the leases; nil means the system's clock.
	Clock Clock
	// History is how many events are kept; zero means DefaultHistory.
	History int
}

type grantedLease struct {
	timeToLive time.Duration
	deadline   time.Time
	keys       map[string]struct{}
}

// Store implements store.Store. It is safe for concurrent use.
type Store struct {
	clock   Clock
	history int

	// mutex guards everything below.
	mutex     sync.Mutex
	revision  uint64
	compacted uint64
	keys      []string // sorted
	values    map[string]store.KeyValue
	events    []store.Event // ascending revisions, all above compacted
	changed   chan struct{} // closed and replaced at every change
	leases    map[string]*grantedLease
	nextLease uint64
}

var _ store.Store = (*Store)(nil)

// New returns an empty store.
func New(options Options) *Store {
	if options.Clock == nil {
		options.Clock = systemClock{}
	}
	if options.History <= 0 {
		options.History = DefaultHistory
	}
	return &Store{
		clock:   options.Clock,
		history: options.History,
		values:  map[string]store.KeyValue{},
		changed: make(chan struct{}),
		leases:  map[string]*grantedLease{},
	}
}

// refuseEnded returns ErrUnavailable when the context has already ended.
func refuseEnded(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return nil
}

// Get implements store.Reader.
func (s *Store) Get(ctx context.Context, key string) (store.KeyValue, error) {
	if err := refuseEnded(ctx); err != nil {
		return store.KeyValue{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	value, found := s.values[key]
	if !found {
		return store.KeyValue{}, fmt.Errorf("%w: %q", store.ErrNotFound, key)
	}
	return copyOf(value), nil
}

// Range implements store.Reader. A limit of zero or less means no limit.
func (s *Store) Range(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error) {
	if err := refuseEnded(ctx); err != nil {
		return nil, 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	start, _ := slices.BinarySearch(s.keys, max(prefix, from))
	var found []store.KeyValue
	for _, key := range s.keys[start:] {
		full := limit > 0 && len(found) == limit
		if full || !strings.HasPrefix(key, prefix) {
			break
		}
		found = append(found, copyOf(s.values[key]))
	}
	return found, s.revision, nil
}

// CompareAndSwap implements store.Writer.
func (s *Store) CompareAndSwap(ctx context.Context, swap store.Swap) (uint64, error) {
	if err := refuseEnded(ctx); err != nil {
		return 0, err
	}
	if len(swap.Value) > MaximumValueBytes {
		return 0, fmt.Errorf("%w: %d bytes, at most %d", store.ErrTooLarge, len(swap.Value), MaximumValueBytes)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	held, exists := s.values[swap.Key]
	if held.Revision != swap.ExpectedRevision {
		return 0, fmt.Errorf("%w: %q is at revision %d, expected %d", store.ErrConflict, swap.Key, held.Revision, swap.ExpectedRevision)
	}
	if swap.Delete {
		return s.deleteExpected(swap.Key, exists)
	}
	if swap.LeaseID != "" && s.leases[swap.LeaseID] == nil {
		return 0, fmt.Errorf("%w: %q", store.ErrLeaseNotFound, swap.LeaseID)
	}
	return s.put(swap), nil
}

// Compact forgets the events up to and including a revision; watches that need
// them end with ErrCompacted.
func (s *Store) Compact(revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compact(min(revision, s.revision))
	s.announce()
}

// Revision returns the store's present revision.
func (s *Store) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// deleteExpected removes a key whose revision was checked; called with the
// mutex held.
func (s *Store) deleteExpected(key string, exists bool) (uint64, error) {
	if !exists {
		return 0, fmt.Errorf("%w: %q", store.ErrNotFound, key)
	}
	s.remove(key)
	return s.revision, nil
}

// put writes a key; called with the mutex held.
func (s *Store) put(swap store.Swap) uint64 {
	s.unbind(swap.Key)
	s.revision++
	written := store.KeyValue{
		Key:      swap.Key,
		Value:    slices.Clone(swap.Value),
		Revision: s.revision,
		LeaseID:  swap.LeaseID,
	}
	if index, found := slices.BinarySearch(s.keys, swap.Key); !found {
		s.keys = slices.Insert(s.keys, index, swap.Key)
	}
	s.values[swap.Key] = written
	if lease := s.leases[swap.LeaseID]; lease != nil {
		lease.keys[swap.Key] = struct{}{}
	}
	s.record(store.Event{KeyValue: written})
	return s.revision
}

// remove deletes a key that exists; called with the mutex held.
func (s *Store) remove(key string) {
	s.unbind(key)
	s.revision++
	delete(s.values, key)
	index, _ := slices.BinarySearch(s.keys, key)
	s.keys = slices.Delete(s.keys, index, index+1)
	s.record(store.Event{KeyValue: store.KeyValue{Key: key, Revision: s.revision}, Deleted: true})
}

// unbind takes a key off the lease it was written under; called with the mutex
// held.
func (s *Store) unbind(key string) {
	if lease := s.leases[s.values[key].LeaseID]; lease != nil {
		delete(lease.keys, key)
	}
}

// record appends an event and wakes the watches; called with the mutex held.
func (s *Store) record(event store.Event) {
	s.events = append(s.events, event)
	if len(s.events) > 2*s.history {
		s.compact(s.events[len(s.events)-s.history-1].Revision)
	}
	s.announce()
}

// compact drops events up to a revision; called with the mutex held.
func (s *Store) compact(revision uint64) {
	if revision <= s.compacted {
		return
	}
	s.compacted = revision
	first := s.firstEventAfter(revision)
	s.events = slices.Clone(s.events[first:])
}

// firstEventAfter returns the index of the first event above a revision;
// called with the mutex held.
func (s *Store) firstEventAfter(revision uint64) int {
	index, _ := slices.BinarySearchFunc(s.events, revision+1, func(event store.Event, wanted uint64) int {
		return cmp.Compare(event.Revision, wanted)
	})
	return index
}

// announce wakes every watch; called with the mutex held.
func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) newLeaseID() string {
	s.nextLease++
	return "lease-" + strconv.FormatUint(s.nextLease, 10)
}

func copyOf(value store.KeyValue) store.KeyValue {
	value.Value = slices.Clone(value.Value)
	return value
}
