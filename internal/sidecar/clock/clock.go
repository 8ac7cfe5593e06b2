// Package clock is the time by which a node keeps its promises to others. The clock of the
// Go runtime stands still while the machine is suspended, and others' clocks do not: a node
// that wakes would pass on deadlines that are too late and take for fresh what is not. This
// clock counts that time. Steps of the time of day do not matter to it.
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
	// tolerance is the least suspension that counts. Two clocks that run alike are read
	// one after the other.
	tolerance = 20 * time.Millisecond
	// WatchInterval is the time between two looks of Watch, and so how late a suspension is
	// seen where nobody asks for the time.
	WatchInterval = 200 * time.Millisecond
	// wakeUncertainty is how long after a suspension a message may be read that came during it.
	wakeUncertainty = 250 * time.Millisecond
)

// epoch is the zero of stamps.
var epoch = time.Now()

// processClock is the clock of the process.
var processClock = newSuspendClock(readSuspended)

// suspendClock is a clock. It is safe for concurrent use.
type suspendClock struct {
	// suspended is for how long it has been since the process started, in nanoseconds.
	suspended atomic.Int64
	// wallOffset is how far time of day and the runtime's clock were wallOffset when read was last
	// called, in nanoseconds. Both a suspension and a step of the time of day change that.
	wallOffset atomic.Int64
	// lastWake is the last suspension, nil before the first.
	lastWake atomic.Pointer[wake]

	mu sync.Mutex // guards all below
	// read returns for how long the machine has been suspended since its start.
	read func() (time.Duration, error)
	// initial is what read returned when the process started.
	initial    time.Duration
	listeners map[*wakeListener]struct{}
	deadlines map[*deadline]struct{}
}

// wakeListener is one function that OnWake was given.
type wakeListener struct{ call func(slept time.Duration) }

// wake is the end of a suspension.
type wake struct {
	at    time.Time
	slept time.Duration
}

// deadline is one that is to be kept, with what ends at it.
type deadline struct {
	at     time.Time
	cancel context.CancelFunc
}

func newSuspendClock(read func() (time.Duration, error)) *suspendClock {
	created := &suspendClock{read: read, listeners: map[*wakeListener]struct{}{}, deadlines: map[*deadline]struct{}{}}
	if before, err := read(); err == nil { // else see Check
		created.initial = before
	}
	created.wallOffset.Store(wallOffset(time.Now()))
	return created
}

// readSuspended asks the kernel for how long the machine has been suspended.
func readSuspended() (time.Duration, error) { return compareClocks(readClock) }

// readClock returns the present time of one of the kernel's clocks.
func readClock(id int32) (time.Duration, error) {
	var now unix.Timespec
	err := unix.ClockGettime(id, &now)
	return time.Duration(now.Nano()), err
}

// compareClocks returns how far the clock that counts suspensions is ahead of the one that does not. The
// process may be preempted between two reads: the steady clock is read on both sides of the other, until
// little time has passed between them.
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

// wallOffset is how far time of day and the runtime's clock are wallOffset, in nanoseconds.
func wallOffset(now time.Time) int64 {
	return now.Round(0).Sub(epoch.Round(0)).Nanoseconds() - now.Sub(epoch).Nanoseconds()
}

// Now returns the present time, for differences only: its time of day is not that of the
// machine. It costs about 10 ns more than time.Now (BenchmarkNow); the kernel is asked only when
// the time of day has moved against the runtime's clock.
func Now() time.Time { return processClock.now() }

// Since returns the time since a moment of this clock.
func Since(moment time.Time) time.Duration { return Now().Sub(moment) }

// Until returns the time until a moment of this clock.
func Until(moment time.Time) time.Duration { return moment.Sub(Now()) }

// Stamp returns a moment of this clock as a number, in nanoseconds.
func Stamp(moment time.Time) int64 { return moment.Sub(epoch).Nanoseconds() }

// At returns the moment of a stamp.
func At(stamp int64) time.Time { return epoch.Add(time.Duration(stamp)) }

// WallTime returns the time of day of a moment of this clock, as others are told it.
func WallTime(moment time.Time) time.Time { return time.Now().Add(Until(moment)).Round(0) }

// FromWallTime returns the moment of this clock at a time of day that others told.
func FromWallTime(timeOfDay time.Time) time.Time { return Now().Add(time.Until(timeOfDay)) }

// ReceiveTime returns from when on the time counts that a message grants that is read now. A
// message that is read just after a suspension may have come at its beginning: a node that
// slept must not lengthen anybody's time.
func ReceiveTime() time.Time { return processClock.receiveTime() }

// WithDeadline returns a context that ends at a moment of this clock: after a suspension,
// once that is seen.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return processClock.withDeadline(parent, at)
}

// SetSuspensionSource has another source tell for how long the machine has been suspended since its start,
// from that moment on, until it is restored.
func SetSuspensionSource(read func() (time.Duration, error)) (restore func()) {
	processClock.setSource(read)
	return func() { processClock.setSource(readSuspended) }
}

// setSource goes on by another source without a jump.
func (s *suspendClock) setSource(read func() (time.Duration, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = read
	s.lastWake.Store(nil)
	if started, err := read(); err == nil {
		s.initial = started - time.Duration(s.suspended.Load())
	}
}

// CheckSupport returns why suspensions of the machine cannot be seen, nil when they can. Whoever
// starts a node says so; the clock goes on without them.
func CheckSupport() error {
	_, err := readSuspended()
	return err
}

// DetectSuspension looks for a suspension since the last look.
func DetectSuspension() { processClock.detect(time.Now()) }

// Watch looks for suspensions until the context ends.
func Watch(ctx context.Context) {
	ticker := time.NewTicker(WatchInterval)
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

// OnWake has the function called after each suspension, with how long it was, until it is
// removed. Who finds out first waits for it: it must be quick.
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

// detect asks whether the machine was suspended since the last detect, and tells.
func (s *suspendClock) detect(now time.Time) {
	slept, listeners := s.recordSuspension(now)
	for _, listener := range listeners {
		listener.call(slept)
	}
}

// recordSuspension counts a suspension since the last look and returns who is to hear of it.
func (s *suspendClock) recordSuspension(now time.Time) (slept time.Duration, listeners []*wakeListener) {
	s.wallOffset.Store(wallOffset(now))
	s.mu.Lock()
	defer s.mu.Unlock()
	total, err := s.read()
	if err != nil {
		return 0, nil // without the clocks no suspension is ever seen: see Check
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

// adjustDeadlines ends what should have ended meanwhile, and has the others end in time: the
// runtime's timers did not count the suspension. The lock is held.
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
