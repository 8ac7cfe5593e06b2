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
	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

const (
	// transientRetryAfter is the Retry-After value of refusals whose cause is temporary.
	transientRetryAfter = time.Second
	// recordRetention is how long the record of a call is kept beyond the call's deadline. No proxy
	// sends a call after its deadline; the retention allows for clocks that run at different
	// speeds.
	recordRetention = 2 * time.Second
)

// Causes of refusals, which are part of the response.
var (
	errDraining           = errors.New("the back end is leaving")
	errNoSnapshot         = errors.New("no configuration of the back end's service is in force")
	errUpgradeUnsupported = errors.New("upgrades are not carried")
	errNoCallID           = errors.New("the request bears no call id: it did not come through a proxy of the mesh")
	errWrongService       = errors.New("the request is meant for another service")
	errInvalidDeadline    = errors.New("the request bears no valid remaining time")
	errDeadlinePassed     = errors.New("the deadline passed before work began")
)

// inboundRequest is the state of one request from an outbound proxy. It is not safe for concurrent
// use.
type inboundRequest struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	started time.Time

	settings *settings
	context  context.Context
	body     *forward.Body
	callID   string
	// repeatable is set for calls that may be run more than once. They are not recorded.
	repeatable bool
	deadline   time.Time
	status     int
	outcome    outcome.Outcome
}

// serve processes the request. It returns nil if a response was sent to the outbound proxy, else
// the failure that is still to be sent.
func (r *inboundRequest) serve() *outcome.Failure {
	r.settings = r.handler.current.Load()
	if r.settings == nil {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepSnapshot, transientRetryAfter, errNoSnapshot)
	}
	if failure := r.validate(); failure != nil {
		return failure
	}
	var cancel context.CancelFunc
	r.context, cancel = context.WithDeadline(r.request.Context(), r.deadline)
	defer cancel()
	if r.handler.limiter.Full() {
		return limitRefusal(limit.ErrQueueFull)
	}
	body, err := forward.ReadBody(r.context, r.writer, r.request, r.handler.options.MaximumBodyBytes, "")
	if err != nil {
		return outcome.Refusal(http.StatusBadRequest, outcome.StepRequest, 0, err)
	}
	r.body = body
	defer body.UnblockOnDone(r.context, r.writer)()
	if err := r.handler.limiter.Acquire(r.context); err != nil {
		return limitRefusal(err)
	}
	defer r.handler.limiter.Release()
	return r.forwardCall()
}

// validate rejects requests that the proxy does not support or that do not come from an outbound
// proxy of the mesh, and reads the headers of the mesh.
func (r *inboundRequest) validate() *outcome.Failure {
	header := r.request.Header
	if forward.WantsUpgrade(r.request) {
		return outcome.Refusal(http.StatusNotImplemented, outcome.StepRequest, 0, errUpgradeUnsupported)
	}
	r.callID = header.Get(outcome.HeaderCallID)
	if r.callID == "" {
		return outcome.Refusal(http.StatusForbidden, outcome.StepRequest, 0, errNoCallID)
	}
	if header.Get(outcome.HeaderService) != r.handler.options.Service {
		return outcome.Refusal(http.StatusMisdirectedRequest, outcome.StepRequest, 0, errWrongService)
	}
	r.repeatable = header.Get(outcome.HeaderRepeatable) == "true"
	return r.validateDeadline(header.Get(outcome.HeaderDeadline))
}

// validateDeadline sets the deadline to that of the request or of the service, whichever is
// earlier.
func (r *inboundRequest) validateDeadline(text string) *outcome.Failure {
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return outcome.Refusal(http.StatusBadRequest, outcome.StepRequest, 0, errInvalidDeadline)
	}
	if milliseconds <= 0 {
		return outcome.Refusal(http.StatusGatewayTimeout, outcome.StepDeadline, transientRetryAfter, errDeadlinePassed)
	}
	timeout := r.settings.deadline
	if milliseconds < timeout.Milliseconds() {
		timeout = time.Duration(milliseconds) * time.Millisecond
	}
	r.deadline = r.started.Add(timeout)
	return nil
}

// limitRefusal returns the refusal for an error of the limiter.
func limitRefusal(err error) *outcome.Failure {
	if errors.Is(err, limit.ErrDeadlineExceeded) {
		return outcome.Refusal(http.StatusGatewayTimeout, outcome.StepDeadline, transientRetryAfter, err)
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, transientRetryAfter, err)
}

// forwardCall records the call and forwards it to the back end. The record is kept unless it is
// certain that the back end did not run the call.
func (r *inboundRequest) forwardCall() *outcome.Failure {
	if failure := r.recordCall(); failure != nil {
		return failure
	}
	interim := forward.NewInterim(r.writer, "")
	response, err := r.handler.pool.RoundTrip(r.outgoing(interim))
	interim.Stop()
	if err != nil {
		return r.newFailure(err)
	}
	r.handler.options.Observer.BackendAnswered()
	return r.forwardResponse(response)
}

// recordCall records the call and refuses a duplicate. The outcome of a duplicate is unknown
// instead of "not run", since the first request of the same call may have been run.
func (r *inboundRequest) recordCall() *outcome.Failure {
	if r.repeatable {
		return nil
	}
	err := r.handler.callRecords.Record(time.Now(), r.callID, r.deadline.Add(recordRetention))
	if errors.Is(err, calls.ErrDuplicate) {
		return &outcome.Failure{Outcome: outcome.Unknown, Status: http.StatusConflict, Step: outcome.StepDuplicate, Cause: err}
	}
	if err != nil {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, transientRetryAfter, err)
	}
	return nil
}

// removeRecord removes the record of a call that was certainly not run.
func (r *inboundRequest) removeRecord() {
	if !r.repeatable {
		r.handler.callRecords.Forget(r.callID)
	}
}

// outgoing returns the request to send to the back end.
func (r *inboundRequest) outgoing(interim *forward.Interim) *http.Request {
	header := forward.RequestHeader(r.request.Header, maxMarkers)
	header[outcome.HeaderCallID] = r.request.Header[outcome.HeaderCallID]
	header[outcome.HeaderAttempt] = r.request.Header[outcome.HeaderAttempt]
	remaining := max(time.Until(r.deadline).Milliseconds(), 1)
	header[outcome.HeaderDeadline] = []string{strconv.FormatInt(remaining, 10)}
	outgoing := forward.NewRequest(r.context, r.request, r.handler.options.Address, header, interim)
	r.body.Attach(outgoing)
	return outgoing
}

// maxMarkers is the largest number of headers that the proxy adds to a request.
const maxMarkers = 3

// newFailure returns the failure for an error of the exchange with the back end.
func (r *inboundRequest) newFailure(err error) *outcome.Failure {
	failure := &outcome.Failure{Outcome: outcome.Unknown, Status: http.StatusBadGateway, Step: outcome.StepAwait, Peer: r.handler.options.Address, Cause: err}
	var failed *forward.Error
	if errors.As(err, &failed) {
		failure.Outcome, failure.Evidence, failure.Step = failed.Outcome, failed.Evidence, failed.Step
	}
	if failure.Outcome == outcome.NotRun {
		r.removeRecord()
		failure.Status, failure.RetryAfter = http.StatusServiceUnavailable, transientRetryAfter
	}
	switch {
	case r.context.Err() != nil:
		failure.Status = http.StatusGatewayTimeout
	case errors.Is(err, forward.ErrNoConnection):
		failure.Step = outcome.StepAdmit
	case failure.Step == outcome.StepConnect:
		r.handler.options.Observer.BackendUnreachable()
	}
	return failure
}

// forwardResponse sends the back end's response to the outbound proxy. It aborts the connection if
// the response is truncated.
func (r *inboundRequest) forwardResponse(response *http.Response) *outcome.Failure {
	r.status = response.StatusCode
	r.adjustResponse(response)
	r.body.CloseUnlessRead(r.writer.Header())
	if err := forward.WriteReply(r.context, r.writer, response, ""); err != nil {
		r.abort(err)
	}
	r.recordEnd()
	return nil
}

// adjustResponse replaces the headers of one hop and of the mesh, and marks a shed request as not
// run.
func (r *inboundRequest) adjustResponse(response *http.Response) {
	r.handler.recordLoad(response.Header.Get(outcome.HeaderLoad))
	forward.RemoveHopByHop(response.Header)
	outcome.StripMarkers(response.Header)
	response.Header[outcome.HeaderLoad] = []string{r.handler.loadHeader()}
	// The back ends of this proxy echo no id: replies are matched by their order.
	reply := notrun.Reply{Status: response.StatusCode, Marked: isShed(r.settings.shedMarker, response)}
	evidence := notrun.Send{Reply: &reply}.Evidence()
	if !reply.Marked || !evidence.Proven() {
		return
	}
	r.removeRecord()
	r.outcome = outcome.Of(evidence)
	response.Header.Set(outcome.HeaderOutcome, string(r.outcome))
	response.Header.Set(outcome.HeaderError, "step="+string(outcome.StepAdmit)+"; peer="+r.handler.options.Address)
}

// isShed reports whether the response matches the marker by which the back end declares that it did
// not run the request.
func isShed(marker *resource.ShedMarker, response *http.Response) bool {
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

// sendFailure sends a response that the proxy itself generates for the failure.
func (r *inboundRequest) sendFailure(failure *outcome.Failure) {
	r.status, r.outcome = failure.Status, failure.Outcome
	defer forward.PrepareLocalReply(r.context, r.writer, r.request, r.body)()
	if failure.Peer == "" {
		failure.Peer = r.handler.options.Service + "/" + r.handler.options.Endpoint
	}
	r.writer.Header()[outcome.HeaderLoad] = []string{r.handler.loadHeader()}
	r.logFailure(failure)
	failure.WriteTo(r.writer)
	r.recordEnd()
}

// abort closes the connection, so that the outbound proxy cannot take a truncated response for a
// complete one.
func (r *inboundRequest) abort(cause error) {
	r.outcome = outcome.Unknown
	r.logFailure(&outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepBody, Peer: r.handler.options.Address, Cause: cause})
	r.recordEnd()
	panic(http.ErrAbortHandler)
}

// recordEnd reports the end of the request to the observer.
func (r *inboundRequest) recordEnd() {
	r.handler.options.Observer.RequestEnded(r.status, r.outcome, time.Since(r.started))
}

func (r *inboundRequest) logFailure(failure *outcome.Failure) {
	// Check avoids building the fields of a message that is not logged.
	entry := r.handler.options.Logger.Check(zap.WarnLevel, "request failed")
	if entry == nil {
		return
	}
	entry.Write(failure.Fields(r.callID)...)
}
