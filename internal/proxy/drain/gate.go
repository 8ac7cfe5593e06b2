// Package drain stops a proxy, or the back end beside it, without interrupting
// requests: the drain is announced, requests are still accepted until the
// announcement must have reached all callers, then new requests are refused with
// outcome not-run while those in flight complete.
package drain

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Phase is the state of a drain.
type Phase int32

// The phases, in order. Resume returns to Serving from any phase.
const (
	// Serving: new requests are accepted.
	Serving Phase = iota
	// Announced: new requests are still accepted, since callers may not know of
	// the drain yet; each reply closes its connection.
	Announced
	// Refusing: new requests are refused with outcome not-run.
	Refusing
)

// Gate counts requests in flight and decides whether new ones may start. Enter
// and Leave, which run for each request, use only two atomics.
type Gate struct {
	phase    atomic.Int32
	inFlight atomic.Int64
	// changed is signalled when the last request ends during a drain and when
	// requests begin to be refused.
	changed chan struct{}

	mutex sync.Mutex // guards refuseTimer and changes of phase
	// refuseTimer ends the phase Announced; nil before the first drain.
	refuseTimer *time.Timer
}

// NewGate returns a gate in phase Serving.
func NewGate() *Gate { return &Gate{changed: make(chan struct{}, 1)} }

// Enter counts a new request and returns the current phase. In phase Refusing
// the request must be refused. Leave must be called in any case.
func (g *Gate) Enter() Phase {
	g.inFlight.Add(1)
	return g.Phase()
}

// Leave ends a request counted by Enter.
func (g *Gate) Leave() {
	if g.inFlight.Add(-1) == 0 && g.Phase() != Serving {
		g.notify()
	}
}

// Phase returns the current phase.
func (g *Gate) Phase() Phase { return Phase(g.phase.Load()) }

// InFlight returns the number of requests between Enter and Leave.
func (g *Gate) InFlight() int { return int(g.inFlight.Load()) }

func (g *Gate) notify() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Begin starts a drain unless one is in progress. Requests are still accepted
// for the announcement period, then refused.
func (g *Gate) Begin(announcement time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.Phase() != Serving {
		return
	}
	g.phase.Store(int32(Announced))
	g.refuseTimer = time.AfterFunc(announcement, g.Refuse)
}

// Refuse ends the phase Announced early and refuses new requests immediately.
func (g *Gate) Refuse() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.Phase() != Announced {
		return
	}
	g.refuseTimer.Stop()
	g.phase.Store(int32(Refusing))
	g.notify()
}

// Resume cancels the drain and accepts new requests again.
func (g *Gate) Resume() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.refuseTimer != nil {
		g.refuseTimer.Stop()
	}
	g.phase.Store(int32(Serving))
}

// ErrForced is returned when a drain ended with requests still in flight.
var ErrForced = errors.New("drain: ended with requests in flight")

// Wait returns once new requests are refused and none is in flight. If the
// context ends first, Wait refuses new requests and returns ErrForced if any are
// still in flight; InFlight then returns the number of interrupted requests.
func (g *Gate) Wait(ctx context.Context) error {
	for g.Phase() != Refusing || g.InFlight() > 0 {
		select {
		case <-g.changed:
		case <-ctx.Done():
			g.Refuse()
			return g.checkInFlight()
		}
	}
	g.notify() // wake another waiter, since a signal wakes only one
	return nil
}

func (g *Gate) checkInFlight() error {
	if g.InFlight() > 0 {
		return ErrForced
	}
	return nil
}
