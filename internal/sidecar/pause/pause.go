// Package pause provides jittered waits between attempts and an exponential backoff.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Wait waits for a random time between half and all of the duration, or until the context ends.
func Wait(ctx context.Context, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration/2+rand.N(duration/2+1))
	defer cancel()
	<-ctx.Done()
}

// Backoff is an exponential backoff: it waits for Base after the first failure in a row and twice as long
// after each further one, up to Max.
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

// Reset resets the backoff after a success.
func (b *Backoff) Reset() { b.next = 0 }
