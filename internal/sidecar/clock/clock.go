// Package clock provides a monotonic clock that includes the time for which the machine was
// suspended. The Go runtime's monotonic clock stops during a suspension, while the clocks of
// other nodes continue: without the correction a resumed node would propagate late deadlines
// and treat stale data as fresh. Steps of the wall clock do not affect it.
package clock

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tolerance is the shortest suspension that is counted: the two clocks that are compared
	// are read one after the other.
	tolerance = 20 * time.Millisecond
	// WatchInterval is the polling interval of Watch, and thus the longest delay until a
	// suspension is detected while nothing calls Now.
	WatchInterval = 200 * time.Millisecond
	// wakeUncertainty is the time after a suspension during which a message that is read may still
	// have arrived during the suspension.
	wakeUncertainty = 250 * time.Millisecond
)

// epoch is the moment whose stamp is zero.
var epoch = time.Now()

// processClock is the clock of the process.
var processClock = newSuspendClock(readSuspended)

// suspendClock is a monotonic clock that counts suspensions. It is safe for concurrent use.
type suspendClock struct {
	// suspended is the total time of suspension since the process started, in nanoseconds.
	suspended atomic.Int64
	// wallOffset is the difference between the wall clock and the runtime's monotonic clock when
	// read was last called, in nanoseconds. Both a suspension and a step of the wall clock
	// change it.
	wallOffset atomic.Int64
	// lastWake is the last suspension, nil before the first.
	lastWake atomic.Pointer[wake]

	mu sync.Mutex // guards all below
	// read returns the total time of suspension since the machine started.
	read func() (time.Duration, error)
	// initial is the value that read returned when the process started.
	initial   time.Duration
	listeners map[*wakeListener]struct{}
	deadlines map[*deadline]struct{}
}

// wakeListener is a function registered by OnWake. Its address identifies it.
type wakeListener struct{ call func(slept time.Duration) }

// wake is the end of a suspension.
type wake struct {
	at    time.Time
	slept time.Duration
}

// deadline is the deadline of a context, with the function that cancels the context.
type deadline struct {
	at     time.Time
	cancel context.CancelFunc
}

func newSuspendClock(read func() (time.Duration, error)) *suspendClock {
	created := &suspendClock{read: read, listeners: map[*wakeListener]struct{}{}, deadlines: map[*deadline]struct{}{}}
	if initial, err := read(); err == nil { // CheckSupport reports the error
		created.initial = initial
	}
	created.wallOffset.Store(wallOffset(time.Now()))
	return created
}

// readSuspended reads the total time of suspension from the kernel's clocks.
func readSuspended() (time.Duration, error) { return compareClocks(readClock) }

// readClock returns the current time of one of the kernel's clocks.
func readClock(id int32) (time.Duration, error) {
	var now unix.Timespec
	err := unix.ClockGettime(id, &now)
	return time.Duration(now.Nano()), err
}

// compareClocks returns how far CLOCK_BOOTTIME, which counts suspensions, is ahead of CLOCK_MONOTONIC,
// which does not. The process may be preempted between two reads, so CLOCK_MONOTONIC is read before and
// after CLOCK_BOOTTIME; the attempt with the least time between these reads is used.
func compareClocks(read func(id int32) (time.Duration, error)) (ahead time.Duration, err error) {
	const attempts, targetWindow = 5, tolerance / 10
	window := time.Duration(math.MaxInt64)
	for range attempts {
		before, wrongBefore := read(unix.CLOCK_MONOTONIC)
		counting, wrongCounting := read(unix.CLOCK_BOOTTIME)
		after, wrongAfter := read(unix.CLOCK_MONOTONIC)
		if err := errors.Join(wrongBefore, wrongCounting, wrongAfter); err != nil {
			return 0, err
		}
		if passed := after - before; passed < window {
			window, ahead = passed, counting-after
		}
		if window <= targetWindow {
			break
		}
	}
	return ahead, nil
}

// wallOffset returns how far the wall clock has moved relative to the runtime's monotonic clock
// since the process started, in nanoseconds.
func wallOffset(now time.Time) int64 {
	return now.Round(0).Sub(epoch.Round(0)).Nanoseconds() - now.Sub(epoch).Nanoseconds()
}

// Now returns the current time. Only differences between such times are meaningful: the wall
// time in the result is not the machine's. It costs little more than time.Now (BenchmarkNow):
// the kernel is asked only when the wall clock has moved relative to the runtime's monotonic
// clock.
func Now() time.Time { return processClock.now() }

// Since returns the time elapsed since a moment of this clock.
func Since(moment time.Time) time.Duration { return Now().Sub(moment) }

// Until returns the time until a moment of this clock.
func Until(moment time.Time) time.Duration { return moment.Sub(Now()) }

// Stamp returns a moment of this clock as nanoseconds since the process started.
func Stamp(moment time.Time) int64 { return moment.Sub(epoch).Nanoseconds() }

// At returns the moment that Stamp encoded.
func At(stamp int64) time.Time { return epoch.Add(time.Duration(stamp)) }

// WallTime converts a moment of this clock to wall time, for use by other processes.
func WallTime(moment time.Time) time.Time { return time.Now().Add(Until(moment)).Round(0) }

// FromWallTime converts a wall time received from another process to a moment of this clock.
func FromWallTime(timeOfDay time.Time) time.Time { return Now().Add(time.Until(timeOfDay)) }

// ReceiveTime returns the time at which a message that is read now counts as received; a
// duration that the message grants starts then. A message that is read just after a suspension
// may have arrived at the beginning of it, so the suspension counts against the grant:
// otherwise a resumed node would extend it.
func ReceiveTime() time.Time { return processClock.receiveTime() }

// WithDeadline returns a context that ends at a moment of this clock. If that moment passes
// during a suspension, the context ends when the suspension is detected.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return processClock.withDeadline(parent, at)
}

// SetSuspensionSource replaces the function that returns the total time of suspension since the machine
// started. Time that it reports at the call is not counted. restore reinstates the kernel's clocks.
func SetSuspensionSource(read func() (time.Duration, error)) (restore func()) {
	processClock.setSource(read)
	return func() { processClock.setSource(readSuspended) }
}

// setSource replaces the source without a jump of the clock.
func (s *suspendClock) setSource(read func() (time.Duration, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = read
	s.lastWake.Store(nil)
	if started, err := read(); err == nil {
		s.initial = started - time.Duration(s.suspended.Load())
	}
}

// CheckSupport returns an error when suspensions of the machine cannot be detected. The caller
// that starts a node logs it; the clock then runs without counting suspensions.
func CheckSupport() error {
	_, err := readSuspended()
	return err
}

// DetectSuspension counts a suspension since the previous check, if there was one.
func DetectSuspension() { processClock.detect(time.Now()) }

// Watch checks for suspensions every WatchInterval until the context ends.
func Watch(ctx context.Context) {
	ticker := NewTicker(WatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			DetectSuspension()
		case <-ctx.Done():
			return
		}
	}
}

// OnWake registers a function that is called after each suspension with its duration, until it
// is removed. It runs on the goroutine that detects the suspension, which may be any caller of
// Now, so it must return quickly.
func OnWake(call func(slept time.Duration)) (remove func()) {
	added := &wakeListener{call: call}
	processClock.mu.Lock()
	defer processClock.mu.Unlock()
	processClock.listeners[added] = struct{}{}
	return func() {
		processClock.mu.Lock()
		defer processClock.mu.Unlock()
		delete(processClock.listeners, added)
	}
}

func (s *suspendClock) now() time.Time {
	now := time.Now()
	if moved := time.Duration(wallOffset(now) - s.wallOffset.Load()); moved > tolerance || moved < -tolerance {
		s.detect(now)
	}
	return now.Add(time.Duration(s.suspended.Load()))
}

// detect checks for a suspension since the previous check, and calls the listeners.
func (s *suspendClock) detect(now time.Time) {
	slept, listeners := s.recordSuspension(now)
	for _, listener := range listeners {
		listener.call(slept)
	}
}

// recordSuspension counts a suspension since the previous check and returns the listeners to call.
func (s *suspendClock) recordSuspension(now time.Time) (slept time.Duration, notified []*wakeListener) {
	s.wallOffset.Store(wallOffset(now))
	s.mu.Lock()
	defer s.mu.Unlock()
	total, err := s.read()
	if err != nil {
		return 0, nil // suspensions cannot be detected without the clocks: see CheckSupport
	}
	counted := total - s.initial
	slept = counted - time.Duration(s.suspended.Load())
	if slept < tolerance {
		return 0, nil
	}
	s.suspended.Store(int64(counted))
	s.lastWake.Store(&wake{at: now.Add(counted), slept: slept})
	s.adjustDeadlines(now.Add(counted))
	return slept, slices.Collect(maps.Keys(s.listeners))
}

// adjustDeadlines cancels the contexts whose deadlines passed during the suspension and sets
// timers for the others, since the runtime's timers did not count it. The lock is held.
func (s *suspendClock) adjustDeadlines(now time.Time) {
	for kept := range s.deadlines {
		if left := kept.at.Sub(now); left > 0 {
			time.AfterFunc(left, kept.cancel)
		} else {
			kept.cancel()
		}
	}
}

func (s *suspendClock) receiveTime() time.Time {
	now := s.now()
	if last := s.lastWake.Load(); last != nil && now.Sub(last.at) < wakeUncertainty {
		return now.Add(-last.slept)
	}
	return now
}

func (s *suspendClock) withDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, at.Sub(s.now()))
	kept := &deadline{at: at, cancel: cancel}
	s.mu.Lock()
	s.deadlines[kept] = struct{}{}
	s.mu.Unlock()
	return ctx, func() {
		cancel()
		s.mu.Lock()
		delete(s.deadlines, kept)
		s.mu.Unlock()
	}
}
