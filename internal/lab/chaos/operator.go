package chaos

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
)

// Bounds the mesh is held to.
const (
	convergenceBound = 3 * time.Second
	drainBound       = 2 * time.Second
)

// Times of the events.
const (
	shortestPause = 50 * time.Millisecond
	longestPause  = 300 * time.Millisecond
	// outage is how long a killed part stays away.
	outage = 400 * time.Millisecond
	// settle is how long a part that came back is left alone: its callers
	// learn of it before the next event meets it.
	settle = 300 * time.Millisecond
	// resetExcuse is how long calls may still meet connections that were
	// reset.
	resetExcuse = 50 * time.Millisecond
)

// operator lets events happen in an order that depends on the seed only.
type operator struct {
	seed    uint64
	mesh    *mesh.Mesh
	journal *journal
	// busy holds the parts an event has to itself.
	busy sync.Map
	// storeOutage is held shared by changes of configuration and exclusively
	// by faults of the store, which make a change slow for a known reason.
	storeOutage sync.RWMutex
}

func newOperator(seed uint64, running *mesh.Mesh, journal *journal) *operator {
	return &operator{seed: seed, mesh: running, journal: journal}
}

// run lets events happen, several at once, until the context ends; it returns
// when every part is back.
func (o *operator) run(ctx context.Context, together int) {
	var streams sync.WaitGroup
	for stream := range together {
		streams.Go(func() { o.stream(ctx, rand.New(rand.NewPCG(o.seed, uint64(stream)))) })
	}
	streams.Wait()
}

// event is one kind of event and its share among all.
type event struct {
	kind   string
	weight int
	happen func(o *operator, ctx context.Context, kind string, random *rand.Rand) error
}

func (o *operator) stream(ctx context.Context, random *rand.Rand) {
	var total int
	for _, each := range events {
		total += each.weight
	}
	for wait(ctx, shortestPause+time.Duration(random.Int64N(int64(longestPause-shortestPause)))) {
		chosen := pickEvent(random.IntN(total))
		if err := chosen.happen(o, ctx, chosen.kind, random); err != nil {
			o.journal.failed(chosen.kind, err)
		}
	}
}

func pickEvent(drawn int) event {
	for _, each := range events {
		if drawn < each.weight {
			return each
		}
		drawn -= each.weight
	}
	return events[len(events)-1]
}

// claim gives an event a part to itself; false when another event has it.
func (o *operator) claim(name string) (release func(), claimed bool) {
	if _, taken := o.busy.LoadOrStore(name, true); taken {
		return nil, false
	}
	return func() { o.busy.Delete(name) }, true
}

// wait pauses; false when the context ended.
func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
