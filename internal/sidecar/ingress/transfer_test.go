package ingress

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestTransfers checks that on a link of 10 Mbit/s as many bodies are received concurrently as it
// carries in a tenth of a second, in the order of arrival. A longer body is received alone, and on
// a fast link none waits.
func TestTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		slow := newTransfers(10)
		var most, running atomic.Int64
		ended := make(chan int, 6)
		for i, length := range []int64{60_000, 60_000, 60_000, 400_000, 60_000, 60_000} {
			go func() {
				release, err := slow.acquire(t.Context(), length)
				g.Expect(err).NotTo(HaveOccurred())
				most.Store(max(most.Load(), running.Add(1)))
				if length > slow.size {
					g.Expect(running.Load()).To(BeEquivalentTo(1))
				}
				time.Sleep(50 * time.Millisecond)
				running.Add(-1)
				release()
				ended <- i
			}()
			synctest.Wait()
		}
		synctest.Wait()
		for want := range 6 {
			got := <-ended
			if want >= 2 && want <= 3 {
				g.Expect(got).To(Equal(want))
			}
		}
		g.Expect(most.Load()).To(BeEquivalentTo(2))

		_, err := slow.acquire(t.Context(), slow.size)
		g.Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		free, err := slow.acquire(t.Context(), slow.size)
		g.Expect(time.Since(began)).To(Equal(reservationTimeout), "the reservation of a slow sender expires")
		g.Expect(err).NotTo(HaveOccurred())
		impatient, cancel := context.WithTimeout(t.Context(), reservationTimeout/2)
		defer cancel()
		_, err = slow.acquire(impatient, 1)
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		free()

		for range 100 {
			_, err := newTransfers(0).acquire(t.Context(), 60_000)
			g.Expect(err).NotTo(HaveOccurred())
		}
	})
}
