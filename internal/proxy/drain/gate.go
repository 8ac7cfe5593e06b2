// Package drain brings a proxy, or the back end beside it, to a stop that cuts
// off no request: announce, go on accepting until the announcement must have
// arrived, then refuse new work as not run and wait for what is in flight.
package drain

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Phase is how far a drain has come.
type Phase int32

// The phases, in their only order except that Serving may return.
const (
	// Serving: new work is taken.
	Serving Phase = iota
	// Announced: new work is still taken, since callers may not know yet;
	// each answer closes its connection.
	Announced
	// Refusing: new work is answered as not run.
	Refusing
)

// Gate counts requests in flight and tells whether new ones may start. Its
// methods on a request's path touch two atomics.
type Gate struct {
	phase    atomic.Int32
	inFlight atomic.Int64
	// changed receives when the last request ends during a drain, and at each
	// change of the phase.
	changed chan struct{}

	mutex sync.Mutex // guards refusal and the phase's changes
	// refuseTimer ends the phase Announced; nil outside it.
	refuseTimer *time.Timer
}

// NewGate returns a gate in phase Serving.
func NewGate() *Gate { return &Gate{changed: make(chan struct{}, 1)} }

// Enter counts a request in and returns the phase it met. In phase Refusing
// the request must be refused; Leave is due all the same.
func (g *Gate) Enter() Phase {
	g.inFlight.Add(1)
	return g.Phase()
}

// Leave counts a request out.
func (g *Gate) Leave() {
	if g.inFlight.Add(-1) == 0 && g.Phase() != Serving {
		g.notify()
	}
}

// Phase returns how far the drain has come.
func (g *Gate) Phase() Phase { return Phase(g.phase.Load()) }

// InFlight returns how many requests are between Enter and Leave.
func (g *Gate) InFlight() int { return int(g.inFlight.Load()) }

func (g *Gate) notify() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Begin starts a drain unless one is going on: new work is still taken for the
// time that the announcement may take to arrive, then refused.
func (g *Gate) Begin(announcement time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.Phase() != Serving {
		return
	}
	g.phase.Store(int32(Announced))
	g.refuseTimer = time.AfterFunc(announcement, g.Refuse)
}

// Refuse ends the taking of new work at once.
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

// Resume takes new work again.
func (g *Gate) Resume() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.refuseTimer != nil {
		g.refuseTimer.Stop()
	}
	g.phase.Store(int32(Serving))
}

// ErrForced says that a drain ended before its requests did.
var ErrForced = errors.New("drain: ended with requests in flight")

// Wait returns once new work is refused and nothing is in flight. When the
// context ends first it refuses new work and returns ErrForced if anything is
// in flight; InFlight then says how many requests are cut off.
func (g *Gate) Wait(ctx context.Context) error {
	for g.Phase() != Refusing || g.InFlight() > 0 {
		select {
		case <-g.changed:
		case <-ctx.Done():
			g.Refuse()
			return g.checkInFlight()
		}
	}
	g.notify() // another waiter may have missed it
	return nil
}

func (g *Gate) checkInFlight() error {
	if g.InFlight() > 0 {
		return ErrForced
	}
	return nil
}
