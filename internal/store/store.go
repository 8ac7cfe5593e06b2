// Package store is the port to the platform's key-value service. The service
// offers single-key compare-and-swap, leases and watches; it is rate-limited
// and has outages, and it bears few readers. No promise of the system rests on
// a lease.
package store

import (
	"context"
	"errors"
	"time"
)

// KeyValue is one key with the revision that last wrote it. An implementation whose store may
// come back from an older copy gives revisions as RevisionIn makes them.
type KeyValue struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	LeaseID  string `json:"leaseId,omitempty"`
}

// Swap is one compare-and-swap. ExpectedRevision zero means the key must not
// exist. Delete removes the key instead of writing Value.
type Swap struct {
	Key              string `json:"key"`
	ExpectedRevision uint64 `json:"expectedRevision"`
	Value            []byte `json:"value,omitempty"`
	Delete           bool   `json:"delete,omitempty"`
	LeaseID          string `json:"leaseId,omitempty"`
}

// Lease is a granted lease; its keys vanish when it is not kept alive.
type Lease struct {
	ID         string        `json:"id"`
	TimeToLive time.Duration `json:"timeToLive"`
}

// Event is one change seen by a watch.
type Event struct {
	KeyValue
	Deleted bool `json:"deleted,omitempty"`
	// Current, when it is not zero, says that all changes before that moment have been
	// delivered with this event. One without a key tells no more than that. Not every store
	// tells.
	Current time.Time `json:"-"`
}

// Errors of every implementation; test with errors.Is.
var (
	// ErrNotFound: the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict: the compare-and-swap did not take effect since the key's
	// revision is another one.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable: the store did not run the request.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrRateLimited: the store refused the request and did not run it.
	ErrRateLimited = errors.New("store: rate limited")
	// ErrTooLarge: the value exceeds what may be stored; it was not stored.
	ErrTooLarge = errors.New("store: value too large")
	// ErrUnknownOutcome: the request may or may not have taken effect.
	ErrUnknownOutcome = errors.New("store: outcome unknown")
	// ErrLeaseNotFound: the lease lapsed or never existed.
	ErrLeaseNotFound = errors.New("store: lease not found")
	// ErrCompacted: the watch's start lies before what the store still has.
	ErrCompacted = errors.New("store: revision compacted")
)

// Reader is the read side of the store.
type Reader interface {
	// Get returns one key or ErrNotFound.
	Get(ctx context.Context, key string) (KeyValue, error)
	// Range returns keys with the prefix, at or after from, in key order, at
	// most limit, and the store's revision at that moment.
	Range(ctx context.Context, prefix, from string, limit int) ([]KeyValue, uint64, error)
	// Watch streams changes of keys with the prefix after a revision. The
	// channel is closed when the watch ends; Err then says why.
	Watch(ctx context.Context, prefix string, afterRevision uint64) (Watch, error)
}

// Writer is the write side of the store.
type Writer interface {
	// CompareAndSwap writes or deletes one key and returns the new revision.
	CompareAndSwap(ctx context.Context, swap Swap) (uint64, error)
}

// MostSwaps is how many swaps one Apply takes at most.
const MostSwaps = 16

// Batcher is the write side of a store that applies several swaps at once.
type Batcher interface {
	// Apply applies all swaps, at most MostSwaps, or none, and returns the new revision. The errors
	// are those of CompareAndSwap.
	Apply(ctx context.Context, swaps []Swap) (uint64, error)
}

// Leaser grants and keeps leases.
type Leaser interface {
	Grant(ctx context.Context, timeToLive time.Duration) (Lease, error)
	KeepAlive(ctx context.Context, leaseID string) error
	Revoke(ctx context.Context, leaseID string) error
}

// Store is the whole port.
type Store interface {
	Reader
	Writer
	Leaser
}

// Watch is one running watch.
type Watch interface {
	// Events delivers changes in revision order until the watch ends.
	Events() <-chan Event
	// Err says why the watch ended; valid once Events is closed.
	Err() error
	// Close ends the watch.
	Close()
}
