package stall

import (
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// monitorTime is for how long a watch goes on after it was last asked to.
const monitorTime = 2 * time.Second

// Monitor ticks while somebody asks for stalls. It is safe for concurrent use; the zero value is ready.
type Monitor struct {
	mu      sync.Mutex // guards all below
	tracker Tracker
	// until is when the watch ends, zero while it does not tick.
	until time.Time
}

// Extend has the watch tick for a while.
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
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for w.tick() {
		<-ticker.C
	}
}

// tick reports whether the watch goes on.
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

// Stalled returns for how long the node did not run since a moment.
func (w *Monitor) Stalled(from time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Stalled(from, clock.Now())
}
