package admission_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/admission"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ratelimit"
)

// newLimitedGate returns a gate whose back end has just advertised that rate limit.
func newLimitedGate(slots int, perSecond float64) *admission.Gate {
	gate := admission.New(time.Now)
	gate.Resize(slots)
	gate.UpdateLimit(ratelimit.Advertised{HasLimit: true, PerSecond: perSecond}, time.Now(), time.Now())
	return gate
}

// TestGateEnforcesRateLimit checks that, with free slots, requests wait for the rate limit or are
// refused with a retry time.
func TestGateEnforcesRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := newLimitedGate(100, 10)
		for range 10 {
			_, err := gate.Acquire(t.Context(), info(1, 0))
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err := gate.Acquire(t.Context(), info(1, 50*time.Millisecond))
		var limited *admission.RateLimitError
		g.Expect(err).To(BeAssignableToTypeOf(limited))
		g.Expect(err.(*admission.RateLimitError).Wait).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
		began := time.Now()
		_, err = gate.Acquire(t.Context(), info(1, 200*time.Millisecond))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	})
}

// TestRateLimitServesMoreUrgentFirst checks that the rate limit serves requests in the order of the
// queue, and that a displaced request is refused at once.
func TestRateLimitServesMoreUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := newLimitedGate(100, 1)
		_, err := gate.Acquire(t.Context(), info(1, 0))
		g.Expect(err).NotTo(HaveOccurred())
		displaced := make(chan error, 1)
		go func() {
			_, err := gate.Acquire(t.Context(), info(2, 1500*time.Millisecond))
			displaced <- err
		}()
		synctest.Wait()
		var served atomic.Bool
		go func() {
			_, err := gate.Acquire(t.Context(), info(0, 1500*time.Millisecond))
			served.Store(err == nil)
		}()
		synctest.Wait()
		g.Expect(<-displaced).To(BeAssignableToTypeOf(&admission.RateLimitError{}))
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		g.Expect(served.Load()).To(BeTrue())
	})
}

// TestLimitChangeAffectsQueuedRequests checks that waiting requests are refused when the limit is
// lowered, and served when it ends.
func TestLimitChangeAffectsQueuedRequests(t *testing.T) {
	for _, test := range []struct {
		name   string
		update ratelimit.Advertised
		passes bool
	}{
		{"lowered", ratelimit.Advertised{HasLimit: true, PerSecond: 0.5}, false},
		{"ended", ratelimit.Advertised{}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				gate := newLimitedGate(100, 2)
				for range 2 {
					_, err := gate.Acquire(t.Context(), info(1, 0))
					g.Expect(err).NotTo(HaveOccurred())
				}
				results := make(chan error, 2)
				for range 2 {
					go func() {
						_, err := gate.Acquire(t.Context(), info(1, 1100*time.Millisecond))
						results <- err
					}()
					synctest.Wait()
				}
				gate.UpdateLimit(test.update, time.Now(), time.Now())
				synctest.Wait()
				if test.passes {
					g.Expect(<-results).NotTo(HaveOccurred())
					g.Expect(<-results).NotTo(HaveOccurred())
					return
				}
				g.Expect(<-results).To(BeAssignableToTypeOf(&admission.RateLimitError{}))
			})
		})
	}
}

// TestCloseRefusesQueuedRequests checks that waiting and later requests are refused once the gate is
// closed.
func TestCloseRefusesQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := newLimitedGate(100, 1)
		_, err := gate.Acquire(t.Context(), info(1, 0))
		g.Expect(err).NotTo(HaveOccurred())
		waited := make(chan error, 1)
		go func() {
			_, err := gate.Acquire(t.Context(), info(1, time.Minute))
			waited <- err
		}()
		synctest.Wait()
		gate.Close()
		g.Expect(<-waited).To(MatchError(admission.ErrClosed))
		_, err = gate.Acquire(t.Context(), info(1, time.Minute))
		g.Expect(err).To(MatchError(admission.ErrClosed))
	})
}

// TestRefundedSlotDoesNotCountTowardLimit checks that a refunded slot uses up no part of the rate limit.
func TestRefundedSlotDoesNotCountTowardLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := newLimitedGate(1, 1)
		for range 5 {
			slot, err := gate.Acquire(t.Context(), info(1, 0))
			g.Expect(err).NotTo(HaveOccurred())
			slot.Refund()
		}
	})
}

// TestFIFOOrderUnderRateLimit checks that requests that wait only for the rate limit are served oldest
// first, and that excess requests are refused on arrival instead of after a wait.
func TestFIFOOrderUnderRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const maximumWait = 350 * time.Millisecond
		gate := newLimitedGate(100, 10)
		for range 10 {
			_, err := gate.Acquire(t.Context(), info(1, 0))
			g.Expect(err).NotTo(HaveOccurred())
		}
		began := time.Now()
		var waits, refusals []time.Duration
		var mu sync.Mutex
		for range 8 {
			go func() {
				_, err := gate.Acquire(t.Context(), info(1, maximumWait))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					waits = append(waits, time.Since(began))
				} else {
					refusals = append(refusals, time.Since(began))
				}
			}()
			synctest.Wait()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(waits).To(HaveLen(3))
		g.Expect(refusals).To(HaveLen(5))
		g.Expect(refusals).To(HaveEach(BeZero()))
	})
}
