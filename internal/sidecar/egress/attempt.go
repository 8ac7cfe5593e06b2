package egress

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/body"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// attempt is one send of a request to a node. It runs in a goroutine of its own,
// so that the call can look elsewhere while a node that seems silent may still
// answer. The call reads the result only after it was delivered.
type attempt struct {
	call   *call
	record *roster.Record
	target *target
	// service is the one that was chosen for this send.
	service string
	// seen is what the choice was made by, reportAge how old the node's own
	// account of its load was then.
	seen      choice.Candidate
	reportAge time.Duration

	sent    time.Time
	context context.Context
	cancel  context.CancelCauseFunc
	interim *forward.Interim
	// suspected is closed when the node did not answer a probe.
	suspected chan struct{}
	// consented: the node has a slot, or room for a large body, and gets the body.
	got100Continue atomic.Bool

	// sends is how many nodes the request was sent to before, candidates how many back
	// ends might have taken it, those included.
	sends, candidates int
	// compared: the back end is of a version that is compared with others. What it does
	// says nothing of how long requests usually take.
	canary bool
	// repeated: the run is a repeat. crashed: a back end ended under an earlier send.
	repeated, crashed bool

	// noted is the send's number among the call's visits once it was left behind,
	// zero before; the call's goroutine alone uses it.
	recordNumber int

	// response or failure is the result, worked how long the back end says that
	// it worked.
	response *http.Response
	failure  *outcome.Failure
	worked   time.Duration
	elapsed  time.Duration
	// version is that of the configuration in force at the node, zero when it did not say.
	version uint64
	// room: the back end had slots free when the node answered.
	hasFreeSlots bool
}

// run sends the request and delivers the result.
func (a *attempt) run() {
	defer a.target.inFlight.Add(-1)
	// Outside the server's goroutine nothing else keeps a request that sets off a panic
	// here from ending one node after the other.
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

// exchange sends the request and judges what comes of it.
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

// suspect tells that the node did not answer a probe. Without consent the body
// was never sent: the send is given up at once, provably not run.
func (a *attempt) markSuspected() {
	close(a.suspected)
	if !a.call.route.Repeatable && !a.got100Continue.Load() && a.call.expects100Continue() {
		a.abandon()
	}
}

// lost gives the send up since its node did not answer several probes. A node that
// stops gives up nothing: a busy peer looks like a lost one, and a request at which
// a back end is at work must not be broken off by a planned stop. An end of the
// connection or the deadline ends the send all the same.
func (a *attempt) abandonUnlessStopping() {
	if !a.call.handler.stopping.Load() {
		a.abandon()
	}
}

// lose gives the send up.
func (a *attempt) abandon() { a.cancel(errSilent) }

// traced is the context of the exchange; it notes consent where that counts.
func (a *attempt) traceContext() context.Context {
	if a.call.route.Repeatable {
		return a.context
	}
	return httptrace.WithClientTrace(a.context, &httptrace.ClientTrace{
		Got100Continue: func() { a.got100Continue.Store(true) },
	})
}

// judge makes the result of what the exchange brought.
func (a *attempt) setResult(response *http.Response, err error, now time.Time) {
	if err != nil {
		if errors.Is(context.Cause(a.context), errSilent) {
			err = errors.Join(errSilent, err)
		}
		a.failure = a.roundTripFailure(err, now)
		return
	}
	a.observe(response, now)
	if reported := outcome.Outcome(response.Header.Get(outcome.HeaderOutcome)); reported != "" {
		a.failure = a.parseRefusal(response, reported, now)
		return
	}
	if err := body.Gather(response); err != nil {
		a.target.failed(now)
		a.failure = &outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepBody, Cause: err}
		return
	}
	a.target.succeeded()
	a.response = response
}

// learn takes in what the reply says of the node itself.
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
	a.worked, a.version = reply.Worked, reply.Version
	a.hasFreeSlots = reply.Running+reply.Waiting < reply.Slots
	if reply.Worked > 0 && response.StatusCode < http.StatusMultipleChoices && !a.canary {
		a.call.work().Observe(reply.Worked)
	}
	if reply.Version > a.call.table.Version() {
		a.call.handler.options.Observer.Behind(a.target.node, reply.Version)
	}
	a.observeProof(response.Header, reply.Version)
}

// hearProof takes in how old the node's proof is that it holds the newest configuration. The time
// since the request was sent counts against it.
func (a *attempt) observeProof(header http.Header, version uint64) {
	if age, told := hop.Milliseconds(header.Get(hop.HeaderProof)); told {
		a.call.handler.options.Freshness.Proven(version, a.sent.Add(-age))
	}
}

// crashes is how many ends of back ends the send counts for: all of them when a node holds
// the request back.
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

// rejectedWithRoom reports whether the back end itself rejected the request though it had slots free:
// it does so by chance, and not for what waits there.
func (a *attempt) rejectedWithFreeSlots() bool {
	return a.failure != nil && a.failure.Step == outcome.StepShed && a.hasFreeSlots
}

// visit describes the send for the log.
func (a *attempt) attemptRecord() attemptRecord {
	seen := attemptRecord{target: a.target, seen: a.seen, reportAge: a.reportAge, elapsed: a.elapsed}
	if a.failure != nil {
		seen.outcome, seen.step = a.failure.Outcome, a.failure.Step
	}
	return seen
}
