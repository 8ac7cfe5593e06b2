package clock_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

func TestTickerKeepsItsSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const interval = 100 * time.Millisecond
		start := time.Now()
		ticker := clock.NewTicker(interval)
		for i := range 5 {
			tick := <-ticker.C
			g.Expect(tick.Sub(start)).To(Equal(time.Duration(i+1) * interval))
			time.Sleep(interval / 3)
		}
		time.Sleep(10 * interval)
		g.Expect((<-ticker.C).Sub(start)).To(Equal(6*interval), "one tick waits, the others are dropped")
		g.Expect((<-ticker.C).Sub(start) % interval).To(BeZero())
		ticker.Stop()
		time.Sleep(2 * interval)
		g.Expect(ticker.C).NotTo(Receive())
	})
}

func TestTimerDropsAnExpiryBeforeReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		timer := clock.NewTimer(time.Second)
		time.Sleep(2 * time.Second)
		timer.Reset(time.Second)
		g.Expect(timer.C).NotTo(Receive())
		g.Expect((<-timer.C).Sub(start)).To(Equal(3 * time.Second))
		timer.Reset(time.Second)
		timer.Stop()
		time.Sleep(2 * time.Second)
		g.Expect(timer.C).NotTo(Receive())
		timer.Reset(0)
		g.Expect((<-timer.C).Sub(start)).To(Equal(5 * time.Second))
	})
}

// TestTickersInABubbleKeepTheRaceDetectorRunning has selects find tickers due that their bubble is
// about to run.
func TestTickersInABubbleKeepTheRaceDetectorRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		var waiting sync.WaitGroup
		for range 32 {
			waiting.Go(func() { receiveTicks(ctx) })
		}
		waiting.Wait()
	})
}

// TestTimersOfZeroInABubbleKeepTheRaceDetectorRunning has goroutines set timers that expire at once.
func TestTimersOfZeroInABubbleKeepTheRaceDetectorRunning(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		var waiting sync.WaitGroup
		for range 32 {
			waiting.Go(func() {
				for range 500 {
					<-clock.NewTimer(0).C
				}
			})
		}
		waiting.Wait()
	})
}

func receiveTicks(ctx context.Context) {
	var tickers [4]*clock.Ticker
	for i := range tickers {
		tickers[i] = clock.NewTicker(time.Millisecond)
		defer tickers[i].Stop()
	}
	for {
		select {
		case <-tickers[0].C:
		case <-tickers[1].C:
		case <-tickers[2].C:
		case <-tickers[3].C:
		case <-ctx.Done():
			return
		}
	}
}
