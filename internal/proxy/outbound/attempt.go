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
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// attemptResult is what one attempt brought. outcome is empty for an answer of
// the back end; otherwise either response, a reply of the proxy beside it, or
// err is set.
type attemptResult struct {
	outcome  outcome.Outcome
	response *http.Response
	err      error
}

// discardLimit is how much of a refusal is read so that its connection can be
// used again.
const discardLimit = 4 << 10

func (r attemptResult) discard() {
	if r.response != nil {
		_, _ = io.CopyN(io.Discard, r.response.Body, discardLimit)
		_ = r.response.Body.Close()
	}
}

func release(endpoint *balance.Endpoint) {
	if endpoint != nil {
		endpoint.Release()
	}
}

// sendAttempt chooses an endpoint and sends the request to it once. The endpoint
// returned, if any, is to be released.
func (c *call) sendAttempt(avoid *balance.Endpoint) (*balance.Endpoint, attemptResult) {
	endpoints := c.route.service.endpoints.Load()
	endpoint, err := endpoints.Acquire(c.handler.now(), rand.Uint64(), avoid)
	if err != nil {
		return nil, attemptResult{outcome: outcome.NotRun, err: err}
	}
	c.interim = forward.NewInterim(c.writer, c.credentialHeader())
	response, err := endpoint.Pool.RoundTrip(c.outgoing(endpoint))
	c.interim.Stop()
	if err != nil {
		return endpoint, c.classifyError(endpoint, err)
	}
	return endpoint, c.classifyResponse(endpoint, response)
}

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

// endedByCaller reports whether the exchange ended because the caller left or
// allowed too little time: that says nothing about the endpoint.
func (c *call) endedByCaller() bool {
	return c.request.Context().Err() != nil || (c.deadlineFromCaller && c.context.Err() != nil)
}

// timedOutByCaller reports whether a reply says only that the caller allowed too
// little time.
func (c *call) timedOutByCaller(status int) bool {
	return c.deadlineFromCaller && status == http.StatusGatewayTimeout
}

// classifyResponse tells an answer of the back end from a reply of the mesh.
func (c *call) classifyResponse(endpoint *balance.Endpoint, response *http.Response) attemptResult {
	now := c.handler.now()
	if load, valid := parseLoad(response.Header.Get(outcome.HeaderLoad)); valid {
		endpoint.RecordLoad(now, load)
	}
	switch declared := outcome.Outcome(response.Header.Get(outcome.HeaderOutcome)); declared {
	case "":
		return attemptResult{response: response}
	case outcome.NotRun:
		c.recordRefusal(endpoint, response)
		return attemptResult{outcome: outcome.NotRun, response: response}
	default:
		if !c.timedOutByCaller(response.StatusCode) {
			c.recordFailure(endpoint, balance.FailureIncomplete)
		}
		return attemptResult{outcome: outcome.Unknown, response: response}
	}
}

// recordRefusal tells a full endpoint from one whose back end is gone.
func (c *call) recordRefusal(endpoint *balance.Endpoint, response *http.Response) {
	if strings.Contains(response.Header.Get(outcome.HeaderError), "step="+string(outcome.StepConnect)) {
		c.recordFailure(endpoint, balance.FailureUnreachable)
		return
	}
	endpoint.RecordShed(c.handler.now())
}

func (c *call) recordFailure(endpoint *balance.Endpoint, kind balance.FailureKind) {
	endpoints := c.route.service.endpoints.Load()
	if endpoints.RecordFailure(c.handler.now(), endpoint, kind) {
		c.handler.options.Observer.Ejected(endpoint.ID)
		c.handler.options.Logger.Warn("endpoint ejected",
			zap.String("service", endpoint.ID.Service), zap.String("endpoint", endpoint.ID.Name),
			zap.String("peer", endpoint.Address))
	}
}

// recordResponse takes a whole answer as a sign of health, unless its status
// says that the back end could not do its work. Other errors may be the
// request's own fault.
func (c *call) recordResponse(endpoint *balance.Endpoint, status int) {
	switch {
	case c.timedOutByCaller(status):
	case status == http.StatusBadGateway, status == http.StatusServiceUnavailable, status == http.StatusGatewayTimeout:
		c.recordFailure(endpoint, balance.FailureIncomplete)
	default:
		endpoint.RecordSuccess()
	}
}

// parseLoad reads "<in flight>/<slots>".
func parseLoad(text string) (load int, valid bool) {
	before, _, found := strings.Cut(text, "/")
	if !found {
		return 0, false
	}
	load, err := strconv.Atoi(before)
	return load, err == nil && load >= 0
}

// outgoing builds the request to the chosen endpoint's proxy.
func (c *call) outgoing(endpoint *balance.Endpoint) *http.Request {
	outgoing := forward.NewRequest(c.context, c.request, endpoint.Address, c.attemptHeader(), c.interim)
	c.body.Attach(outgoing)
	return outgoing
}

// attemptHeader returns the headers with the markers of this attempt. Every
// attempt has a map of its own: an earlier one may still be in use.
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

// baseHeader is the caller's header without markers from outside, with the
// credential and the markers that are the same for every attempt.
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

// maxMarkers is how many headers a proxy adds at most.
const maxMarkers = 8

// headerValueTrue is shared and never modified.
var headerValueTrue = []string{"true"}

// finishWithFailure ends the call after its last attempt. A refusal of the endpoint's
// proxy is passed on whole, since it may carry the back end's own words.
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

// errEarlierAttemptUnknown ends a call that may have been run by an earlier attempt than
// the one refused.
var errEarlierAttemptUnknown = errors.New("an earlier attempt may have been run, the last one was refused")

// replaceRefusal keeps a refusal from a caller whose call may have been run by an
// earlier attempt: its words would say that it was not.
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

func (c *call) forwardRefusal(endpoint *balance.Endpoint, response *http.Response, errorHeader string) *outcome.Failure {
	defer release(endpoint)
	c.status = response.StatusCode
	c.sanitizeResponse(response)
	response.Header.Set(outcome.HeaderError, errorHeader)
	if c.outcome == outcome.NotRun {
		outcome.SuggestRetry(response.Header, transientRetryAfter)
	}
	c.body.CloseUnlessRead(c.writer.Header())
	if err := forward.WriteReply(c.context, c.writer, response, c.credentialHeader()); err != nil {
		c.abort(endpoint, err)
	}
	c.recordEnd()
	return nil
}

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

// sendFailure sends a failure that the proxy answers itself.
func (c *call) sendFailure(failure *outcome.Failure) {
	c.status, c.outcome = failure.Status, failure.Outcome
	defer forward.PrepareOwnReply(c.context, c.writer, c.request, c.body)()
	if failure.Peer == "" && c.route != nil {
		failure.Peer = c.route.service.name
	}
	c.logFailure(failure)
	failure.WriteTo(c.writer)
	c.recordEnd()
}

// abort ends the caller's connection: a part of an answer must not look whole.
func (c *call) abort(endpoint *balance.Endpoint, cause error) {
	c.outcome = outcome.Unknown
	c.logFailure(&outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepBody, Peer: endpoint.Address, Cause: cause})
	c.recordEnd()
	panic(http.ErrAbortHandler)
}

func (c *call) recordEnd() {
	name := ""
	if c.route != nil {
		name = c.route.service.name
	}
	c.handler.options.Observer.CallEnded(name, c.status, c.outcome, time.Since(c.started))
}

func (c *call) logFailure(failure *outcome.Failure) {
	// Checking first leaves out the fields of a message that is not written.
	entry := c.handler.options.Logger.Check(zap.WarnLevel, "call failed")
	if entry == nil {
		return
	}
	entry.Write(append(failure.Fields(c.id), zap.Int("attempt", c.attempt))...)
}
