package egress

import (
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
)

// attemptRecord records one attempt of a request: the state of the node when it was chosen, and the
// result.
type attemptRecord struct {
	target *target
	// seen is the candidate as it was described when it was chosen, reportAge the age of the node's
	// load report at that time; below zero without a report.
	seen      choice.Candidate
	reportAge time.Duration
	outcome   outcome.Outcome
	evidence  notrun.Evidence
	step      outcome.Step
	// retryAfter is the Retry-After of the node that refused the attempt, zero for none.
	retryAfter time.Duration
	// sentAfter is the time from the arrival of the call to the attempt.
	sentAfter, elapsed time.Duration
	// bodyBegun: the HTTP client has started to read the held body for sending.
	bodyBegun bool
}

// minLoggedFailing is the smallest share of failures that is logged.
const minLoggedFailing = 0.05

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (v *attemptRecord) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("node", v.target.node)
	encoder.AddFloat64("busy", v.seen.Outstanding)
	encoder.AddInt("slots", v.seen.Slots)
	encoder.AddDuration("work", v.seen.ServiceTime)
	encoder.AddDuration("reportAge", v.reportAge)
	if v.seen.FailureRate >= minLoggedFailing {
		encoder.AddFloat64("failing", v.seen.FailureRate)
	}
	if v.seen.Wait > 0 {
		encoder.AddDuration("limitWait", v.seen.Wait)
	}
	if v.seen.RecentlyFailed || v.seen.Draining {
		encoder.AddBool("avoided", v.seen.RecentlyFailed)
		encoder.AddBool("leaving", v.seen.Draining)
	}
	if v.outcome != "" {
		encoder.AddString("outcome", string(v.outcome))
		encoder.AddString("step", string(v.step))
	}
	if v.evidence.Proven() {
		encoder.AddString("evidence", v.evidence.String())
	}
	if v.bodyBegun {
		encoder.AddBool("bodyBegun", true)
	}
	encoder.AddDuration("sentAfter", v.sentAfter)
	encoder.AddDuration("elapsed", v.elapsed)
	return nil
}

// attempts holds the attempts of one request, in order.
type attempts []attemptRecord

// possibleRuns returns how many of the attempts a back end may have run.
func (v attempts) possibleRuns() int {
	count := 0
	for index := range v {
		if v[index].outcome != outcome.NotRun {
			count++
		}
	}
	return count
}

// soonestRetry returns the shortest Retry-After of attempts that were refused for another reason than a
// rate limit, zero for none.
func (v attempts) soonestRetry() (soonest time.Duration) {
	for index := range v {
		if seen := &v[index]; seen.retryAfter > 0 && seen.step != outcome.StepLimit && (soonest == 0 || seen.retryAfter < soonest) {
			soonest = seen.retryAfter
		}
	}
	return soonest
}

// setLatestResult replaces the result of the latest attempt at a peer.
func (v attempts) setLatestResult(peer *target, failure *outcome.Failure) {
	for index := len(v) - 1; index >= 0; index-- {
		if v[index].target == peer {
			v[index].outcome, v[index].step = failure.Outcome, failure.Step
			return
		}
	}
}

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (v attempts) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for index := range v {
		if err := encoder.AppendObject(&v[index]); err != nil {
			return err
		}
	}
	return nil
}
