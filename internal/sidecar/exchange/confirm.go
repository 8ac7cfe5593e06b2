package exchange

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

const (
	// confirmHedgeDelay is after what time without an answer another node is asked before a request
	// is refused, confirmTimeout for how long it may wait for that.
	confirmHedgeDelay   = 60 * time.Millisecond
	confirmTimeout = 350 * time.Millisecond
	// confirmationLifetime is how long an answer serves other requests: a flood of requests for routes
	// that are not there asks ten times a second, no more.
	confirmationLifetime = 100 * time.Millisecond
	// maxConfirmPeers bounds how many nodes are asked for one confirmation; after confirmEnough the
	// store is asked as well.
	maxConfirmPeers   = 5
	confirmPeersBeforeStore = 2
)

// Confirm makes sure that the node is level, by proof whose age is within the limit: it asks
// others, has the node catch up when it is behind, and reads the store when none of them has such
// proof. It takes a short time at most and reports whether there is proof then.
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

// confirmation is one Confirm for all that wait.
type confirmation struct {
	proof *proofChecker
	ctx   context.Context
	// asked is how many nodes were asked; probed: the store was.
	asked  int
	storeRead bool
	// results has an entry for each answer or failure.
	results chan error
}

// confirm is Confirm for all that wait.
func (c *proofChecker) confirm() bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	began := clock.Now()
	running := &confirmation{proof: c, ctx: ctx, results: make(chan error, maxConfirmPeers+1)}
	proof := running.await()
	if proof {
		c.confirmed.set(clock.Now())
	}
	c.logConfirmation(proof, running, began)
	return proof
}

// await asks until an answer brings proof or the time is over. Proof that the node has from
// elsewhere counts once several nodes were asked in vain.
func (c *confirmation) await() bool {
	hedge := time.NewTicker(confirmHedgeDelay)
	defer hedge.Stop()
	c.askNext()
	for {
		select {
		case err := <-c.results:
			if err == nil && c.awaitUpToDate() && c.proven() {
				return true
			}
			c.askNext()
		case <-hedge.C:
			if c.asked >= confirmPeersBeforeStore && c.proven() {
				return true
			}
			c.askNext()
		case <-c.ctx.Done():
			return c.proven()
		}
	}
}

// awaitUpToDate waits until the node has every version that it has heard of.
func (c *confirmation) awaitUpToDate() bool { return c.proof.exchanger.updater.await(c.ctx) }

// proven reports whether the node has every version that it has heard of, and proof within the
// limit.
func (c *confirmation) proven() bool {
	e := c.proof.exchanger
	return e.updater.upToDate() && e.options.Configuration.UpToDateWithin(e.limits.refuse)
}

// askNext asks another node, and the store when two have not helped or nobody else is there.
func (c *confirmation) askNext() {
	reader := c.proof.pick()
	if reader != nil && c.asked < maxConfirmPeers {
		c.asked++
		go func() { c.results <- c.proof.ask(c.ctx, reader, 0) }()
	}
	if (reader == nil || c.asked > confirmPeersBeforeStore) && !c.storeRead && c.proof.storeReads.startRound(clock.Now()) > 0 {
		c.storeRead = true
		go func() { c.results <- c.proof.readStore(c.ctx) }()
	}
}

// logConfirmation writes what a refusal rests on.
func (c *proofChecker) logConfirmation(proof bool, by *confirmation, began time.Time) {
	message := "configuration confirmed before a refusal"
	if !proof {
		message = "no proof that the configuration is the newest"
	}
	c.exchanger.options.Logger.Info(message, zap.Int("asked", by.asked), zap.Bool("storeAsked", by.storeRead),
		zap.Uint64("inForce", c.exchanger.options.Configuration.Version()), zap.Duration("elapsed", clock.Since(began)),
		c.exchanger.updater.proofAge())
}
