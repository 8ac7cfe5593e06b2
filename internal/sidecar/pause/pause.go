// Package pause waits between tries, longer after each failure.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Wait pauses for half to all of the duration, or until the context ends.
func Wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration/2 + rand.N(duration/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Backoff is the wait after failures in a row: Base after the first, twice as
// long after each further one, up to Most.
type Backoff struct {
	Base, Max time.Duration
	next      time.Duration
}

// Pause waits after a failure.
func (b *Backoff) Pause(ctx context.Context) {
	wait := max(b.next, b.Base)
	b.next = min(2*wait, b.Max)
	Wait(ctx, wait)
}

// Reset ends the failures in a row.
func (b *Backoff) Reset() { b.next = 0 }
