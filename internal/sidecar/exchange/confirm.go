package exchange

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

const (
	// confirmHedge is after what time without an answer another node is asked before a request
	// is refused, confirmTimeout for how long it may wait for that.
	confirmHedge   = 60 * time.Millisecond
	confirmTimeout = 350 * time.Millisecond
	// confirmedFor is how long an answer serves other requests: a flood of requests for routes
	// that are not there asks ten times a second, no more.
	confirmedFor = 100 * time.Millisecond
	// confirmAsks bounds how many nodes are asked for one confirmation; after confirmEnough the
	// store is asked as well.
	confirmAsks   = 5
	confirmEnough = 2
)

// Confirm makes sure that the node is level, by proof whose age is within the limit: it asks
// others, has the node catch up when it is behind, and reads the store when none of them has such
// proof. It takes a short time at most and reports whether there is proof then.
func (e *Exchanger) Confirm(ctx context.Context) bool {
	if e.level.confirmed.within(confirmedFor) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answer := e.level.confirming.DoChan("", func() (any, error) { return e.level.confirm(), nil })
	select {
	case result := <-answer:
		level, _ := result.Val.(bool)
		return level
	case <-ctx.Done():
		return false
	}
}

// confirmation is one Confirm for all that wait.
type confirmation struct {
	level *levelCheck
	ctx   context.Context
	// asked is how many nodes were asked; probed: the store was.
	asked  int
	probed bool
	// answers has an entry for each answer or failure.
	answers chan error
}

// confirm is Confirm for all that wait.
func (l *levelCheck) confirm() bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	began := clock.Now()
	running := &confirmation{level: l, ctx: ctx, answers: make(chan error, confirmAsks+1)}
	level := running.await()
	if level {
		l.confirmed.set(clock.Now())
	}
	l.logConfirmed(level, running, began)
	return level
}

// await asks until an answer brings proof or the time is over. Proof that the node has from
// elsewhere counts once several nodes were asked in vain.
func (c *confirmation) await() bool {
	hedge := time.NewTicker(confirmHedge)
	defer hedge.Stop()
	c.ask()
	for {
		select {
		case err := <-c.answers:
			if err == nil && c.caughtUp() && c.proven() {
				return true
			}
			c.ask()
		case <-hedge.C:
			if c.asked >= confirmEnough && c.proven() {
				return true
			}
			c.ask()
		case <-c.ctx.Done():
			return c.proven()
		}
	}
}

// caughtUp waits until the node has every version that it has heard of.
func (c *confirmation) caughtUp() bool { return c.level.exchanger.behind.await(c.ctx) }

// proven reports whether the node has every version that it has heard of, and proof within the
// limit.
func (c *confirmation) proven() bool {
	e := c.level.exchanger
	return e.behind.level() && e.options.Configuration.UpToDateWithin(e.limits.final)
}

// ask asks another node, and the store when two have not helped or nobody else is there.
func (c *confirmation) ask() {
	reader := c.level.pick()
	if reader != nil && c.asked < confirmAsks {
		c.asked++
		go func() { c.answers <- c.level.ask(c.ctx, reader, 0) }()
	}
	if (reader == nil || c.asked > confirmEnough) && !c.probed && c.level.probe.begin(clock.Now()) > 0 {
		c.probed = true
		go func() { c.answers <- c.level.probeNow(c.ctx) }()
	}
}

// logConfirmed writes what a refusal rests on.
func (l *levelCheck) logConfirmed(level bool, by *confirmation, began time.Time) {
	message := "configuration confirmed before a refusal"
	if !level {
		message = "no proof that the configuration is the newest"
	}
	l.exchanger.options.Logger.Info(message, zap.Int("asked", by.asked), zap.Bool("storeAsked", by.probed),
		zap.Uint64("inForce", l.exchanger.options.Configuration.Version()), zap.Duration("elapsed", clock.Since(began)),
		l.exchanger.behind.proofAge())
}
