// Package limit bounds how many requests run at once. Beyond the bound a
// short queue, ordered by deadline, holds a few more; everything else is shed
// at once, before any work was done for it.
package limit

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of Acquire. Each means that the request holds no slot.
var (
	// ErrQueueFull: neither a slot nor a place in the queue was free.
	ErrQueueFull = errors.New("limit: queue is full")
	// ErrDeadlineExceeded: the deadline passed before a slot was free.
	ErrDeadlineExceeded = errors.New("limit: deadline passed in the queue")
)

// Limiter hands out slots. The path without waiting takes no lock.
type Limiter struct {
	capacity atomic.Int64
	queueCap atomic.Int64
	inFlight atomic.Int64
	// waiting is the length of queue, readable without the lock. A releaser
	// looks at it after it gave its slot back, a waiter raises it before it
	// looks at inFlight, so that one of the two sees the other.
	waiting atomic.Int64

	mutex sync.Mutex // guards queue and the fields of waiters in it
	queue waiterHeap
}

type waiter struct {
	deadline time.Time
	sequence uint64
	index    int // place in the heap, -1 when no longer in it
	granted  chan struct{}
}

// New returns a limiter of that many slots and places in the queue.
func New(capacity, queue int) *Limiter {
	limiter := &Limiter{}
	limiter.Resize(capacity, queue)
	return limiter
}

// Resize changes both bounds. Requests that run or wait are not affected,
// except that new slots go to waiting ones at once.
func (l *Limiter) Resize(capacity, queue int) {
	l.capacity.Store(int64(capacity))
	l.queueCap.Store(int64(queue))
	l.grant(time.Now())
}

// InFlight returns how many slots are taken.
func (l *Limiter) InFlight() int { return int(l.inFlight.Load()) }

// Waiting returns how many requests are queued.
func (l *Limiter) Waiting() int { return int(l.waiting.Load()) }

// Full reports whether Acquire would refuse at once.
func (l *Limiter) Full() bool {
	return l.inFlight.Load() >= l.capacity.Load() && l.waiting.Load() >= l.queueCap.Load()
}

// Acquire takes a slot, waiting for one in the queue if need be. The context
// must carry the request's deadline. A nil error obliges the caller to
// Release; any error means that nothing is held.
func (l *Limiter) Acquire(ctx context.Context) error {
	if l.waiting.Load() == 0 && l.take() {
		return nil
	}
	entry, err := l.enqueue(ctx)
	if entry == nil {
		return err
	}
	select {
	case <-entry.granted:
		return l.checkGrant(ctx)
	case <-ctx.Done():
		return l.abandon(ctx, entry)
	}
}

// TryAcquire takes a slot if one is free now and nobody waits for it.
func (l *Limiter) TryAcquire() bool { return l.waiting.Load() == 0 && l.take() }

// Release gives a slot back.
func (l *Limiter) Release() {
	l.inFlight.Add(-1)
	if l.waiting.Load() > 0 {
		l.grant(time.Now())
	}
}

func (l *Limiter) take() bool {
	for {
		held := l.inFlight.Load()
		if held >= l.capacity.Load() {
			return false
		}
		if l.inFlight.CompareAndSwap(held, held+1) {
			return true
		}
	}
}

// enqueue returns a nil waiter and a nil error when a slot was free after all.
func (l *Limiter) enqueue(ctx context.Context) (*waiter, error) {
	if ctx.Err() != nil {
		return nil, expiry(ctx)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if int64(len(l.queue.entries)) >= l.queueCap.Load() {
		if len(l.queue.entries) == 0 && l.take() {
			return nil, nil
		}
		return nil, ErrQueueFull
	}
	l.waiting.Add(1)
	if len(l.queue.entries) == 0 && l.take() {
		l.waiting.Add(-1)
		return nil, nil
	}
	entry := &waiter{granted: make(chan struct{}), sequence: l.queue.next()}
	if deadline, bounded := ctx.Deadline(); bounded {
		entry.deadline = deadline
	}
	heap.Push(&l.queue, entry)
	return entry, nil
}

// grant gives free slots to the waiters with the earliest deadlines. Waiters
// whose deadline has passed get none: they leave by their context.
func (l *Limiter) grant(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.queue.entries) > 0 {
		first := l.queue.entries[0]
		if !first.deadline.IsZero() && !now.Before(first.deadline) {
			l.remove(first)
			continue
		}
		if !l.take() {
			return
		}
		l.remove(first)
		close(first.granted)
	}
}

// remove takes a waiter out of the queue; the caller holds the lock.
func (l *Limiter) remove(entry *waiter) {
	heap.Remove(&l.queue, entry.index)
	l.waiting.Add(-1)
}

// checkGrant never lets work start whose time is over.
func (l *Limiter) checkGrant(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	l.Release()
	return expiry(ctx)
}

func (l *Limiter) abandon(ctx context.Context, entry *waiter) error {
	l.mutex.Lock()
	if entry.index >= 0 {
		l.remove(entry)
	}
	l.mutex.Unlock()
	select {
	case <-entry.granted:
		l.Release()
	default:
	}
	return expiry(ctx)
}

func expiry(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ErrDeadlineExceeded
	}
	return context.Cause(ctx)
}
