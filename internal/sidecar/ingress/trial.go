package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// Causes of refusals for what a request does to back ends.
var (
	errQuarantined = errors.New("the request ends the back ends that run it")
	errTrial       = errors.New("another request that may have ended a back end is at work")
)

// propagationTime is within which nodes hear of an end by the next exchange at the latest.
const propagationTime = time.Second

// checkQuarantine refuses a request that ends back ends, and has one that may do so wait until no
// other such request is at work. Both have not run.
func (a *arrival) checkQuarantine() *outcome.Failure {
	quarantine := a.handler.options.Quarantine
	if quarantine.Idle() && !a.reported.Suspect {
		return nil
	}
	print := a.print()
	if quarantine.Holds(print) {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepQuarantine, 0, errQuarantined)
	}
	if a.onTrial || (!a.reported.Suspect && !quarantine.Suspects(print)) {
		return nil
	}
	waiting, cancel := context.WithTimeout(a.context, a.reported.MaximumWait)
	defer cancel()
	if err := a.handler.trial.Acquire(waiting, 1); err != nil {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, a.retryAfter(), errTrial)
	}
	a.onTrial = true
	// The one that was at work before may have been this request at another caller.
	if quarantine.Holds(print) {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepQuarantine, 0, errQuarantined)
	}
	return nil
}

// endTrial lets the next suspected request have its turn.
func (a *arrival) endTrial() {
	if a.onTrial {
		a.handler.trial.Release(1)
	}
}

// survivedBodyLimit bounds the bodies of requests whose good ends are noted while nobody is
// suspected, in bytes: it takes 0.5 microseconds to identify one without a body, and 3.7
// more for each 4 KB (BenchmarkOf).
const survivedBodyLimit = 4 << 10

// reportSurvived takes in that the back end has answered the request.
func (a *arrival) reportSurvived() {
	quarantine := a.handler.options.Quarantine
	beginning, _ := a.body.Held()
	if !a.onTrial && quarantine.Idle() && len(beginning) > survivedBodyLimit {
		return
	}
	print := a.print()
	quarantine.Survived(print)
	if a.reported.Suspect {
		// Who saw the back end end may not have told this node yet.
		time.AfterFunc(propagationTime, func() { quarantine.Survived(print) })
	}
}
