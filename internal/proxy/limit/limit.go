// Package limit provides a concurrency limiter with a bounded queue that is ordered by deadline.
// Requests for which neither a slot nor a place in the queue is free are shed immediately, before
// any work is done for them.
package limit

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of Acquire. The request holds no slot when one is returned.
var (
	// ErrQueueFull means that neither a slot nor a place in the queue was free.
	ErrQueueFull = errors.New("limit: queue is full")
	// ErrDeadlineExceeded means that the deadline passed before a slot was granted.
	ErrDeadlineExceeded = errors.New("limit: deadline passed in the queue")
)

// Limiter limits the number of concurrent requests. Acquiring a free slot, and releasing one
// while no request is queued, takes no lock.
type Limiter struct {
	capacity      atomic.Int64
	queueCapacity atomic.Int64
	inFlight      atomic.Int64
	// waiting is the length of queue and can be read without the lock. Release loads it after
	// decrementing inFlight, and enqueue increments it before loading inFlight. At least one of
	// the two therefore sees the other's change, and no wakeup is lost.
	waiting atomic.Int64

	mutex sync.Mutex // guards queue and the fields of waiters in it
	queue waiterHeap
}

// waiter is a queued request.
type waiter struct {
	deadline time.Time
	sequence uint64
	index    int // index in the heap, -1 after removal
	granted  chan struct{}
}

// New returns a limiter with the given numbers of slots and of places in the queue.
func New(capacity, queue int) *Limiter {
	limiter := &Limiter{}
	limiter.Resize(capacity, queue)
	return limiter
}

// Resize changes the numbers of slots and of places in the queue. Running and queued requests are
// not affected, except that added slots are granted to queued ones immediately.
func (l *Limiter) Resize(capacity, queue int) {
	l.capacity.Store(int64(capacity))
	l.queueCapacity.Store(int64(queue))
	l.grantSlots(time.Now())
}

// InFlight returns the number of slots in use.
func (l *Limiter) InFlight() int { return int(l.inFlight.Load()) }

// Waiting returns the number of queued requests.
func (l *Limiter) Waiting() int { return int(l.waiting.Load()) }

// Full reports whether all slots and all places in the queue are taken, so that Acquire would fail
// immediately.
func (l *Limiter) Full() bool {
	return l.inFlight.Load() >= l.capacity.Load() && l.waiting.Load() >= l.queueCapacity.Load()
}

// Acquire acquires a slot and waits for one in the queue if necessary. ctx must carry the
// deadline of the request. The caller must call Release if and only if the error is nil.
func (l *Limiter) Acquire(ctx context.Context) error {
	if l.waiting.Load() == 0 && l.tryAcquireSlot() {
		return nil
	}
	entry, err := l.enqueue(ctx)
	if entry == nil {
		return err
	}
	select {
	case <-entry.granted:
		return l.confirmGrant(ctx)
	case <-ctx.Done():
		return l.cancelWait(ctx, entry)
	}
}

// TryAcquire acquires a slot if one is free and no request is queued. It does not wait.
func (l *Limiter) TryAcquire() bool { return l.waiting.Load() == 0 && l.tryAcquireSlot() }

// Release frees a slot and grants free slots to queued requests.
func (l *Limiter) Release() {
	l.inFlight.Add(-1)
	if l.waiting.Load() > 0 {
		l.grantSlots(time.Now())
	}
}

// tryAcquireSlot increments inFlight unless all slots are in use.
func (l *Limiter) tryAcquireSlot() bool {
	for {
		current := l.inFlight.Load()
		if current >= l.capacity.Load() {
			return false
		}
		if l.inFlight.CompareAndSwap(current, current+1) {
			return true
		}
	}
}

// enqueue adds a waiter to the queue. It returns a nil waiter and a nil error if it acquired a slot
// that became free in the meantime.
func (l *Limiter) enqueue(ctx context.Context) (*waiter, error) {
	if ctx.Err() != nil {
		return nil, waitError(ctx)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if int64(len(l.queue.entries)) >= l.queueCapacity.Load() {
		if len(l.queue.entries) == 0 && l.tryAcquireSlot() {
			return nil, nil
		}
		return nil, ErrQueueFull
	}
	l.waiting.Add(1)
	if len(l.queue.entries) == 0 && l.tryAcquireSlot() {
		l.waiting.Add(-1)
		return nil, nil
	}
	entry := &waiter{granted: make(chan struct{}), sequence: l.queue.nextSequence()}
	if deadline, bounded := ctx.Deadline(); bounded {
		entry.deadline = deadline
	}
	heap.Push(&l.queue, entry)
	return entry, nil
}

// grantSlots grants free slots to the waiters with the earliest deadlines. It removes waiters whose
// deadline has passed without granting one; their Acquire returns when its context ends.
func (l *Limiter) grantSlots(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.queue.entries) > 0 {
		first := l.queue.entries[0]
		if !first.deadline.IsZero() && !now.Before(first.deadline) {
			l.removeWaiter(first)
			continue
		}
		if !l.tryAcquireSlot() {
			return
		}
		l.removeWaiter(first)
		close(first.granted)
	}
}

// removeWaiter removes a waiter from the queue. The caller must hold the lock.
func (l *Limiter) removeWaiter(entry *waiter) {
	heap.Remove(&l.queue, entry.index)
	l.waiting.Add(-1)
}

// confirmGrant releases a granted slot if the context has ended by then, so that no request starts
// after its deadline.
func (l *Limiter) confirmGrant(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	l.Release()
	return waitError(ctx)
}

// cancelWait removes the waiter from the queue and releases its slot if one was granted
// concurrently.
func (l *Limiter) cancelWait(ctx context.Context, entry *waiter) error {
	l.mutex.Lock()
	if entry.index >= 0 {
		l.removeWaiter(entry)
	}
	l.mutex.Unlock()
	select {
	case <-entry.granted:
		l.Release()
	default:
	}
	return waitError(ctx)
}

// waitError returns the error of a wait that ended with its context.
func waitError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ErrDeadlineExceeded
	}
	return context.Cause(ctx)
}
