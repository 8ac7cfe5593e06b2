package egress

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// TestRetryAfterRandomRejection simulates callers of back ends that reject 0.55 of their requests
// although they have free slots. Each caller retries twice, after the time it was asked to wait.
// Nearly all that are served at all are served in time.
func TestRetryAfterRandomRejection(t *testing.T) {
	const (
		callers       = 4000
		rejects       = 0.55
		attempts      = 3
		work          = 380 * time.Millisecond
		aim           = time.Second
		callerTimeout = 6 * time.Second
	)
	// play returns the fractions of callers that are served in time, and late.
	play := func(room bool) (inTime, late float64) {
		random := rand.New(rand.NewPCG(1, 2))
		for range callers {
			began := clock.Now()
			for attempt := range attempts {
				if random.Float64() >= rejects {
					time.Sleep(work)
					if clock.Since(began) <= aim {
						inTime++
					} else {
						late++
					}
					break
				}
				remaining := callerTimeout - clock.Since(began)
				refused := &call{
					started: clock.Now(), deadline: clock.Now().Add(remaining), callerTime: remaining,
					returning: attempt > 0, rejectedWithFreeSlots: room,
				}
				time.Sleep(min(refused.clampRetryAfter(minimumRetryAfter), remaining/3))
			}
		}
		return inTime / callers, late / callers
	}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		inTime, late := play(true)
		g.Expect(inTime).To(BeNumerically(">", 0.8))
		g.Expect(late).To(BeZero())
		// As if a queue had refused them.
		inTime, late = play(false)
		g.Expect(inTime).To(BeNumerically("<", 0.72))
		g.Expect(late).To(BeNumerically(">", 0.1))
	})
}
