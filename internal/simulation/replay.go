package simulation

import (
	"fmt"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Replay replaces a scenario's own resources and changes by given ones, so
// that a run elsewhere can be simulated.
type Replay struct {
	Initial []resource.Change
	Changes []TimedChange
}

// TimedChange is made so long after the load began.
type TimedChange struct {
	At      time.Duration
	Changes []resource.Change
}

// scheduleReplay makes the changes of a replay at their times.
func (w *World) scheduleReplay() {
	for _, timed := range w.replay.Changes {
		w.clock.after(timed.At, func() {
			w.operations++
			w.commit(&change{id: fmt.Sprint("operation-", w.operations), changes: timed.Changes})
		})
	}
}
