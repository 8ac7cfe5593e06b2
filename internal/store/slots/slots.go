// Package slots bounds how many processes read the store. Each of a few keys
// holds the address of the reader that created it under its lease; who finds
// every slot held learns from their values whom to follow instead. No promise
// rests on a slot: a paused holder may believe it still holds one.
package slots

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

const (
	// Prefix precedes the number of a slot.
	Prefix = "reader/"
	// DefaultCount is how many slots there are.
	DefaultCount = 3
)

// ErrTaken means that every slot is held by another.
var ErrTaken = errors.New("slots: all held")

// Store is what the slots need of the store.
type Store interface {
	store.Writer
	store.Leaser
	Get(ctx context.Context, key string) (store.KeyValue, error)
	Range(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error)
}

// Holder is who holds a slot.
type Holder struct {
	Slot int
	// Address is the holder's stream listener, host:port.
	Address string
	// Revision is the store revision at which the slot was won.
	Revision uint64
}

// Slots is the set of slots in one store. It is safe for concurrent use.
type Slots struct {
	store Store
	count int
}

// New returns a set of count slots.
func New(backing Store, count int) *Slots { return &Slots{store: backing, count: count} }

// Holders returns who holds the slots, by number.
func (s *Slots) Holders(ctx context.Context) ([]Holder, error) {
	values, _, err := s.store.Range(ctx, Prefix, "", 0)
	if err != nil {
		return nil, trace.Wrap(err, "step=read slots")
	}
	var holders []Holder
	for _, value := range values {
		slot, err := strconv.Atoi(strings.TrimPrefix(value.Key, Prefix))
		if err == nil && slot >= 0 && slot < s.count {
			holders = append(holders, Holder{Slot: slot, Address: string(value.Value), Revision: value.Revision})
		}
	}
	slices.SortFunc(holders, func(a, b Holder) int { return a.Slot - b.Slot })
	return holders, nil
}

// Acquire tries once for a slot, under a new lease: one that the caller's
// address holds already, as its predecessor's before a restart does until the
// lease lapses, else a free one. It returns ErrTaken when there is none, after
// one read of the store.
func (s *Slots) Acquire(ctx context.Context, address string, timeToLive time.Duration) (*Held, error) {
	holders, err := s.Holders(ctx)
	if err != nil {
		return nil, err
	}
	free := s.claimable(holders, address)
	if len(free) == 0 {
		return nil, trace.Wrap(ErrTaken)
	}
	lease, err := s.store.Grant(ctx, timeToLive)
	if err != nil {
		return nil, trace.Wrap(err, "step=grant slot lease")
	}
	held, err := s.claim(ctx, free, address, lease.ID)
	if err != nil {
		s.abandon(ctx, lease.ID)
		return nil, trace.Wrap(err, "step=claim slot")
	}
	return held, nil
}

// claim is a slot that may be taken if its key still has the revision; zero
// means that the key does not exist.
type claim struct {
	slot     int
	revision uint64
}

// claimable returns the caller's own slots, then those that nobody holds.
func (s *Slots) claimable(holders []Holder, address string) []claim {
	var own, free []claim
	for slot := range s.count {
		at := slices.IndexFunc(holders, func(holder Holder) bool { return holder.Slot == slot })
		switch {
		case at < 0:
			free = append(free, claim{slot: slot})
		case holders[at].Address == address:
			own = append(own, claim{slot: slot, revision: holders[at].Revision})
		}
	}
	return append(own, free...)
}

// claim takes the first of the slots that is still as it was read.
func (s *Slots) claim(ctx context.Context, claims []claim, address, leaseID string) (*Held, error) {
	for _, claim := range claims {
		swap := store.Swap{
			Key: key(claim.slot), ExpectedRevision: claim.revision, Value: []byte(address), LeaseID: leaseID,
		}
		_, err := s.store.CompareAndSwap(ctx, swap)
		if errors.Is(err, store.ErrUnknownOutcome) {
			err = s.settle(ctx, claim.slot, leaseID, err)
		}
		if err == nil {
			return &Held{store: s.store, slot: claim.slot, leaseID: leaseID}, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return nil, err
		}
	}
	return nil, ErrTaken
}

// settle finds out whether a claim whose answer was lost took effect: the lease
// is nobody else's.
func (s *Slots) settle(ctx context.Context, slot int, leaseID string, unknown error) error {
	value, err := s.store.Get(ctx, key(slot))
	switch {
	case err == nil && value.LeaseID == leaseID:
		return nil
	case err == nil:
		return store.ErrConflict
	default:
		return fmt.Errorf("%w: not settled: %v", unknown, err)
	}
}

// abandon gives back a lease that won no slot. When that fails the lease lapses
// by itself.
func (s *Slots) abandon(ctx context.Context, leaseID string) {
	_ = s.store.Revoke(ctx, leaseID)
}

func key(slot int) string { return Prefix + strconv.Itoa(slot) }

// Held is a slot that was won.
type Held struct {
	store   Store
	slot    int
	leaseID string
}

// Slot returns the number of the slot.
func (h *Held) Slot() int { return h.slot }

// Renew keeps the slot. store.ErrLeaseNotFound means that it is lost; with any
// other error it may still be held.
func (h *Held) Renew(ctx context.Context) error {
	err := h.store.KeepAlive(ctx, h.leaseID)
	return trace.Wrap(err, "step=renew slot %d", h.slot)
}

// Release gives the slot back. A slot already lost is no error.
func (h *Held) Release(ctx context.Context) error {
	err := h.store.Revoke(ctx, h.leaseID)
	if errors.Is(err, store.ErrLeaseNotFound) {
		return nil
	}
	return trace.Wrap(err, "step=release slot %d", h.slot)
}
