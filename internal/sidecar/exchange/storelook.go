package exchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

const (
	// lookers is about how many nodes of the fleet ask the store at the same time when none of
	// them has new proof: enough that one is not turned away, few enough for its limits.
	lookers = 6
	// lookBase is the pause after a look at the store that brought nothing, each further one
	// doubles it, up to lookMost: calls that are turned away are paid for as well.
	lookBase = 150 * time.Millisecond
	lookMost = 2 * time.Second
)

// storeLook paces a node's own reads of the store for want of proof from others. It is safe for
// concurrent use.
type storeLook struct {
	mu sync.Mutex // guards all below
	// due is the moment before which the store is left alone, pause the next pause; zero after a
	// success.
	due   time.Time
	pause time.Duration
}

// begin reports whether the node may look now and sets when it may again, should that be in vain.
func (s *storeLook) begin(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.due.After(now) {
		return false
	}
	s.pause = min(max(2*s.pause, lookBase), lookMost)
	s.due = now.Add(s.pause)
	return true
}

// succeeded ends the pauses.
func (s *storeLook) succeeded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due, s.pause = time.Time{}, 0
}

// lookInTurn reads the store when it is due, and when the node is one of the few that do in this
// round.
func (l *levelCheck) lookInTurn(ctx context.Context) {
	if !l.look.begin(clock.Now()) {
		return
	}
	if rand.Float64()*float64(l.exchanger.options.Roster.View().Count()) < lookers {
		go l.lookNow(ctx)
	}
}

// lookNow reads the store.
func (l *levelCheck) lookNow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e := l.exchanger
	before, began := e.behind.proofAge(), clock.Now()
	err := e.options.Refresh(ctx)
	e.observer.Asked(askedStore, err)
	if err == nil {
		l.look.succeeded()
	}
	e.options.Logger.Info("store asked for want of proof", before, zap.Uint64("inForce", e.options.Configuration.Version()),
		zap.Duration("elapsed", clock.Since(began)), zap.Error(err))
	return err
}
