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
	// failureThreshold is how many equal bad polls in a row are needed.
	failureThreshold = 2
	// answerEvidenceLifetime is how long an answered request contradicts a claim
	// of being down.
	answerEvidenceLifetime = 2 * time.Second
	// warmupPeriod is how long a back end that came up is announced as warming.
	warmupPeriod = 10 * time.Second
)

// Tracker holds what is known of one back end. It is not safe for concurrent use.
type Tracker struct {
	state endpoint.State
	// operatorDrain is set by the operator's drain; it overrides everything.
	operatorDrain bool
	// consecutiveFailures counts equal consecutiveFailures statements in a row.
	consecutiveFailures int
	lastFailure         PollResult
	warmingSince        time.Time
	// lastAnswer is when the back end last lastAnswer a request.
	lastAnswer time.Time
}

// New returns a core of a back end of which nothing is known: it is down.
func New() *Tracker { return &Tracker{state: endpoint.Down} }

// State returns the state to announce.
func (t *Tracker) State() endpoint.State {
	if t.operatorDrain {
		return endpoint.Draining
	}
	return t.state
}

// BeginDrain begins, Return ends the operator's drain.
func (t *Tracker) BeginDrain() { t.operatorDrain = true }

// EndDrain ends the operator's drain.
func (t *Tracker) EndDrain() { t.operatorDrain = false }

// RecordAnswer notes that the back end answered a request.
func (t *Tracker) RecordAnswer(now time.Time) { t.lastAnswer = now }

// RecordConnectFailure notes that no connection to the back end could be opened for a
// request. It counts like a poll that was refused.
func (t *Tracker) RecordConnectFailure(now time.Time) { t.RecordPoll(now, PollUnreachable) }

// RecordPoll takes in the result of a health poll.
func (t *Tracker) RecordPoll(now time.Time, result PollResult) {
	switch result {
	case PollReady, PollWarming:
		t.consecutiveFailures = 0
		t.recordSuccess(now, result)
	case PollDraining:
		t.consecutiveFailures = 0
		t.state = endpoint.Draining
	default:
		t.recordFailure(now, result)
	}
}

func (t *Tracker) recordSuccess(now time.Time, result PollResult) {
	if !t.state.AcceptsWork() {
		t.state = endpoint.Warming
		t.warmingSince = now
		return
	}
	if result == PollReady && now.Sub(t.warmingSince) >= warmupPeriod {
		t.state = endpoint.Ready
	}
}

func (t *Tracker) recordFailure(now time.Time, result PollResult) {
	if t.consecutiveFailures == 0 || t.lastFailure != result {
		t.consecutiveFailures, t.lastFailure = 0, result
	}
	t.consecutiveFailures++
	contradicted := result == PollDown && now.Sub(t.lastAnswer) < answerEvidenceLifetime
	if t.consecutiveFailures >= failureThreshold && !contradicted {
		t.state = endpoint.Down
	}
}
