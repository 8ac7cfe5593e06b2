package load

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// Wait blocks until a time or the context's end.
type Wait func(ctx context.Context, until time.Time)

// SleepWait waits on the runtime's timers, which may be a millisecond late.
func SleepWait(ctx context.Context, until time.Time) {
	remaining := time.Until(until)
	if remaining <= 0 {
		return
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Bounds of PreciseWait: below spinBelow it yields instead of sleeping, and it
// never sleeps longer than sleepAtMost before it looks at the context.
const (
	spinBelow   = 80 * time.Microsecond
	sleepAtMost = 50 * time.Millisecond
)

// PreciseWait waits by the kernel's own sleep, then yields for the last
// microseconds. The calling goroutine should own its thread.
func PreciseWait(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		remaining := time.Until(until)
		switch {
		case remaining <= 0:
			return
		case remaining <= spinBelow:
			runtime.Gosched()
		default:
			pause := syscall.NsecToTimespec(int64(min(remaining-spinBelow, sleepAtMost)))
			_ = syscall.Nanosleep(&pause, nil)
		}
	}
}
