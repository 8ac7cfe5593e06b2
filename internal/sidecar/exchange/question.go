package exchange

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
)

// question is one that is under way.
type question struct {
	source *source
	cancel context.CancelFunc
	// heard is when the answer last brought something, the beginning before that.
	heard stamp
	// answered: the answer has begun. dropped: another peer was faster. Both are guarded by the
	// lock of the catch-up.
	answered, dropped bool
}

// silentIn returns the time after which, should the question bring nothing until then, another
// peer is to be asked.
func (q *question) silentIn(now time.Time) time.Duration {
	return hedgeDelay - now.Sub(*q.heard.held.Load())
}

// ask begins a question to a peer; the lock is held.
func (c *catchUp) ask(from *source, now time.Time) {
	if len(c.questions) == mostAsked {
		c.drop(c.questions[0], now)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	under := &question{source: from, cancel: cancel}
	under.heard.set(now)
	from.asking = true
	c.questions = append(c.questions, under)
	peer := from.peer
	go func() {
		defer cancel()
		var err error
		fault := contain.Run("peer's configuration", c.logger, func() { err = c.exchanger.fetch(ctx, peer, func() { c.hears(under) }) })
		if fault != nil {
			err = fault
		}
		c.answered(under, now, err)
	}()
}

// hears notes that an answer brings something. When it begins, the peers that bring nothing now
// are given up: of an answer that is large only one copy is to come over the node's link.
func (c *catchUp) hears(under *question) {
	now := clock.Now()
	under.heard.set(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if under.answered || under.dropped {
		return
	}
	under.answered = true
	for _, other := range slices.Clone(c.questions) {
		if other != under && (!other.answered || other.silentIn(now) <= 0) {
			c.drop(other, now)
		}
	}
}

// drop gives a question up that did not fail; the lock is held.
func (c *catchUp) drop(under *question, now time.Time) {
	under.dropped = true
	under.cancel()
	c.remove(under)
	under.source.due = now.Add(retryBase)
}

// remove takes a question out of those under way; the lock is held.
func (c *catchUp) remove(under *question) {
	c.questions = slices.DeleteFunc(c.questions, func(held *question) bool { return held == under })
	under.source.asking = false
}

// answered takes in what became of a question.
func (c *catchUp) answered(under *question, began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if under.dropped {
		return
	}
	c.remove(under)
	from, now := under.source, clock.Now()
	level := c.exchanger.options.Configuration.Version()
	c.exchanger.observer.FetchFinished(askedPeer, err)
	switch {
	case level >= c.newest && err != nil:
		// Another peer was faster.
	case err != nil || level < from.version:
		from.failed(now)
		c.logger.Warn("configuration not fetched", zap.String("peer", from.peer.Node), zap.Uint64("version", from.version),
			zap.Uint64("inForce", level), zap.Duration("elapsed", now.Sub(began)), zap.Int("failures", from.failures), zap.Error(err))
	case from.peer.Zone != c.exchanger.options.Roster.Own().Zone:
		go c.exchanger.tellZone()
	}
	c.signal()
}
