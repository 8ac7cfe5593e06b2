package scale

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/hollow"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// change is one accepted change. Convergence counts from the accepted reply.
type change struct {
	content    []resource.Change
	version    uint64
	sent       time.Time
	acceptedAt time.Time
}

// apply has a random daemon accept a change.
func (w *world) apply(ctx context.Context, random *rand.Rand) (change, error) {
	running := w.mesh.Control[:0:0]
	for _, control := range w.mesh.Control {
		if control.Running() {
			running = append(running, control)
		}
	}
	made := change{content: drawChange(w.topology, random), sent: time.Now()}
	outcome, err := w.mesh.ApplyAccepted(ctx, running[random.IntN(len(running))], made.content)
	made.version, made.acceptedAt = outcome.Version, time.Now()
	return made, err
}

// applyMany makes changes at an interval and returns once all are in force.
func (w *world) applyMany(ctx context.Context, random *rand.Rand, count int, interval time.Duration, progress *progress) ([]change, error) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	changes := make([]change, 0, count)
	for len(changes) < count {
		made, err := w.apply(ctx, random)
		if err != nil {
			return changes, err
		}
		changes = append(changes, made)
		progress.step("change %d of %d", len(changes), count)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return changes, ctx.Err()
		}
	}
	return changes, w.waitInForce(ctx, changes[len(changes)-1].version)
}

// convergence returns, for each change, the time from the accepted reply until
// the last of the proxies enforced it, and the times of the single proxies. A
// proxy that enforced it before the reply counts as zero.
func convergence(changes []change, among []*hollow.Member) (everywhere, single []time.Duration) {
	for _, made := range changes {
		var last time.Duration
		for _, member := range among {
			proxy := member.Proxy()
			if proxy == nil {
				continue
			}
			at, inForce := proxy.InForceAt(made.version)
			if !inForce {
				continue
			}
			took := max(0, at.Sub(made.acceptedAt))
			single = append(single, took)
			last = max(last, took)
		}
		everywhere = append(everywhere, last)
	}
	return everywhere, single
}

// commitTimes returns how long each change took to be accepted.
func commitTimes(changes []change) []time.Duration {
	times := make([]time.Duration, len(changes))
	for index, made := range changes {
		times[index] = made.acceptedAt.Sub(made.sent)
	}
	return times
}
