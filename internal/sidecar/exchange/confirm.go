package exchange

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

const (
	// confirmHedgeDelay is the time without a reply after which another node is asked before a request
	// is refused, confirmTimeout how long the request may wait for a confirmation.
	confirmHedgeDelay = 60 * time.Millisecond
	confirmTimeout    = 350 * time.Millisecond
	// confirmationLifetime is the time for which a confirmation serves other requests: a flood of
	// requests that match no route causes at most ten confirmations a second.
	confirmationLifetime = 100 * time.Millisecond
	// maxConfirmPeers bounds the nodes that are asked for one confirmation; after confirmPeersBeforeStore
	// of them the store is read as well.
	maxConfirmPeers         = 5
	confirmPeersBeforeStore = 2
)

// Confirm obtains proof, no older than the limit for refusals, that the node is up to date: it asks
// other nodes, lets the node catch up when it is behind, and reads the store when none of them has
// such proof. It returns within confirmTimeout and reports whether there is proof.
func (e *Exchanger) Confirm(ctx context.Context) bool {
	if e.proof.confirmed.within(confirmationLifetime) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answer := e.proof.confirming.DoChan("", func() (any, error) { return e.proof.confirm(), nil })
	select {
	case result := <-answer:
		proof, _ := result.Val.(bool)
		return proof
	case <-ctx.Done():
		return false
	}
}

// confirmation is the state of one confirmation, shared by all requests that wait for it.
type confirmation struct {
	level *proofChecker
	ctx   context.Context
	// asked is the number of nodes that were asked; storeRead reports whether the store was read.
	asked     int
	storeRead bool
	// results receives the outcome of each question to a node and of the read of the store.
	results chan error
}

// confirm runs one confirmation for all requests that wait.
func (c *proofChecker) confirm() bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	began := clock.Now()
	running := &confirmation{level: c, ctx: ctx, results: make(chan error, maxConfirmPeers+1)}
	level := running.await()
	if level {
		c.confirmed.set(clock.Now())
	}
	c.logConfirmation(level, running, began)
	return level
}

// await asks until a reply contains proof or the time is over. Proof that the node obtained
// elsewhere is accepted once several nodes were asked without success.
func (c *confirmation) await() bool {
	hedge := clock.NewTicker(confirmHedgeDelay)
	defer hedge.Stop()
	c.ask()
	for {
		select {
		case err := <-c.results:
			if err == nil && c.awaitUpToDate() && c.proven() {
				return true
			}
			c.ask()
		case <-hedge.C:
			if c.asked >= confirmPeersBeforeStore && c.proven() {
				return true
			}
			c.ask()
		case <-c.ctx.Done():
			return c.proven()
		}
	}
}

// awaitUpToDate waits until the node has every version that peers have reported.
func (c *confirmation) awaitUpToDate() bool { return c.level.exchanger.updater.await(c.ctx) }

// proven reports whether the node has every version that peers have reported, and proof no older than
// the limit for refusals.
func (c *confirmation) proven() bool {
	e := c.level.exchanger
	return e.updater.level() && e.options.Configuration.UpToDateWithin(e.limits.refuse)
}

// ask asks another node. It also reads the store once confirmPeersBeforeStore nodes did not help or
// no other node is left.
func (c *confirmation) ask() {
	reader := c.level.pick()
	if reader != nil && c.asked < maxConfirmPeers {
		c.asked++
		go func() { c.results <- c.level.ask(c.ctx, reader, 0) }()
	}
	if (reader == nil || c.asked > confirmPeersBeforeStore) && !c.storeRead && c.level.storeReads.startRound(clock.Now()) > 0 {
		c.storeRead = true
		go func() { c.results <- c.level.readStore(c.ctx) }()
	}
}

// logConfirmation logs the basis of a refusal.
func (c *proofChecker) logConfirmation(proof bool, by *confirmation, began time.Time) {
	message := "configuration confirmed before a refusal"
	if !proof {
		message = "no proof that the configuration is the newest"
	}
	c.exchanger.options.Logger.Info(message, zap.Int("asked", by.asked), zap.Bool("storeAsked", by.storeRead),
		zap.Uint64("inForce", c.exchanger.options.Configuration.Version()), zap.Duration("elapsed", clock.Since(began)),
		c.exchanger.updater.proofAge())
}
