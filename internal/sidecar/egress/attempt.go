package egress

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/body"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// attempt sends a call's request to one peer. It runs in its own goroutine, so that the call can
// try another peer while one that does not answer probes may still respond. The call reads the
// result only after it has been delivered.
type attempt struct {
	call   *call
	record *roster.Record
	target *target
	// service is the service that was chosen for this attempt.
	service string
	// seen is the candidate as it was described when it was chosen, reportAge the age of the peer's
	// load report at that time; below zero without a report.
	seen      choice.Candidate
	reportAge time.Duration

	sent    time.Time
	context context.Context
	cancel  context.CancelCauseFunc
	interim *forward.Interim
	// suspected is closed when the peer did not answer a probe.
	suspected chan struct{}
	// bodyBegun: the HTTP client has started to read the held body for sending.
	bodyBegun atomic.Bool

	// sends is the number of peers that the request was sent to before, candidates the number of
	// back ends that accept work, those included.
	sends, candidates int
	// canary: the back end runs a version that is being compared with others. Its work times say
	// nothing about the usual ones and are left out of the route's estimate.
	canary bool
	// repeated: the run is a retry. crashed: a back end crashed during an earlier attempt.
	repeated, crashed bool

	// recordNumber is the number, from one, of the attempt's record in call.attempts once the call
	// has detached it; zero before. Only the call's goroutine uses it.
	recordNumber int

	// response or failure is the result; worked is the processing time that the back end reported.
	response *http.Response
	failure  *outcome.Failure
	worked   time.Duration
	elapsed  time.Duration
	// version is the configuration version in force at the peer, zero when it did not report one.
	version uint64
	// hasFreeSlots: the back end had free slots when the peer answered.
	hasFreeSlots bool
}

// run sends the request and delivers the result.
func (a *attempt) run() {
	defer a.target.inFlight.Add(-1)
	// The HTTP server recovers panics only in its own goroutine. Without this a request that causes
	// a panic here would terminate one node after another.
	if err := contain.Run("request", a.call.handler.options.Logger, a.roundTrip); err != nil {
		if a.response != nil {
			_ = a.response.Body.Close()
			a.response = nil
		}
		a.failure = &outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepAwait, Cause: err}
	}
	if a.failure != nil {
		a.failure.Peer = a.target.address
	}
	a.deliver()
}

// roundTrip sends the request and records the result.
func (a *attempt) roundTrip() {
	entry := a.call.handler.register(a)
	defer a.target.outstanding.answered(entry, false, a.sent)
	response, err := a.target.pool.RoundTrip(a.call.outgoing(a))
	a.interim.Stop()
	now := clock.Now()
	a.target.outstanding.answered(entry, err == nil, now)
	a.setResult(response, err, now)
	a.observeBaseline(now)
	a.elapsed = clock.Since(a.sent)
}

// deliver hands the result to the call, or drops it when the call has ended.
func (a *attempt) deliver() {
	select {
	case a.call.results <- a:
	case <-a.call.done:
		if a.response != nil {
			_ = a.response.Body.Close()
		}
	}
}

// markSuspected records that the peer did not answer a probe. If the body is still held back, the
// attempt is abandoned at once and counts as not run.
func (a *attempt) markSuspected() {
	close(a.suspected)
	if a.bodyWithheld() {
		a.abandon()
	}
}

// abandonUnlessStopping abandons the attempt after several unanswered probes. A stopping node
// abandons nothing: a busy peer looks like a lost one, and a planned stop must not break off a
// request that a back end is processing. The end of the connection or the deadline still ends the
// attempt.
func (a *attempt) abandonUnlessStopping() {
	if !a.call.handler.stopping.Load() {
		a.abandon()
	}
}

// abandon cancels the attempt because its peer does not answer.
func (a *attempt) abandon() { a.cancel(errSilent) }

// setResult sets the response or the failure from the outcome of the round trip.
func (a *attempt) setResult(response *http.Response, err error, now time.Time) {
	if err != nil {
		if errors.Is(context.Cause(a.context), errSilent) {
			err = errors.Join(errSilent, err)
		}
		a.failure = a.roundTripFailure(err, now)
		return
	}
	a.observe(response, now)
	if reported, evidence, found := outcome.Reported(response.Header); found {
		a.failure = a.parseRefusal(response, reported, evidence, now)
		return
	}
	if notrun.Promises(response.StatusCode) {
		// A node sends such a status only together with an outcome.
		_ = response.Body.Close()
		a.target.failed(now)
		a.failure = &outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepBody, Cause: errUnprovenStatus}
		return
	}
	if err := body.BufferShort(response); err != nil {
		a.target.failed(now)
		a.failure = &outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepBody, Cause: err}
		return
	}
	a.target.succeeded()
	a.response = response
}

// observe records what the response headers say about the peer and its back end.
func (a *attempt) observe(response *http.Response, now time.Time) {
	reply, err := hop.ParseReply(response.Header.Get(hop.HeaderReply))
	if err != nil {
		return
	}
	others := a.target.observe(reply, a.record, now)
	if a.call.handler.contended() {
		a.observeZone(others, now)
	}
	a.call.observeShare(response.Header)
	a.observeNotices(response.Header, now)
	a.worked, a.version = reply.ServiceTime, reply.Version
	a.hasFreeSlots = reply.Running+reply.Waiting < reply.Slots
	if reply.ServiceTime > 0 && response.StatusCode < http.StatusMultipleChoices && !a.canary {
		a.call.work().Observe(reply.ServiceTime)
	}
	if reply.Version > a.call.table.Version() {
		a.call.handler.options.Observer.NewerVersionReported(a.target.node, reply.Version)
	}
	a.observeProof(response.Header, reply.Version)
}

// observeProof records the age of the peer's proof that it holds the newest configuration. The time
// since the request was sent counts against it.
func (a *attempt) observeProof(header http.Header, version uint64) {
	if age, valid := hop.ParseMilliseconds(header.Get(hop.HeaderProof)); valid {
		a.call.handler.options.Freshness.RecordProof(version, a.sent.Add(-age))
	}
}

// crashes returns how many crashes of back ends the attempt counts for: the maximum when a peer
// quarantines the request.
func (a *attempt) crashes() int {
	switch {
	case a.failure == nil:
		return 0
	case a.failure.Step == outcome.StepCrash:
		return 1
	case a.failure.Step == outcome.StepQuarantine:
		return maxCrashes
	}
	return 0
}

// rejectedWithFreeSlots reports whether the back end itself rejected the request although it had
// free slots, so that the rejection does not depend on its queue.
func (a *attempt) rejectedWithFreeSlots() bool {
	return a.failure != nil && a.failure.Step == outcome.StepShed && a.hasFreeSlots
}

// attemptRecord returns the record of the attempt for the call's log line.
func (a *attempt) attemptRecord() attemptRecord {
	seen := attemptRecord{
		target: a.target, seen: a.seen, reportAge: a.reportAge,
		sentAfter: a.sent.Sub(a.call.started), elapsed: a.elapsed, bodyBegun: a.bodyBegun.Load(),
	}
	if a.failure != nil {
		seen.outcome, seen.evidence, seen.step = a.failure.Outcome, a.failure.Evidence, a.failure.Step
		seen.retryAfter = a.failure.RetryAfter
	}
	return seen
}
