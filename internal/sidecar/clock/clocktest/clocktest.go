// Package clocktest simulates suspensions of the machine in tests of code that uses package clock.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// Suspender returns a function that makes the clock of the process count a suspension of the
// given duration at once. The kernel's clocks are reinstated after the test.
func Suspender(t testing.TB) (suspend func(slept time.Duration)) {
	var total atomic.Int64
	t.Cleanup(clock.SetSuspensionSource(func() (time.Duration, error) { return time.Duration(total.Load()), nil }))
	return func(slept time.Duration) {
		total.Add(int64(slept))
		clock.DetectSuspension()
	}
}
