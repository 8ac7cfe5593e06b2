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
	// lookersFirst is about how many nodes of the fleet read the store in the first round in which
	// none of them has new proof, lookersMost in later ones: of a small fleet all.
	lookersFirst = 6
	lookersMost  = 12
	// lookBase is the pause after a round that brought nothing, each further one doubles it, up to
	// lookMost: calls that are turned away are paid for as well.
	lookBase = 150 * time.Millisecond
	lookMost = 4 * time.Second
)

// storeLook paces a node's own reads of the store for want of proof from others. It is safe for
// concurrent use.
type storeLook struct {
	mu sync.Mutex // guards all below
	// due is the moment before which the store is left alone, rounds how many there were since the
	// node last had new proof.
	due    time.Time
	rounds int
}

// begin begins a round when one is due, and returns how many nodes of the fleet are to read the
// store in it, zero when none is due.
func (s *storeLook) begin(now time.Time) (wanted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.due.After(now) {
		return 0
	}
	const longest = 10
	round := min(s.rounds, longest)
	s.rounds++
	s.due = now.Add(min(lookBase<<round, lookMost))
	return min(lookersFirst<<round, lookersMost)
}

// wait returns how long it is until the next round.
func (s *storeLook) wait(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.due.Sub(now), 0)
}

// reset ends the rounds: there is new proof.
func (s *storeLook) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due, s.rounds = time.Time{}, 0
}

// lookInTurn reads the store when a round is due and the node is one of the few that do in it.
func (l *levelCheck) lookInTurn(ctx context.Context) {
	wanted := l.look.begin(clock.Now())
	if rand.Float64()*float64(l.exchanger.options.Roster.View().Count()) < float64(wanted) {
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
		l.look.reset()
	}
	e.options.Logger.Info("store asked for want of proof", before, zap.Uint64("inForce", e.options.Configuration.Version()),
		zap.Duration("elapsed", clock.Since(began)), zap.Error(err))
	return err
}
