package outbound

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/balance"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// attemptResult is the result of one attempt. outcome is empty if response is a response of the
// back end. Otherwise either err is set, or response is a response of the inbound proxy itself.
type attemptResult struct {
	outcome  outcome.Outcome
	response *http.Response
	err      error
}

// discardLimit limits how many bytes of a refusal are read and discarded so that its connection can
// be reused.
const discardLimit = 4 << 10

// discard closes the response and makes its connection reusable if the rest of the body is short.
func (r attemptResult) discard() {
	if r.response != nil {
		_, _ = io.CopyN(io.Discard, r.response.Body, discardLimit)
		_ = r.response.Body.Close()
	}
}

// release frees the endpoint's slot. The endpoint may be nil.
func release(endpoint *balance.Endpoint) {
	if endpoint != nil {
		endpoint.Release()
	}
}

// sendAttempt selects an endpoint and sends the request to it once. The caller must release the
// returned endpoint, which is nil if none was available.
func (c *call) sendAttempt(avoid *balance.Endpoint) (*balance.Endpoint, attemptResult) {
	endpoints := c.route.service.endpoints.Load()
	endpoint, err := endpoints.Acquire(c.handler.now(), rand.Uint64(), avoid)
	if err != nil {
		return nil, attemptResult{outcome: outcome.Of(notrun.NotSent()), err: err}
	}
	c.interim = forward.NewInterim(c.writer, c.credentialHeader())
	response, err := endpoint.Pool.RoundTrip(c.outgoing(endpoint))
	c.interim.Stop()
	if err != nil {
		return endpoint, c.classifyError(endpoint, err)
	}
	return endpoint, c.classifyResponse(endpoint, response)
}

// classifyError returns the result of a failed exchange and records it as a failure of the
// endpoint, unless the caller or the limit of connections caused it.
func (c *call) classifyError(endpoint *balance.Endpoint, err error) attemptResult {
	var failed *forward.Error
	if !errors.As(err, &failed) {
		return attemptResult{outcome: outcome.Unknown, err: err}
	}
	switch {
	case c.endedByCaller() || errors.Is(err, forward.ErrNoConnection):
	case failed.Step == outcome.StepConnect && c.context.Err() == nil:
		c.recordFailure(endpoint, balance.FailureUnreachable)
	default:
		c.recordFailure(endpoint, balance.FailureIncomplete)
	}
	return attemptResult{outcome: failed.Outcome, err: err}
}

// endedByCaller reports whether the exchange ended because the caller disconnected or because the
// deadline that the caller set has passed. Neither counts as a failure of the endpoint.
func (c *call) endedByCaller() bool {
	return c.request.Context().Err() != nil || (c.deadlineFromCaller && c.context.Err() != nil)
}

// timedOutByCaller reports whether the status is a timeout caused by the deadline that the caller
// set. It does not count as a failure of the endpoint.
func (c *call) timedOutByCaller(status int) bool {
	return c.deadlineFromCaller && status == http.StatusGatewayTimeout
}

// classifyResponse distinguishes responses of the back end from those that the inbound proxy
// generated, and records what they reveal about the endpoint.
func (c *call) classifyResponse(endpoint *balance.Endpoint, response *http.Response) attemptResult {
	now := c.handler.now()
	if load, valid := parseLoad(response.Header.Get(outcome.HeaderLoad)); valid {
		endpoint.RecordLoad(now, load)
	}
	reported, evidence, found := outcome.Reported(response.Header)
	switch {
	case !found:
		return attemptResult{response: response}
	case evidence.Proven():
		c.recordRefusal(endpoint, response)
	case !c.timedOutByCaller(response.StatusCode):
		c.recordFailure(endpoint, balance.FailureIncomplete)
	}
	return attemptResult{outcome: reported, response: response}
}

// recordRefusal records a refusal of the inbound proxy: as a failure if its back end cannot be
// reached, otherwise as shedding by an endpoint at capacity.
func (c *call) recordRefusal(endpoint *balance.Endpoint, response *http.Response) {
	if strings.Contains(response.Header.Get(outcome.HeaderError), "step="+string(outcome.StepConnect)) {
		c.recordFailure(endpoint, balance.FailureUnreachable)
		return
	}
	endpoint.RecordShed(c.handler.now())
}

// recordFailure records a failure of the endpoint, and logs and counts the ejection if it causes
// one.
func (c *call) recordFailure(endpoint *balance.Endpoint, kind balance.FailureKind) {
	endpoints := c.route.service.endpoints.Load()
	if endpoints.RecordFailure(c.handler.now(), endpoint, kind) {
		c.handler.options.Observer.Ejected(endpoint.ID)
		c.handler.options.Logger.Warn("endpoint ejected",
			zap.String("service", endpoint.ID.Service), zap.String("endpoint", endpoint.ID.Name),
			zap.String("peer", endpoint.Address))
	}
}

// recordResponse records a complete response as a success, unless its status is 502, 503 or 504.
// Other error statuses may be caused by the request itself.
func (c *call) recordResponse(endpoint *balance.Endpoint, status int) {
	switch {
	case c.timedOutByCaller(status):
	case status == http.StatusBadGateway, status == http.StatusServiceUnavailable, status == http.StatusGatewayTimeout:
		c.recordFailure(endpoint, balance.FailureIncomplete)
	default:
		endpoint.RecordSuccess()
	}
}

// parseLoad parses a load header of the form "<in flight>/<slots>" and returns the number of
// requests in flight.
func parseLoad(text string) (load int, valid bool) {
	before, _, found := strings.Cut(text, "/")
	if !found {
		return 0, false
	}
	load, err := strconv.Atoi(before)
	return load, err == nil && load >= 0
}

// outgoing returns the request to send to the inbound proxy of the endpoint.
func (c *call) outgoing(endpoint *balance.Endpoint) *http.Request {
	outgoing := forward.NewRequest(c.context, c.request, endpoint.Address, c.attemptHeader(), c.interim)
	c.body.Attach(outgoing)
	return outgoing
}

// attemptHeader returns the header of the current attempt. Each attempt has its own map, since an
// earlier attempt may still be reading its own.
func (c *call) attemptHeader() http.Header {
	if c.header == nil {
		c.header = c.baseHeader()
	}
	header := c.header
	if c.attempt > 1 {
		header = maps.Clone(header)
	}
	deadline, _ := c.context.Deadline()
	remaining := max(time.Until(deadline).Milliseconds(), 1)
	header[outcome.HeaderDeadline] = []string{strconv.FormatInt(remaining, 10)}
	header[outcome.HeaderAttempt] = []string{strconv.Itoa(c.attempt)}
	if c.retriedUpstream {
		header[outcome.HeaderAttempt] = []string{strconv.Itoa(c.attempt + 1)}
	}
	return header
}

// baseHeader returns the caller's header without the mesh headers that the caller set, and with the
// credential and the mesh headers that are the same for all attempts.
func (c *call) baseHeader() http.Header {
	header := forward.RequestHeader(c.request.Header, maxMarkers)
	if c.route.secret != nil {
		header[c.route.secret.header] = c.route.secret.value
	}
	header[outcome.HeaderCallID] = []string{c.id}
	header[outcome.HeaderService] = []string{c.route.service.name}
	if c.repeatable {
		header[outcome.HeaderRepeatable] = headerValueTrue
	}
	return header
}

// maxMarkers is the largest number of headers that the proxy adds to a request.
const maxMarkers = 8

// headerValueTrue is shared by all requests and must not be modified.
var headerValueTrue = []string{"true"}

// finishWithFailure ends the call after its last attempt. It forwards a refusal of the inbound
// proxy completely, since the refusal may contain the back end's own response.
func (c *call) finishWithFailure(endpoint *balance.Endpoint, result attemptResult) *outcome.Failure {
	if c.mayHaveRun && result.outcome == outcome.NotRun {
		return c.replaceRefusal(endpoint, result)
	}
	if result.response != nil {
		c.outcome = result.outcome
		errorHeader := result.response.Header.Get(outcome.HeaderError)
		c.logFailure(&outcome.Failure{Outcome: c.outcome, Step: outcome.StepAwait, Peer: endpoint.Address, Cause: errors.New(errorHeader)})
		return c.forwardRefusal(endpoint, result.response, errorHeader)
	}
	release(endpoint)
	return c.newFailure(endpoint, result)
}

// errEarlierAttemptUnknown is the cause of failure if the last attempt was refused and an earlier
// one has an unknown outcome.
var errEarlierAttemptUnknown = errors.New("an earlier attempt may have been run, the last one was refused")

// replaceRefusal returns a failure of unknown outcome instead of a refusal. The refusal would tell
// the caller that the call was not run, while an earlier attempt may have run it.
func (c *call) replaceRefusal(endpoint *balance.Endpoint, result attemptResult) *outcome.Failure {
	failure := c.newFailure(endpoint, attemptResult{outcome: outcome.Unknown, err: result.err})
	if result.response != nil {
		failure.Status, failure.Step, failure.Peer = result.response.StatusCode, outcome.StepAwait, endpoint.Address
		failure.Cause = errEarlierAttemptUnknown
		result.discard()
	}
	release(endpoint)
	return failure
}

// forwardRefusal sends a refusal of the inbound proxy to the caller.
func (c *call) forwardRefusal(endpoint *balance.Endpoint, response *http.Response, errorHeader string) *outcome.Failure {
	defer release(endpoint)
	c.status = response.StatusCode
	c.sanitizeResponse(response)
	response.Header.Set(outcome.HeaderError, errorHeader)
	if c.outcome == outcome.NotRun {
		outcome.EnsureRetryAfter(response.Header, transientRetryAfter)
	}
	c.body.CloseUnlessRead(c.writer.Header())
	if err := forward.WriteReply(c.context, c.writer, response, c.credentialHeader()); err != nil {
		c.abort(endpoint, err)
	}
	c.recordEnd()
	return nil
}

// newFailure returns the failure for the result of the last attempt.
func (c *call) newFailure(endpoint *balance.Endpoint, result attemptResult) *outcome.Failure {
	failure := &outcome.Failure{Outcome: result.outcome, Status: http.StatusBadGateway, Step: outcome.StepChoose, Cause: result.err}
	var failed *forward.Error
	if errors.As(result.err, &failed) {
		failure.Step, failure.Peer = failed.Step, failed.Peer
	}
	if result.outcome == outcome.NotRun {
		failure.Status, failure.RetryAfter = http.StatusServiceUnavailable, transientRetryAfter
	}
	if c.context.Err() != nil {
		failure.Status = http.StatusGatewayTimeout
	}
	return failure
}

// sendFailure sends a response that the proxy itself generates for the failure.
func (c *call) sendFailure(failure *outcome.Failure) {
	c.status, c.outcome = failure.Status, failure.Outcome
	defer forward.PrepareLocalReply(c.context, c.writer, c.request, c.body)()
	if failure.Peer == "" && c.route != nil {
		failure.Peer = c.route.service.name
	}
	c.logFailure(failure)
	failure.WriteTo(c.writer)
	c.recordEnd()
}

// abort closes the caller's connection, so that the caller cannot take a truncated response for a
// complete one.
func (c *call) abort(endpoint *balance.Endpoint, cause error) {
	c.outcome = outcome.Unknown
	c.logFailure(&outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepBody, Peer: endpoint.Address, Cause: cause})
	c.recordEnd()
	panic(http.ErrAbortHandler)
}

// recordEnd reports the end of the call to the observer.
func (c *call) recordEnd() {
	name := ""
	if c.route != nil {
		name = c.route.service.name
	}
	c.handler.options.Observer.CallEnded(name, c.status, c.outcome, time.Since(c.started))
}

func (c *call) logFailure(failure *outcome.Failure) {
	// Check avoids building the fields of a message that is not logged.
	entry := c.handler.options.Logger.Check(zap.WarnLevel, "call failed")
	if entry == nil {
		return
	}
	entry.Write(append(failure.Fields(c.id), zap.Int("attempt", c.attempt))...)
}
