package limit_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/limit"
)

func TestQueueIsOrderedByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limiter := limit.New(1, 4)
		g.Expect(limiter.Acquire(t.Context())).To(Succeed())
		acquired := make(chan time.Duration, 4)
		for _, deadline := range []time.Duration{30, 10, 20, 0} {
			go func() {
				ctx := t.Context()
				if deadline > 0 {
					bounded, cancel := context.WithTimeout(ctx, deadline*time.Second)
					defer cancel()
					ctx = bounded
				}
				if limiter.Acquire(ctx) == nil {
					acquired <- deadline
				}
			}()
			synctest.Wait()
		}
		g.Expect(limiter.Acquire(t.Context())).To(MatchError(limit.ErrQueueFull))
		for _, next := range []time.Duration{10, 20, 30, 0} {
			limiter.Release()
			g.Expect(<-acquired).To(Equal(next))
		}
		limiter.Release()
		g.Expect(limiter.InFlight()).To(BeZero())
	})
}

func TestAcquireWithEndedContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limiter := limit.New(1, 2)
		g.Expect(limiter.Acquire(t.Context())).To(Succeed())
		expired, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(limiter.Acquire(expired)).To(MatchError(limit.ErrDeadlineExceeded))
		g.Expect(limiter.Acquire(expired)).To(MatchError(limit.ErrDeadlineExceeded))
		cancelled, stop := context.WithCancel(t.Context())
		stop()
		g.Expect(limiter.Acquire(cancelled)).To(MatchError(context.Canceled))
		g.Expect(limiter.Waiting()).To(BeZero())
		limiter.Release()
		g.Expect(limiter.InFlight()).To(BeZero())
	})
}

// TestASlotFreedAtTheDeadlineStartsNothing guards against a request that starts after its deadline:
// the deadline and the release of the slot fall on the same instant and are processed in either
// order.
func TestASlotFreedAtTheDeadlineStartsNothing(t *testing.T) {
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			limiter := limit.New(1, 1)
			g.Expect(limiter.Acquire(t.Context())).To(Succeed())
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			waited := make(chan error, 1)
			go func() { waited <- limiter.Acquire(ctx) }()
			time.Sleep(time.Second)
			limiter.Release()
			g.Expect(<-waited).To(MatchError(limit.ErrDeadlineExceeded))
			g.Expect(limiter.InFlight()).To(BeZero())
		})
	}
}

func TestResizeGrantsSlotsToWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limiter := limit.New(0, 1)
		done := make(chan error, 1)
		go func() { done <- limiter.Acquire(t.Context()) }()
		synctest.Wait()
		g.Expect(limiter.Waiting()).To(Equal(1))
		limiter.Resize(1, 1)
		g.Expect(<-done).To(Succeed())
		g.Expect(limiter.InFlight()).To(Equal(1))
	})
}

// TestNeverMoreThanTheSlots checks that goroutines that acquire, time out and release
// concurrently never hold more slots than there are, and that no slot leaks.
func TestNeverMoreThanTheSlots(t *testing.T) {
	const slots, workers, rounds = 3, 16, 300
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limiter := limit.New(slots, workers)
		var running, peak atomic.Int64
		var group sync.WaitGroup
		for worker := range workers {
			group.Go(func() {
				random := rand.New(rand.NewPCG(1, uint64(worker)))
				for range rounds {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(20))*time.Millisecond)
					if limiter.Acquire(ctx) == nil {
						peak.Store(max(peak.Load(), running.Add(1)))
						time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
						running.Add(-1)
						limiter.Release()
					}
					cancel()
				}
			})
		}
		group.Wait()
		g.Expect(peak.Load()).To(BeEquivalentTo(slots))
		g.Expect(limiter.InFlight()).To(BeZero())
		g.Expect(limiter.Waiting()).To(BeZero())
	})
}

func BenchmarkAcquire(b *testing.B) {
	limiter := limit.New(1000, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if limiter.Acquire(b.Context()) != nil {
				b.Error("no slot")
				return
			}
			limiter.Release()
		}
	})
}
