package exchange

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
)

// fetchAttempt is a running fetch of the configuration from a peer.
type fetchAttempt struct {
	source *source
	cancel context.CancelFunc
	// lastData is the time at which data of the response was last received, the start of the fetch
	// before that.
	lastData atomicTime
	// responding reports whether the response has begun; abandoned, whether the fetch was given up in
	// favor of another peer. Both are guarded by the lock of the catch-up.
	responding, abandoned bool
}

// untilSilent returns the time after which the fetch counts as silent, and another peer is asked, if no
// data arrives until then.
func (a *fetchAttempt) untilSilent(now time.Time) time.Duration {
	return hedgeDelay - now.Sub(*a.lastData.value.Load())
}

// startFetch starts a fetch from a peer; the lock is held.
func (c *catchUp) startFetch(from *source, now time.Time) {
	if len(c.fetches) == maxFetches {
		c.abandon(c.fetches[0], now)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	attempt := &fetchAttempt{source: from, cancel: cancel}
	attempt.lastData.set(now)
	from.fetching = true
	c.fetches = append(c.fetches, attempt)
	peer := from.peer
	go func() {
		defer cancel()
		var err error
		fault := contain.Run("peer's configuration", c.logger, func() { err = c.exchanger.fetch(ctx, peer, func() { c.receivedData(attempt) }) })
		if fault != nil {
			err = fault
		}
		c.fetchFinished(attempt, now, err)
	}()
}

// receivedData records that a fetch receives data. When its response begins, the fetches that
// receive no data are abandoned: only one copy of a large response should use the node's link.
func (c *catchUp) receivedData(attempt *fetchAttempt) {
	now := clock.Now()
	attempt.lastData.set(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt.responding || attempt.abandoned {
		return
	}
	attempt.responding = true
	for _, other := range slices.Clone(c.fetches) {
		if other != attempt && (!other.responding || other.untilSilent(now) <= 0) {
			c.abandon(other, now)
		}
	}
}

// abandon gives up a fetch without counting a failure of its peer; the lock is held.
func (c *catchUp) abandon(attempt *fetchAttempt, now time.Time) {
	attempt.abandoned = true
	attempt.cancel()
	c.remove(attempt)
	attempt.source.notBefore = now.Add(retryBase)
}

// remove removes a fetch from the running ones; the lock is held.
func (c *catchUp) remove(attempt *fetchAttempt) {
	c.fetches = slices.DeleteFunc(c.fetches, func(held *fetchAttempt) bool { return held == attempt })
	attempt.source.fetching = false
}

// fetchFinished processes the result of a fetch.
func (c *catchUp) fetchFinished(attempt *fetchAttempt, began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt.abandoned {
		return
	}
	c.remove(attempt)
	from, now := attempt.source, clock.Now()
	inForce := c.exchanger.options.Configuration.Version()
	c.exchanger.observer.FetchFinished(fetchedFromPeer, err)
	switch {
	case inForce >= c.newest && err != nil:
		// Another peer was faster.
	case err != nil || inForce < from.version:
		from.recordFailure(now)
		c.logger.Warn("configuration not fetched", zap.String("peer", from.peer.Node), zap.Uint64("version", from.version),
			zap.Uint64("inForce", inForce), zap.Duration("elapsed", now.Sub(began)), zap.Int("failures", from.failures), zap.Error(err))
	case from.peer.Zone != c.exchanger.options.Roster.Own().Zone:
		go c.exchanger.notifyZone()
	}
	c.signal()
}
