// Package health determines the state in which the back end beside a proxy is
// announced. It performs no I/O: it combines the results of health polls with
// observations of real requests. Wrong or outdated poll results do no harm: a
// back end that reports down stays in use while it answers requests, and one
// that reports ready is not used while no connection to it can be opened.
package health

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// PollResult is the result of a health poll.
type PollResult string

// The results of a health poll.
const (
	// PollReady: a success status, or a body that reports readiness.
	PollReady PollResult = "ready"
	// PollWarming: the back end reports that it is starting.
	PollWarming PollResult = "warming"
	// PollDraining: the back end reports that it is shutting down. This takes
	// effect immediately.
	PollDraining PollResult = "draining"
	// PollDown: an error status, or no reply on an open connection.
	PollDown PollResult = "down"
	// PollUnreachable: the connection could not be opened.
	PollUnreachable PollResult = "unreachable"
)

const (
	// failureThreshold is the number of consecutive equal failed polls after
	// which the back end is down.
	failureThreshold = 2
	// answerEvidenceLifetime is how long an answered request overrides PollDown.
	answerEvidenceLifetime = 2 * time.Second
	// warmupPeriod is how long a back end is announced as warming after it came up.
	warmupPeriod = 10 * time.Second
)

// Tracker tracks the health of one back end. It is not safe for concurrent use.
type Tracker struct {
	state endpoint.State
	// operatorDrain reports a drain by the operator, which overrides state.
	operatorDrain bool
	// consecutiveFailures counts consecutive failed polls with result
	// lastFailure.
	consecutiveFailures int
	lastFailure         PollResult
	warmingSince        time.Time
	// lastAnswer is the time of the last request that the back end answered.
	lastAnswer time.Time
}

// New returns a Tracker whose initial state is down.
func New() *Tracker { return &Tracker{state: endpoint.Down} }

// State returns the state to announce.
func (t *Tracker) State() endpoint.State {
	if t.operatorDrain {
		return endpoint.Draining
	}
	return t.state
}

// BeginDrain begins a drain by the operator.
func (t *Tracker) BeginDrain() { t.operatorDrain = true }

// EndDrain ends the drain by the operator.
func (t *Tracker) EndDrain() { t.operatorDrain = false }

// RecordAnswer records that the back end answered a request.
func (t *Tracker) RecordAnswer(now time.Time) { t.lastAnswer = now }

// RecordConnectFailure records that no connection to the back end could be
// opened for a request. It counts as a poll with result PollUnreachable.
func (t *Tracker) RecordConnectFailure(now time.Time) { t.RecordPoll(now, PollUnreachable) }

// RecordPoll records the result of a health poll.
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
