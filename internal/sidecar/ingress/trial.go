package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// Causes of refusals of requests that crash back ends.
var (
	errQuarantined = errors.New("the request ends the back ends that run it")
	errTrial       = errors.New("another request that may have crashed a back end is active")
)

// propagationTime is the time within which all nodes learn of a crash, at the latest by the next
// exchange.
const propagationTime = time.Second

// checkQuarantine refuses a quarantined request and makes a suspected one wait until no other
// suspected request is active. A refused request was not run.
func (a *arrival) checkQuarantine() *outcome.Failure {
	quarantine := a.handler.options.Quarantine
	if quarantine.Idle() && !a.reported.Suspect {
		return nil
	}
	print := a.print()
	if quarantine.IsQuarantined(print) {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepQuarantine, 0, errQuarantined)
	}
	if a.onTrial || (!a.reported.Suspect && !quarantine.IsSuspect(print)) {
		return nil
	}
	waiting, cancel := context.WithTimeout(a.context, a.reported.MaximumWait)
	defer cancel()
	if err := a.handler.trial.Acquire(waiting, 1); err != nil {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, a.retryAfter(), errTrial)
	}
	a.onTrial = true
	// The previous holder of the trial may have been the same request from another caller.
	if quarantine.IsQuarantined(print) {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepQuarantine, 0, errQuarantined)
	}
	return nil
}

// endTrial releases the trial for the next suspected request.
func (a *arrival) endTrial() {
	if a.onTrial {
		a.handler.trial.Release(1)
	}
}

// survivedBodyLimit bounds the bodies, in bytes, of requests that are reported as survived while
// there are no suspects: the time that a fingerprint takes grows with the body (BenchmarkOf).
const survivedBodyLimit = 4 << 10

// reportSurvived reports to the quarantine that the back end answered the request.
func (a *arrival) reportSurvived() {
	quarantine := a.handler.options.Quarantine
	beginning, _ := a.body.Held()
	if !a.onTrial && quarantine.Idle() && len(beginning) > survivedBodyLimit {
		return
	}
	print := a.print()
	quarantine.RecordSurvival(print)
	if a.reported.Suspect {
		// The node that saw the crash may not have reported it to this one yet.
		time.AfterFunc(propagationTime, func() { quarantine.RecordSurvival(print) })
	}
}
