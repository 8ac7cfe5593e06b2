package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/controlhost"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/store"
	"github.com/kestrelstream/kestrelstream/internal/store/slots"
)

// readerSlots are the reader slots as this daemon uses them: a slot's value is
// its holder's stream address, which the member list turns into a node.
type readerSlots struct {
	slots      *slots.Slots
	address    string
	timeToLive time.Duration
	members    *controlhost.MemberList
	// held is the slot won last; nil while none is held.
	held atomic.Pointer[slots.Held]
}

// Acquire tries once for a slot and returns who holds the slots then.
func (s *readerSlots) Acquire(ctx context.Context) (bool, []distribution.Reader, error) {
	won, err := s.slots.Acquire(ctx, s.address, s.timeToLive)
	if err != nil && !errors.Is(err, slots.ErrTaken) {
		return false, nil, err
	}
	s.held.Store(won)
	holders, err := s.slots.Holders(ctx)
	if err != nil {
		// What was won is kept; who else holds slots is learnt from peers.
		return won != nil, nil, nil
	}
	return won != nil, s.readers(holders), nil
}

// Renew keeps the slot.
func (s *readerSlots) Renew(ctx context.Context) error {
	held := s.held.Load()
	if held == nil {
		return store.ErrLeaseNotFound
	}
	return held.Renew(ctx)
}

// Release gives the slot back.
func (s *readerSlots) Release(ctx context.Context) error {
	held := s.held.Swap(nil)
	if held == nil {
		return nil
	}
	return held.Release(ctx)
}

// holds reports whether this daemon believes to hold a slot.
func (s *readerSlots) holds() bool { return s.held.Load() != nil }

func (s *readerSlots) readers(holders []slots.Holder) []distribution.Reader {
	members := s.members.Load()
	readers := make([]distribution.Reader, 0, len(holders))
	for _, holder := range holders {
		readers = append(readers, membership.ResolveReader(members, holder.Slot, holder.Address, holder.Revision))
	}
	return readers
}
