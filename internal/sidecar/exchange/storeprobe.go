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
	// probersFirst is about how many nodes of the fleet read the store in the first round in which
	// none of them has new proof, probersMost in later ones: of a small fleet all.
	probersFirst = 6
	probersMost  = 12
	// probeBase is the pause after a round that brought nothing, each further one doubles it, up to
	// probeMost: calls that are turned away are paid for as well.
	probeBase = 150 * time.Millisecond
	probeMost = 4 * time.Second
)

// storeProbe paces a node's own reads of the store for want of proof from others. It is safe for
// concurrent use.
type storeProbe struct {
	mu sync.Mutex // guards all below
	// due is the moment before which the store is left alone, rounds how many there were since the
	// node last had new proof.
	due    time.Time
	rounds int
}

// begin begins a round when one is due, and returns how many nodes of the fleet are to read the
// store in it, zero when none is due.
func (s *storeProbe) begin(now time.Time) (wanted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.due.After(now) {
		return 0
	}
	const longest = 10
	round := min(s.rounds, longest)
	s.rounds++
	s.due = now.Add(min(probeBase<<round, probeMost))
	return min(probersFirst<<round, probersMost)
}

// wait returns how long it is until the next round.
func (s *storeProbe) wait(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.due.Sub(now), 0)
}

// reset ends the rounds: there is new proof.
func (s *storeProbe) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due, s.rounds = time.Time{}, 0
}

// probeInTurn reads the store when a round is due and the node is one of the few that do in it.
func (l *levelCheck) probeInTurn(ctx context.Context) {
	wanted := l.probe.begin(clock.Now())
	if rand.Float64()*float64(l.exchanger.options.Roster.View().Count()) < float64(wanted) {
		go l.probeNow(ctx)
	}
}

// probeNow reads the store.
func (l *levelCheck) probeNow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e := l.exchanger
	before, began := e.behind.proofAge(), clock.Now()
	err := e.options.Refresh(ctx)
	e.observer.FetchFinished(askedStore, err)
	if err == nil {
		l.probe.reset()
	}
	e.options.Logger.Info("store asked for want of proof", before, zap.Uint64("inForce", e.options.Configuration.Version()),
		zap.Duration("elapsed", clock.Since(began)), zap.Error(err))
	return err
}
