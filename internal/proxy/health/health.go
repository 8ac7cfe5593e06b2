// Package health decides in which state the back end beside a proxy is
// announced. Its core is pure: it combines what the back end says of itself
// with what was observed on real requests. Statements that lie or lag do no
// harm: a claim of being down is not believed while requests are answered, and
// a claim of being ready is not believed while no connection can be opened.
package health

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// PollResult is what one health poll brought.
type PollResult string

// The statements of a back end about itself.
const (
	// PollReady: a success status, or a statement of readiness.
	PollReady PollResult = "ready"
	// PollWarming: the back end is starting.
	PollWarming PollResult = "warming"
	// PollDraining: the back end is leaving. It is always believed.
	PollDraining PollResult = "draining"
	// PollDown: an error status, or no answer to the poll on an open
	// connection.
	PollDown PollResult = "down"
	// PollUnreachable: no connection could be opened.
	PollUnreachable PollResult = "unreachable"
)

const (
	// confirmations is how many equal bad polls in a row are needed.
	confirmations = 2
	// evidenceLifetime is how long an answered request contradicts a claim
	// of being down.
	evidenceLifetime = 2 * time.Second
	// warmup is how long a back end that came up is announced as warming.
	warmup = 10 * time.Second
)

// Tracker holds what is known of one back end. It is not safe for concurrent use.
type Tracker struct {
	state endpoint.State
	// leaving is set by the operator's drain; it overrides everything.
	leaving bool
	// bad counts equal bad statements in a row.
	bad      int
	badSays  PollResult
	warmFrom time.Time
	// answered is when the back end last answered a request.
	answered time.Time
}

// New returns a core of a back end of which nothing is known: it is down.
func New() *Tracker { return &Tracker{state: endpoint.Down} }

// State returns the state to announce.
func (c *Tracker) State() endpoint.State {
	if c.leaving {
		return endpoint.Draining
	}
	return c.state
}

// BeginDrain begins, Return ends the operator's drain.
func (c *Tracker) BeginDrain() { c.leaving = true }

// EndDrain ends the operator's drain.
func (c *Tracker) EndDrain() { c.leaving = false }

// RecordAnswer notes that the back end answered a request.
func (c *Tracker) RecordAnswer(now time.Time) { c.answered = now }

// RecordConnectFailure notes that no connection to the back end could be opened for a
// request. It counts like a poll that was refused.
func (c *Tracker) RecordConnectFailure(now time.Time) { c.RecordPoll(now, PollUnreachable) }

// RecordPoll takes in the result of a health poll.
func (c *Tracker) RecordPoll(now time.Time, says PollResult) {
	switch says {
	case PollReady, PollWarming:
		c.bad = 0
		c.up(now, says)
	case PollDraining:
		c.bad = 0
		c.state = endpoint.Draining
	default:
		c.down(now, says)
	}
}

func (c *Tracker) up(now time.Time, says PollResult) {
	if !c.state.AcceptsWork() {
		c.state = endpoint.Warming
		c.warmFrom = now
		return
	}
	if says == PollReady && now.Sub(c.warmFrom) >= warmup {
		c.state = endpoint.Ready
	}
}

func (c *Tracker) down(now time.Time, says PollResult) {
	if c.bad == 0 || c.badSays != says {
		c.bad, c.badSays = 0, says
	}
	c.bad++
	contradicted := says == PollDown && now.Sub(c.answered) < evidenceLifetime
	if c.bad >= confirmations && !contradicted {
		c.state = endpoint.Down
	}
}
