package exchange

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

const (
	// firstRoundReaders is about how many nodes of the fleet read the store in the first round in which
	// none of them has new proof, maxRoundReaders in later rounds: in a small fleet all do.
	firstRoundReaders = 6
	maxRoundReaders   = 12
	// minRoundPause is the pause after a round that brought nothing; each further one doubles it, up to
	// maxRoundPause: refused calls are billed too.
	minRoundPause = 150 * time.Millisecond
	maxRoundPause = 4 * time.Second
)

// storeReadPacer paces a node's own reads of the store for lack of proof from others. It is safe for
// concurrent use.
type storeReadPacer struct {
	mu sync.Mutex // guards all below
	// due is the moment before which the store is not read, rounds the number of rounds since the
	// node last had new proof.
	due    time.Time
	rounds int
}

// startRound starts a round when one is due, and returns how many nodes of the fleet should read the
// store in it, zero when none is due.
func (s *storeReadPacer) startRound(now time.Time) (wanted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.due.After(now) {
		return 0
	}
	const longest = 10
	round := min(s.rounds, longest)
	s.rounds++
	s.due = now.Add(min(minRoundPause<<round, maxRoundPause))
	return min(firstRoundReaders<<round, maxRoundReaders)
}

// wait returns the time until the next round is due.
func (s *storeReadPacer) wait(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.due.Sub(now), 0)
}

// reset starts again with the first round after new proof.
func (s *storeReadPacer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due, s.rounds = time.Time{}, 0
}

// readStoreInTurn reads the store when a round is due and a random draw selects this node for it.
func (c *proofChecker) readStoreInTurn(ctx context.Context) {
	wanted := c.storeReads.startRound(clock.Now())
	if c.random.Float64()*float64(c.exchanger.options.Roster.View().Count()) < float64(wanted) {
		go c.readStore(ctx)
	}
}

// readStore reads the store.
func (c *proofChecker) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e := c.exchanger
	before, began := e.updater.proofAge(), clock.Now()
	err := e.options.Refresh(ctx)
	e.observer.FetchFinished(fetchedFromStore, err)
	if err == nil {
		c.storeReads.reset()
	}
	e.options.Logger.Info("store asked for want of proof", before, zap.Uint64("inForce", e.options.Configuration.Version()),
		zap.Duration("elapsed", clock.Since(began)), zap.Error(err))
	return err
}
