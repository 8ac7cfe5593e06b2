package stall

import (
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// monitorTime is the time for which the monitor keeps ticking after the last call of Extend.
const monitorTime = 2 * time.Second

// Monitor ticks for a limited time after each call of Extend and detects stalls. It is safe for
// concurrent use; the zero value is ready.
type Monitor struct {
	mu      sync.Mutex // guards all below
	tracker Tracker
	// until is the time at which the monitor stops, zero while it does not tick.
	until time.Time
}

// Extend keeps the monitor ticking for monitorTime from now on.
func (w *Monitor) Extend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	ticks := !w.until.IsZero()
	w.until = clock.Now().Add(monitorTime)
	if !ticks {
		w.tracker.Reset()
		go w.run()
	}
}

func (w *Monitor) run() {
	ticker := clock.NewTicker(Interval)
	defer ticker.Stop()
	for w.tick() {
		<-ticker.C
	}
}

// tick records a tick and reports whether the monitor continues.
func (w *Monitor) tick() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	w.tracker.Tick(now)
	if now.Before(w.until) {
		return true
	}
	w.until = time.Time{}
	w.tracker.Reset()
	return false
}

// Stalled returns for how long the node did not run since the given time.
func (w *Monitor) Stalled(from time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Stalled(from, clock.Now())
}
