package outbound

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/balance"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/limit"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/proxy/retry"
	"github.com/kestrelstream/kestrelstream/internal/proxy/table"
)

// transientRetryAfter is the Retry-After value of refusals whose cause is temporary.
const transientRetryAfter = time.Second

// Causes of refusals, which are part of the response.
var (
	errDraining           = errors.New("the proxy is leaving")
	errNoSnapshot         = errors.New("no configuration is in force yet")
	errUpgradeUnsupported = errors.New("upgrades are not carried")
	errHTTPVersion        = errors.New("HTTP/1.1 or later is needed to prove an answer whole")
	errNoRoute            = errors.New("no route for this host, path and method")
	errRouteFull          = errors.New("the route's limit of requests in flight is reached")
	errDeadlinePassed     = errors.New("the deadline passed before work began")
)

// call is the state of one request of a caller. It is not safe for concurrent use.
type call struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	started time.Time

	context context.Context
	route   *route
	body    *forward.Body
	path    string
	id      string
	header  http.Header
	interim *forward.Interim
	// attempt is the number of the current attempt, counted from one.
	attempt         int
	retriedUpstream bool
	// deadlineFromCaller is set if the deadline that the caller set is earlier than that of the
	// service.
	deadlineFromCaller bool
	repeatable         bool
	// mayHaveRun is set once an attempt has an unknown outcome. A later refusal then does not prove
	// that the call was not run.
	mayHaveRun bool
	status     int
	outcome    outcome.Outcome
}

// serve processes the request. It returns nil if a response was sent to the caller, else the
// failure that is still to be sent.
func (c *call) serve() *outcome.Failure {
	configuration := c.handler.current.Load()
	if configuration == nil {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepSnapshot, transientRetryAfter, errNoSnapshot)
	}
	if failure := c.validate(); failure != nil {
		return failure
	}
	matched, found := configuration.table.Match(c.request.Method, c.request.Host, c.path)
	if !found {
		return outcome.Refusal(http.StatusNotFound, outcome.StepMatch, 0, errNoRoute)
	}
	c.route = matched
	c.repeatable = matched.isRepeatable(c.request.Method)
	if !matched.tryAcquire() {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, transientRetryAfter, errRouteFull)
	}
	defer matched.release()
	timeout, failure := c.effectiveTimeout()
	if failure != nil {
		return failure
	}
	var cancel context.CancelFunc
	c.context, cancel = context.WithDeadline(c.request.Context(), c.started.Add(timeout))
	defer cancel()
	return c.admit()
}

// validate rejects requests that the proxy does not support.
func (c *call) validate() *outcome.Failure {
	if forward.WantsUpgrade(c.request) {
		return outcome.Refusal(http.StatusNotImplemented, outcome.StepRequest, 0, errUpgradeUnsupported)
	}
	if !c.request.ProtoAtLeast(1, 1) {
		return outcome.Refusal(http.StatusHTTPVersionNotSupported, outcome.StepRequest, 0, errHTTPVersion)
	}
	path, err := table.CheckPath(c.request.URL)
	if err != nil {
		return outcome.Refusal(http.StatusBadRequest, outcome.StepRequest, 0, err)
	}
	c.path = path
	return nil
}

// effectiveTimeout returns the timeout of the service, or that of the caller if it is shorter.
// Headers of the caller are trusted only where they restrict the call: to less time or fewer
// attempts.
func (c *call) effectiveTimeout() (time.Duration, *outcome.Failure) {
	timeout := c.route.service.deadline
	if text := c.request.Header.Get(outcome.HeaderAttempt); text != "" {
		c.retriedUpstream = text != "1"
	}
	text := c.request.Header.Get(outcome.HeaderDeadline)
	if text == "" {
		return timeout, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return timeout, nil
	}
	if milliseconds <= 0 {
		return 0, outcome.Refusal(http.StatusGatewayTimeout, outcome.StepDeadline, transientRetryAfter, errDeadlinePassed)
	}
	if milliseconds < timeout.Milliseconds() {
		timeout = time.Duration(milliseconds) * time.Millisecond
		c.deadlineFromCaller = true
	}
	return timeout, nil
}

// admit reads a short body, acquires a slot of the service and runs the attempts. Requests that
// would be refused anyway are refused before their body is read.
func (c *call) admit() *outcome.Failure {
	service := c.route.service
	if service.endpoints.Load().Len() == 0 {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepChoose, transientRetryAfter, balance.ErrNoEndpoint)
	}
	if service.shared.limiter.Full() {
		return c.limitRefusal(limit.ErrQueueFull)
	}
	body, err := forward.ReadBody(c.context, c.writer, c.request, c.handler.options.MaximumBodyBytes, c.credentialHeader())
	if err != nil {
		return c.bodyRefusal(err)
	}
	c.body = body
	defer body.UnblockOnDone(c.context, c.writer)()
	if err := service.shared.limiter.Acquire(c.context); err != nil {
		return c.limitRefusal(err)
	}
	defer service.shared.limiter.Release()
	service.shared.budget.Deposit()
	c.id = c.handler.callPrefix + strconv.FormatUint(c.handler.callCount.Add(1), 36)
	return c.runAttempts()
}

// bodyRefusal returns the refusal for an error of reading the request's body.
func (c *call) bodyRefusal(err error) *outcome.Failure {
	switch {
	case errors.Is(err, forward.ErrBodyTooLarge):
		return outcome.Refusal(http.StatusRequestEntityTooLarge, outcome.StepRequest, 0, err)
	case c.context.Err() != nil:
		return outcome.Refusal(http.StatusRequestTimeout, outcome.StepRequest, 0, err)
	default:
		return outcome.Refusal(http.StatusBadRequest, outcome.StepRequest, 0, err)
	}
}

// limitRefusal returns the refusal for an error of the service's limiter.
func (c *call) limitRefusal(err error) *outcome.Failure {
	if errors.Is(err, limit.ErrDeadlineExceeded) {
		return outcome.Refusal(http.StatusGatewayTimeout, outcome.StepDeadline, transientRetryAfter, err)
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, transientRetryAfter, err)
}

// runAttempts sends attempts until a response is forwarded or no retry is allowed.
func (c *call) runAttempts() *outcome.Failure {
	var avoid *balance.Endpoint
	for c.attempt = 1; ; c.attempt++ {
		endpoint, result := c.sendAttempt(avoid)
		if result.outcome == "" {
			return c.forwardResponse(endpoint, result.response)
		}
		c.mayHaveRun = c.mayHaveRun || result.outcome != outcome.NotRun
		if !c.prepareRetry(result.outcome) {
			return c.finishWithFailure(endpoint, result)
		}
		result.discard()
		release(endpoint)
		avoid = endpoint
	}
}

// prepareRetry decides whether to retry, spends from the retry budget and waits for the backoff. It
// returns false if no retry is allowed or if the deadline passes during the wait.
func (c *call) prepareRetry(last outcome.Outcome) bool {
	deadline, _ := c.context.Deadline()
	decision := c.route.service.policy.Decide(retry.Attempt{
		Number:          c.attempt,
		Outcome:         last,
		Repeatable:      c.repeatable,
		RetriedUpstream: c.retriedUpstream,
		BodyConsumed:    !c.body.Reclaim(),
		Remaining:       time.Until(deadline),
		Random:          rand.Uint64(),
	})
	if !decision.Retry || c.context.Err() != nil || !c.route.service.shared.budget.Withdraw() {
		return false
	}
	c.handler.options.Observer.Retried(c.route.service.name)
	return c.sleep(decision.Wait)
}

// sleep waits and reports whether the call's deadline has not passed meanwhile.
func (c *call) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.context.Done():
		return false
	}
}

// forwardResponse sends the response to the caller. It aborts the caller's connection if the
// response is truncated.
func (c *call) forwardResponse(endpoint *balance.Endpoint, response *http.Response) *outcome.Failure {
	defer release(endpoint)
	c.status = response.StatusCode
	c.sanitizeResponse(response)
	c.body.CloseUnlessRead(c.writer.Header())
	err := forward.WriteReply(c.context, c.writer, response, c.credentialHeader())
	if err == nil {
		c.recordResponse(endpoint, response.StatusCode)
		c.recordEnd()
		return nil
	}
	if !errors.Is(err, forward.ErrReplyWriteFailed) && !c.endedByCaller() {
		c.recordFailure(endpoint, balance.FailureIncomplete)
	}
	c.abort(endpoint, err)
	return nil
}

// sanitizeResponse removes hop-by-hop headers and headers of the mesh.
func (c *call) sanitizeResponse(response *http.Response) {
	forward.RemoveHopByHop(response.Header)
	outcome.StripMarkers(response.Header)
	if c.outcome != "" {
		response.Header.Set(outcome.HeaderOutcome, string(c.outcome))
	}
}

// credentialHeader returns the name of the header that carries the credential, or the empty string.
// The header is removed from responses, so that a back end that echoes it does not disclose the
// credential.
func (c *call) credentialHeader() string {
	if c.route.secret == nil {
		return ""
	}
	return c.route.secret.header
}
