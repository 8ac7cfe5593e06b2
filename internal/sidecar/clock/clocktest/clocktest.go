// Package clocktest suspends the machine of a test, as far as the node's clock can tell.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// Suspender returns a function that has the machine of the process suspended for so long
// just now. The clock goes on as before after the test.
func Suspender(t testing.TB) (suspend func(slept time.Duration)) {
	var total atomic.Int64
	t.Cleanup(clock.SetSuspensionSource(func() (time.Duration, error) { return time.Duration(total.Load()), nil }))
	return func(slept time.Duration) {
		total.Add(int64(slept))
		clock.DetectSuspension()
	}
}
