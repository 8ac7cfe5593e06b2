package exchange

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// watchDelay is the time for which a reader that is behind waits for its own watch, zoneDelay
	// the time for which another node waits for a peer of its zone.
	watchDelay = 600 * time.Millisecond
	zoneDelay  = 300 * time.Millisecond
	// hedgeDelay is the time without a byte from any peer that is asked after which another peer
	// is asked as well: a peer that hangs costs that much of the 2.5 s in which a version has to be
	// in force. With one request at a time, a node stayed behind beside healthy peers until the
	// time-out of 2 s had passed (TestSilentPeerDoesNotDelayCatchUp).
	hedgeDelay = 150 * time.Millisecond
	// maxFetches bounds the concurrent fetches; when another peer is due, the oldest fetch is
	// abandoned.
	maxFetches = 4
	// fetchTimeout bounds one fetch from a peer, storeTimeout one read of the store: a whole
	// document of 0.75 MB takes 0.6 s over 10 Mbit/s.
	fetchTimeout = 2 * time.Second
	storeTimeout = 1500 * time.Millisecond
	// storeDelay is the time for which peers are asked before the store is, whose calls are billed;
	// minStorePause and maxStorePause bound the pauses between unsuccessful reads.
	storeDelay    = 450 * time.Millisecond
	minStorePause = 500 * time.Millisecond
	maxStorePause = 4 * time.Second
	// progressChecks is the most checks for progress per hedgeDelay while fetches are running.
	progressChecks = 3
	// maxCheckInterval is the longest time between two checks for work that is due.
	maxCheckInterval = time.Second
)

// catchUp updates the node to the newest version that a peer has reported. That version and the
// peers that reported it are remembered: reports that arrive while a fetch is running are not lost,
// and a running catch-up ends only when the node is up to date. It is safe for concurrent use.
type catchUp struct {
	exchanger *Exchanger
	logger    *zap.Logger
	// wake makes a running catch-up check at once for work that is due.
	wake chan struct{}

	mu sync.Mutex // guards all below
	// running reports whether a goroutine is catching up. ended is closed when it is done.
	running bool
	ended   chan struct{}
	// newest is the highest version that a peer has reported.
	newest uint64
	// behindSince is the time at which a peer first reported a newer version, firstPeer that peer;
	// both are valid while running.
	behindSince time.Time
	firstPeer   string
	peers       sources
	// fetches are the running fetches, the oldest first.
	fetches []*fetchAttempt
	// nextStoreRead is the moment before which the store is not read, storePause the pause after
	// the next failure; storeReading reports whether a read is running.
	nextStoreRead time.Time
	storePause    time.Duration
	storeReading  bool
}

func newCatchUp(exchanger *Exchanger) *catchUp {
	return &catchUp{exchanger: exchanger, logger: exchanger.options.Logger, wake: make(chan struct{}, 1)}
}

// NewerVersionReported processes a version that a peer reported. When it is above the one in force,
// the node catches up, normally from the first peer that reported it. A reader waits first for
// its own watch, another node for a peer of its zone.
func (e *Exchanger) NewerVersionReported(peer *roster.Record, version uint64) {
	if peer == nil || version <= e.options.Configuration.Version() {
		return
	}
	e.updater.reportVersion(peer, version, e.catchUpDelay(peer))
}

// reportVersion records that a peer holds a newer version. The peer is not asked before the delay is over.
func (c *catchUp) reportVersion(peer *roster.Record, version uint64, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, held := clock.Now(), c.exchanger.options.Configuration.Version()
	if version <= held {
		return
	}
	if !c.running {
		c.start(peer, now, delay)
	}
	if version > c.newest {
		c.newest = version
		c.logger.Info("newer configuration announced", zap.String("peer", peer.Node),
			zap.Uint64("version", version), zap.Uint64("inForce", held), c.proofAge())
	}
	c.peers.reportVersion(peer, version, now, delay)
	c.signal()
}

// start begins to catch up; the lock is held.
func (c *catchUp) start(peer *roster.Record, now time.Time, delay time.Duration) {
	c.running, c.ended = true, make(chan struct{})
	c.newest = 0
	c.behindSince, c.firstPeer = now, peer.Node
	c.nextStoreRead, c.storePause = now.Add(delay+storeDelay), minStorePause
	c.peers.clear()
	go func() {
		if contain.Run("catching up", c.logger, c.run) != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.stop() // the next report starts a new catch-up
		}
	}()
}

// catchUpDelay returns how long a node that is behind waits for notices or its own watch before
// it asks the peer.
func (e *Exchanger) catchUpDelay(peer *roster.Record) time.Duration {
	switch {
	case e.options.Configuration.Version() == 0:
		return 0
	case e.options.IsReader():
		return watchDelay
	case peer.Zone == e.options.Roster.Own().Zone:
		return 0
	}
	return zoneDelay
}

func (c *catchUp) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run fetches until the node is up to date.
func (c *catchUp) run() {
	timer := clock.NewTimer(0)
	defer timer.Stop()
	for {
		wait, upToDate := c.step(clock.Now())
		if upToDate {
			return
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-c.wake:
		}
	}
}

// step starts the fetches that are due. It returns the time until the next check, or that the
// node is up to date.
func (c *catchUp) step(now time.Time) (wait time.Duration, upToDate bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.exchanger.options.Configuration.Version()
	if held >= c.newest {
		c.finish(now, held)
		return 0, true
	}
	if c.untilSilent(now) <= 0 {
		if next := c.peers.next(held, now); next != nil {
			c.startFetch(next, now)
		}
	}
	if !c.storeReading && !c.nextStoreRead.After(now) && !c.peers.untried(held) {
		c.readStore()
	}
	return c.untilNext(now, held), false
}

// untilSilent returns the time until all fetches count as silent; the lock is held. While one
// receives data, others would only compete for the same link: over 5 Mbit/s a whole document takes
// longer than hedgeDelay, and four copies of it four times as long.
func (c *catchUp) untilSilent(now time.Time) (left time.Duration) {
	for _, attempt := range c.fetches {
		left = max(left, attempt.untilSilent(now))
	}
	return left
}

// untilNext returns the time until work may be due; the lock is held.
func (c *catchUp) untilNext(now time.Time, held uint64) time.Duration {
	wait := c.peers.wait(held, now, maxCheckInterval)
	if len(c.fetches) > 0 {
		wait = max(wait, c.untilSilent(now), hedgeDelay/progressChecks)
	}
	if !c.storeReading {
		wait = min(wait, max(c.nextStoreRead.Sub(now), hedgeDelay))
	}
	return wait
}

// finish ends a catch-up of a node that is up to date; the lock is held.
func (c *catchUp) finish(now time.Time, held uint64) {
	c.stop()
	for _, attempt := range c.fetches {
		attempt.cancel()
	}
	behind := now.Sub(c.behindSince)
	c.exchanger.observer.CaughtUp(behind)
	c.logger.Info("configuration caught up", zap.Uint64("version", held), zap.Duration("behind", behind),
		zap.String("first", c.firstPeer), zap.Strings("told", c.peers.names()), c.proofAge())
}

// proofAge returns a log field with the age of the node's proof that its version was the newest.
func (c *catchUp) proofAge() zap.Field {
	age, proven := c.exchanger.options.Configuration.ProofAge()
	if !proven {
		return zap.Skip()
	}
	return zap.Duration("proofAge", age)
}

// readStore starts a read of the store; the lock is held.
func (c *catchUp) readStore() {
	c.storeReading = true
	requested := c.newest
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		began := clock.Now()
		err := c.exchanger.options.Refresh(ctx)
		c.storeRead(requested, began, err)
	}()
}

// storeRead processes the result of a read of the store that was started when the given version was
// the newest reported one. The store has every version: one that had been reported by then and that
// it does not have was reported wrongly, and is no longer sought.
func (c *catchUp) storeRead(requested uint64, began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, held := clock.Now(), c.exchanger.options.Configuration.Version()
	c.storeReading = false
	c.exchanger.observer.FetchFinished(fetchedFromStore, err)
	c.nextStoreRead = now.Add(c.storePause)
	c.storePause = min(2*c.storePause, maxStorePause)
	if held < c.newest {
		c.logger.Warn("configuration behind a peer's", zap.Uint64("version", c.newest), zap.Uint64("inForce", held),
			zap.Duration("behind", now.Sub(c.behindSince)), zap.Duration("elapsed", now.Sub(began)), zap.Error(err))
	}
	if err == nil && c.newest <= requested {
		c.newest = held
	}
	c.signal()
}

// stop marks the catch-up as not running; the lock is held.
func (c *catchUp) stop() {
	if c.running {
		c.running = false
		close(c.ended)
	}
}

// level reports whether the node has every version that peers have reported.
func (c *catchUp) level() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.running || c.exchanger.options.Configuration.Version() >= c.newest
}

// await waits until the node has every version that peers have reported, and reports whether that
// happened before the context ended.
func (c *catchUp) await(ctx context.Context) bool {
	if c.level() {
		return true
	}
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
}
