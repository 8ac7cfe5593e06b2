package clock

import (
	"sync"
	"time"
)

// Ticker is like time.Ticker, built on time.AfterFunc: channel timers, and timers of zero, crash the
// race detector of Go 1.26 in synctest bubbles.
type Ticker struct {
	// C delivers the ticks. A tick is dropped while the one before has not been received.
	C <-chan time.Time

	interval time.Duration
	ticks    chan time.Time

	mu      sync.Mutex // guards all below
	timer   *time.Timer
	next    time.Time
	stopped bool
}

// NewTicker returns a ticker with the given interval, which must be positive. Stop must be called
// when it is no longer needed.
func NewTicker(interval time.Duration) *Ticker {
	ticks := make(chan time.Time, 1)
	created := &Ticker{C: ticks, interval: interval, ticks: ticks}
	created.mu.Lock()
	defer created.mu.Unlock()
	created.next = time.Now().Add(interval)
	created.timer = time.AfterFunc(interval, created.tick)
	return created
}

// tick delivers a tick and schedules the next one. Ticks that are late by more than an interval
// are skipped.
func (t *Ticker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	now := time.Now()
	send(t.ticks, now)
	t.next = t.next.Add(t.interval)
	if late := now.Sub(t.next); late >= 0 {
		t.next = now.Add(t.interval - late%t.interval)
	}
	t.timer.Reset(t.next.Sub(now))
}

// Stop ends the ticks. It does not close C.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// Timer is like time.Timer, built as Ticker is.
type Timer struct {
	// C delivers the time at which the timer expired.
	C <-chan time.Time

	expired chan time.Time

	mu    sync.Mutex // guards all below
	timer *time.Timer
	// resets counts the calls of Reset and Stop, so that an expiry before them is not delivered
	// after them.
	resets int
}

// NewTimer returns a timer that expires after the given time.
func NewTimer(after time.Duration) *Timer {
	expired := make(chan time.Time, 1)
	created := &Timer{C: expired, expired: expired}
	created.Reset(after)
	return created
}

// Reset makes the timer expire after the given time. An earlier expiry that was not received is
// dropped.
func (t *Timer) Reset(after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel()
	if after <= 0 {
		send(t.expired, time.Now())
		return
	}
	reset := t.resets
	t.timer = time.AfterFunc(after, func() { t.expire(reset) })
}

// Stop keeps the timer from expiring. An expiry that was not received is dropped.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel()
}

// cancel drops the current expiry. The caller must hold the lock.
func (t *Timer) cancel() {
	t.resets++
	if t.timer != nil {
		t.timer.Stop()
	}
	select {
	case <-t.expired:
	default:
	}
}

func (t *Timer) expire(reset int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reset == t.resets {
		send(t.expired, time.Now())
	}
}

// send sends without blocking.
func send(to chan<- time.Time, now time.Time) {
	select {
	case to <- now:
	default:
	}
}
