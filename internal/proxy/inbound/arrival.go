package inbound

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/calls"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/limit"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

const (
	// retrySoon is the Retry-After of refusals that pass by themselves.
	retrySoon = time.Second
	// retention is how long a call is remembered beyond its deadline. No
	// proxy sends a call after its deadline; this is for clocks that run at
	// different speeds.
	retention = 2 * time.Second
)

// Causes of refusals.
var (
	errDraining   = errors.New("the back end is leaving")
	errNoSnapshot = errors.New("no configuration of the back end's service is in force")
	errUpgrade    = errors.New("upgrades are not carried")
	errNoCall     = errors.New("the request bears no call id: it did not come through a proxy of the mesh")
	errService    = errors.New("the request is meant for another service")
	errDeadline   = errors.New("the request bears no valid remaining time")
	errExpired    = errors.New("the deadline passed before work began")
)

// arrival is one request of a caller's proxy. It is used by one goroutine.
type arrival struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	started time.Time

	settings *settings
	context  context.Context
	body     *forward.Body
	call     string
	// repeatable calls may be run again and are not remembered.
	repeatable bool
	deadline   time.Time
	status     int
	outcome    outcome.Outcome
}

// serve carries the request through. A nil result means that the caller's
// proxy has its answer; a failure is still to be sent.
func (a *arrival) serve() *outcome.Failure {
	a.settings = a.handler.current.Load()
	if a.settings == nil {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepSnapshot, retrySoon, errNoSnapshot)
	}
	if failure := a.check(); failure != nil {
		return failure
	}
	var cancel context.CancelFunc
	a.context, cancel = context.WithDeadline(a.request.Context(), a.deadline)
	defer cancel()
	if a.handler.limiter.Full() {
		return limitRefusal(limit.ErrQueueFull)
	}
	body, err := forward.ReadBody(a.context, a.writer, a.request, a.handler.options.MaximumBodyBytes, "")
	if err != nil {
		return outcome.Refusal(http.StatusBadRequest, outcome.StepRequest, 0, err)
	}
	a.body = body
	defer body.UnblockOnDone(a.context, a.writer)()
	if err := a.handler.limiter.Acquire(a.context); err != nil {
		return limitRefusal(err)
	}
	defer a.handler.limiter.Release()
	return a.run()
}

func (a *arrival) check() *outcome.Failure {
	header := a.request.Header
	if forward.WantsUpgrade(a.request) {
		return outcome.Refusal(http.StatusNotImplemented, outcome.StepRequest, 0, errUpgrade)
	}
	a.call = header.Get(outcome.HeaderCallID)
	if a.call == "" {
		return outcome.Refusal(http.StatusForbidden, outcome.StepRequest, 0, errNoCall)
	}
	if header.Get(outcome.HeaderService) != a.handler.options.Service {
		return outcome.Refusal(http.StatusMisdirectedRequest, outcome.StepRequest, 0, errService)
	}
	a.repeatable = header.Get(outcome.HeaderRepeatable) == "true"
	return a.checkDeadline(header.Get(outcome.HeaderDeadline))
}

func (a *arrival) checkDeadline(text string) *outcome.Failure {
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return outcome.Refusal(http.StatusBadRequest, outcome.StepRequest, 0, errDeadline)
	}
	if milliseconds <= 0 {
		return outcome.Refusal(http.StatusGatewayTimeout, outcome.StepDeadline, retrySoon, errExpired)
	}
	limit := a.settings.deadline
	if milliseconds < limit.Milliseconds() {
		limit = time.Duration(milliseconds) * time.Millisecond
	}
	a.deadline = a.started.Add(limit)
	return nil
}

func limitRefusal(err error) *outcome.Failure {
	if errors.Is(err, limit.ErrDeadlineExceeded) {
		return outcome.Refusal(http.StatusGatewayTimeout, outcome.StepDeadline, retrySoon, err)
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, retrySoon, err)
}

// run records the call and passes it on. The record stays unless it is proven
// that the back end did not run the call.
func (a *arrival) run() *outcome.Failure {
	if failure := a.remember(); failure != nil {
		return failure
	}
	interim := forward.NewInterim(a.writer, "")
	response, err := a.handler.pool.RoundTrip(a.outgoing(interim))
	interim.Stop()
	if err != nil {
		return a.exchangeFailed(err)
	}
	a.handler.options.Observer.BackendAnswered()
	return a.pass(response)
}

// remember refuses a second arrival. Its outcome is unknown, not "not run":
// the call is the first arrival's, and that one may have been run.
func (a *arrival) remember() *outcome.Failure {
	if a.repeatable {
		return nil
	}
	err := a.handler.memory.Record(time.Now(), a.call, a.deadline.Add(retention))
	if errors.Is(err, calls.ErrSecondArrival) {
		return &outcome.Failure{Outcome: outcome.Unknown, Status: http.StatusConflict, Step: outcome.StepDuplicate, Cause: err}
	}
	if err != nil {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, retrySoon, err)
	}
	return nil
}

// forget drops the record of a call that provably was not run.
func (a *arrival) forget() {
	if !a.repeatable {
		a.handler.memory.Forget(a.call)
	}
}

func (a *arrival) outgoing(interim *forward.Interim) *http.Request {
	header := forward.RequestHeader(a.request.Header, markerCount)
	header[outcome.HeaderCallID] = a.request.Header[outcome.HeaderCallID]
	header[outcome.HeaderAttempt] = a.request.Header[outcome.HeaderAttempt]
	remaining := max(time.Until(a.deadline).Milliseconds(), 1)
	header[outcome.HeaderDeadline] = []string{strconv.FormatInt(remaining, 10)}
	outgoing := forward.NewRequest(a.context, a.request, a.handler.options.Address, header, interim)
	a.body.Attach(outgoing)
	return outgoing
}

// markerCount is how many headers the proxy adds at most.
const markerCount = 3

func (a *arrival) exchangeFailed(err error) *outcome.Failure {
	failure := &outcome.Failure{Outcome: outcome.Unknown, Status: http.StatusBadGateway, Step: outcome.StepAwait, Peer: a.handler.options.Address, Cause: err}
	var failed *forward.Error
	if errors.As(err, &failed) {
		failure.Outcome, failure.Step = failed.Outcome, failed.Step
	}
	if failure.Outcome == outcome.NotRun {
		a.forget()
		failure.Status, failure.RetryAfter = http.StatusServiceUnavailable, retrySoon
	}
	switch {
	case a.context.Err() != nil:
		failure.Status = http.StatusGatewayTimeout
	case errors.Is(err, forward.ErrNoConnection):
		failure.Step = outcome.StepAdmit
	case failure.Step == outcome.StepConnect:
		a.handler.options.Observer.BackendUnreachable()
	}
	return failure
}

// pass sends the back end's answer on, or aborts the connection when the
// answer breaks off.
func (a *arrival) pass(response *http.Response) *outcome.Failure {
	a.status = response.StatusCode
	a.adjustReply(response)
	a.body.CloseUnlessRead(a.writer.Header())
	if err := forward.WriteReply(a.context, a.writer, response, ""); err != nil {
		a.abort(err)
	}
	a.ended()
	return nil
}

func (a *arrival) adjustReply(response *http.Response) {
	a.handler.claim(response.Header.Get(outcome.HeaderLoad))
	forward.RemoveHopByHop(response.Header)
	outcome.StripMarkers(response.Header)
	response.Header[outcome.HeaderLoad] = []string{a.handler.load()}
	if !shed(a.settings.shedMarker, response) {
		return
	}
	a.forget()
	a.outcome = outcome.NotRun
	response.Header.Set(outcome.HeaderOutcome, string(outcome.NotRun))
	response.Header.Set(outcome.HeaderError, "step="+string(outcome.StepAdmit)+"; peer="+a.handler.options.Address)
}

// shed reports whether the reply is the one by which the back end declares
// that it did not run the request.
func shed(marker *resource.ShedMarker, response *http.Response) bool {
	if marker == nil || response.StatusCode != marker.Status {
		return false
	}
	if marker.Header == "" {
		return true
	}
	values := response.Header.Values(marker.Header)
	if len(values) == 0 {
		return false
	}
	return marker.Value == "" || values[0] == marker.Value
}

// reply sends a failure that the proxy answers itself.
func (a *arrival) reply(failure *outcome.Failure) {
	a.status, a.outcome = failure.Status, failure.Outcome
	defer forward.PrepareOwnReply(a.context, a.writer, a.request, a.body)()
	if failure.Peer == "" {
		failure.Peer = a.handler.options.Service + "/" + a.handler.options.Endpoint
	}
	a.writer.Header()[outcome.HeaderLoad] = []string{a.handler.load()}
	a.logFailure(failure)
	failure.WriteTo(a.writer)
	a.ended()
}

// abort ends the connection: a part of an answer must not look whole.
func (a *arrival) abort(cause error) {
	a.outcome = outcome.Unknown
	a.logFailure(&outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepBody, Peer: a.handler.options.Address, Cause: cause})
	a.ended()
	panic(http.ErrAbortHandler)
}

func (a *arrival) ended() {
	a.handler.options.Observer.RequestEnded(a.status, a.outcome, time.Since(a.started))
}

func (a *arrival) logFailure(failure *outcome.Failure) {
	// Checking first leaves out the fields of a message that is not written.
	entry := a.handler.options.Logger.Check(zap.WarnLevel, "request failed")
	if entry == nil {
		return
	}
	entry.Write(failure.Fields(a.call)...)
}
