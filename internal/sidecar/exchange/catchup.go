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
	// watchDelay is how long a node that is behind waits for its own watch,
	// zoneDelay how long one without a watch waits for a peer of its zone.
	watchDelay = 600 * time.Millisecond
	zoneDelay  = 300 * time.Millisecond
	// hedgeDelay is after what time without a byte from all who are asked another peer is asked
	// as well: a peer that hangs costs so much of the 2.5 s in which a version has to be in
	// force. With one question of 2 s at a time a node was behind for up to 2.75 s beside
	// healthy peers, now for 0.15 s (TestASilentPeerHoldsNobodyBack).
	hedgeDelay = 150 * time.Millisecond
	// maxFetches bounds the questions under way; when another peer is due the oldest silent one
	// is given up.
	maxFetches = 4
	// fetchTimeout bounds one question, storeTimeout one to the store: a whole document of
	// 0.75 MB takes 0.6 s over 10 Mbit/s.
	fetchTimeout = 2 * time.Second
	storeTimeout = 1500 * time.Millisecond
	// storeDelay is how long peers are asked before the store is, whose calls are paid for;
	// storeBase and storeMost bound the pauses between questions in vain.
	storeDelay = 450 * time.Millisecond
	minStorePause  = 500 * time.Millisecond
	maxStorePause  = 4 * time.Second
	// progressChecks is how often in a hedge delay a node looks at most while it waits for an
	// answer.
	progressChecks = 3
	// maxCheckInterval is the longest time between two looks at what is to be done.
	maxCheckInterval = time.Second
)

// catchUp brings the node to the newest version that it has heard of. That version is
// remembered, and so is who has told of it: nothing that comes while a peer is asked is lost,
// and what is under way ends only when the node is level. It is safe for concurrent use.
type catchUp struct {
	exchanger *Exchanger
	logger    *zap.Logger
	// wake has a running catch-up look at what is to be done.
	wake chan struct{}

	mu sync.Mutex // guards all below
	// running: a goroutine is at work. ended is closed when it is done.
	running bool
	ended   chan struct{}
	// newest is the highest version heard of.
	newest uint64
	// behindSince is when the node first heard that it is behind, and first from whom; of use while
	// it is running.
	behindSince time.Time
	firstPeer string
	peers sources
	// fetches are those under way, the oldest first.
	fetches []*fetchAttempt
	// nextStoreRead is the moment before which the store is not asked, storePause the pause after
	// the next failure; asksStore: a question to it is under way.
	nextStoreRead   time.Time
	storePause time.Duration
	storeReading  bool
}

func newCatchUp(exchanger *Exchanger) *catchUp {
	return &catchUp{exchanger: exchanger, logger: exchanger.options.Logger, wake: make(chan struct{}, 1)}
}

// HandlePeerVersion takes in that a peer has a version. When it is above the one in force, the node
// catches up: mostly from the first peer that says so; one that reads the store mostly hears
// from it, one that does not from a peer of its zone.
func (e *Exchanger) HandlePeerVersion(peer *roster.Record, version uint64) {
	if peer == nil || version <= e.options.Configuration.Version() {
		return
	}
	e.updater.reportVersion(peer, version, e.catchUpDelay(peer))
}

// reportVersion notes that a peer holds a newer version. The peer is not asked before the delay is over.
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
	c.peers.report(peer, version, now, delay)
	c.signal()
}

// start starts to catch up; the lock is held.
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
			c.stop() // the next word begins anew
		}
	}()
}

// catchUpDelay is how long a node that is behind waits for what would come by itself before
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

// run asks until the node is level.
func (c *catchUp) run() {
	timer := time.NewTimer(0)
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

// step begins the questions that are due and returns how long nothing else is to be done, or
// that the node is level.
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

// untilSilent returns the time until no question brings anything; the lock is held. While one
// does, others would only fill the same link: over 5 Mbit/s a whole document takes longer than
// the delay, and four copies of it four times as long.
func (c *catchUp) untilSilent(now time.Time) (left time.Duration) {
	for _, attempt := range c.fetches {
		left = max(left, attempt.untilSilent(now))
	}
	return left
}

// untilNext returns the time until something may be due; the lock is held.
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

// finish notes that the node is level; the lock is held.
func (c *catchUp) finish(now time.Time, held uint64) {
	c.stop()
	for _, under := range c.fetches {
		under.cancel()
	}
	behind := now.Sub(c.behindSince)
	c.exchanger.observer.CaughtUp(behind)
	c.logger.Info("configuration caught up", zap.Uint64("version", held), zap.Duration("behind", behind),
		zap.String("first", c.firstPeer), zap.Strings("told", c.peers.names()), c.proofAge())
}

// proofAge is how old the node's proof is that it held the newest version, for the log.
func (c *catchUp) proofAge() zap.Field {
	age, proven := c.exchanger.options.Configuration.ProofAge()
	if !proven {
		return zap.Skip()
	}
	return zap.Duration("proofAge", age)
}

// readStore begins a question to the store; the lock is held.
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

// storeRead takes in what the store said when it was asked for a version. It has every version
// that there is: one that had been heard of then and that it does not have was claimed wrongly.
func (c *catchUp) storeRead(wanted uint64, began time.Time, err error) {
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
	if err == nil && c.newest <= wanted {
		c.newest = held
	}
	c.signal()
}

// stop notes that nothing is at work any more; the lock is held.
func (c *catchUp) stop() {
	if c.running {
		c.running = false
		close(c.ended)
	}
}

// upToDate reports whether the node has every version that it has heard of.
func (c *catchUp) upToDate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.running || c.exchanger.options.Configuration.Version() >= c.newest
}

// await waits until the node has every version that it has heard of, and reports whether it has
// before the context ended.
func (c *catchUp) await(ctx context.Context) bool {
	if c.upToDate() {
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
