package memory

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Grant implements store.Leaser.
func (s *Store) Grant(ctx context.Context, timeToLive time.Duration) (store.Lease, error) {
	if err := refuseEnded(ctx); err != nil {
		return store.Lease{}, err
	}
	if timeToLive <= 0 {
		return store.Lease{}, fmt.Errorf("lease time to live must be positive, got %v", timeToLive)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := s.newLeaseID()
	s.leases[id] = &grantedLease{
		timeToLive: timeToLive,
		deadline:   s.clock.Now().Add(timeToLive),
		keys:       map[string]struct{}{},
	}
	s.clock.AfterFunc(timeToLive, s.ExpireLeases)
	return store.Lease{ID: id, TimeToLive: timeToLive}, nil
}

// KeepAlive implements store.Leaser.
func (s *Store) KeepAlive(ctx context.Context, leaseID string) error {
	if err := refuseEnded(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	lease := s.leases[leaseID]
	if lease == nil {
		return fmt.Errorf("%w: %q", store.ErrLeaseNotFound, leaseID)
	}
	lease.deadline = s.clock.Now().Add(lease.timeToLive)
	s.clock.AfterFunc(lease.timeToLive, s.ExpireLeases)
	return nil
}

// Revoke implements store.Leaser: the lease ends now, and its keys vanish.
func (s *Store) Revoke(ctx context.Context, leaseID string) error {
	if err := refuseEnded(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	if s.leases[leaseID] == nil {
		return fmt.Errorf("%w: %q", store.ErrLeaseNotFound, leaseID)
	}
	s.end(leaseID)
	return nil
}

// ExpireLeases ends every lease whose time has passed. It runs by itself at
// each lease's deadline.
func (s *Store) ExpireLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
}

// LapseAll ends every lease now, as after a long pause of their holders, and
// returns how many there were.
func (s *Store) LapseAll() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ids := slices.Sorted(maps.Keys(s.leases))
	for _, id := range ids {
		s.end(id)
	}
	return len(ids)
}

// Lapse ends one lease now, if it exists.
func (s *Store) Lapse(leaseID string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases[leaseID] != nil {
		s.end(leaseID)
	}
}

// expire ends the leases whose time has passed, in the order of their ids;
// called with the mutex held.
func (s *Store) expire() {
	if len(s.leases) == 0 {
		return
	}
	now := s.clock.Now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].deadline) {
			s.end(id)
		}
	}
}

// end removes a lease and its keys; called with the mutex held.
func (s *Store) end(leaseID string) {
	for _, key := range slices.Sorted(maps.Keys(s.leases[leaseID].keys)) {
		s.remove(key)
	}
	delete(s.leases, leaseID)
}
