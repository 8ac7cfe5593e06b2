package egress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/pipelining"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// Causes of failures.
var (
	errNoTable        = errors.New("no configuration is in force yet")
	errNoRoute        = errors.New("no route for this host and path")
	errStopping       = errors.New("the node is shutting down")
	errNoEndpoint     = errors.New("no back end of the service is known")
	errDeadlinePassed = errors.New("the deadline passed before work began")
	errUpgrade        = errors.New("protocol upgrades are not supported")
	errHeader         = errors.New("the header is longer than limits.headerBytes")
	errRetryBudget    = errors.New("the budget of repeats is spent")
	errAttempts       = errors.New("the route's attempts are exhausted")
	errQuarantined    = errors.New("the request ends the back ends that run it")
	errUnprovenStatus = errors.New("the reply's status means that the request did not run, but no node says so")
	errCrashes        = errors.New("back ends crashed while they processed the request")
)

const (
	// defaultDeadline applies when neither the caller nor the route sets a deadline.
	defaultDeadline = 30 * time.Second
	// minimumRetryAfter is the shortest Retry-After that is sent.
	minimumRetryAfter = 50 * time.Millisecond
	// defaultRetryAfter is sent when the load is unknown.
	defaultRetryAfter = 150 * time.Millisecond
	// retryAfterParts bounds a Retry-After to one of so many equal parts of the caller's time, so that
	// there is time left for another attempt.
	retryAfterParts = 4
	// unlimitedBody stands for a configuration without a limit.
	unlimitedBody = int64(1) << 40
)

// call handles one request of a caller. Only one goroutine uses it.
type call struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	started time.Time

	table *route.Table
	route *route.CompiledRoute
	// tenant is the tenant that the caller's API key belongs to; nil without one.
	tenant *route.Tenant
	// tokens are the request's tokens of its tenant's rate limit, one for each run that it may
	// need, ordered by expiry.
	tokens []lending.Token
	// heldTokenRuns is the number of further runs paid for with tokens that the node already held.
	heldTokenRuns int
	service       string
	context       context.Context
	deadline      time.Time
	// callerTime is the time that the caller itself waits. The route's timeout does not shorten it.
	callerTime time.Duration
	body       *forward.Body
	// attempts records the attempts, one for each peer that the request was sent to.
	attempts attempts
	// runs counts the attempts that may have reached a back end, crashes those during which a back
	// end crashed.
	runs, crashes int
	// results delivers finished attempts; done is closed when nothing receives them any more.
	results chan *attempt
	done    chan struct{}
	// reroutes counts how often a peer returned the request because its route has moved.
	reroutes int
	// detached counts the attempts that continue although their peer does not answer probes.
	detached int
	// returning: the caller was refused before and has come back.
	returning bool
	// nested: the local back end makes the call while it processes another request.
	nested bool
	// retryProbability is the probability that the run which makes this call is itself a retry.
	retryProbability float64
	// shareFraction is the fraction of the tenant's requests that are within its share; overShare:
	// this one is above it.
	shareFraction float64
	overShare     bool
	// rejectedWithFreeSlots: the last attempt was rejected by a back end that had free slots.
	rejectedWithFreeSlots bool
	// mayHaveRun: the outcome of an attempt is unknown.
	mayHaveRun bool

	status  int
	failure *outcome.Failure
}

// serve handles the request. It returns nil when the response has been written; otherwise the
// failure that is still to be sent.
func (c *call) serve() *outcome.Failure {
	c.table = c.handler.options.Table()
	if c.table == nil {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepSnapshot, defaultRetryAfter, errNoTable)
	}
	if c.refusedByStop() {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, c.stopRetryAfter(), errStopping)
	}
	if forward.WantsUpgrade(c.request) {
		return outcome.Refusal(http.StatusNotImplemented, outcome.StepRequest, 0, errUpgrade)
	}
	if most := c.table.Document().Limits.HeaderBytes; most > 0 && headerBytes(c.request) > most {
		return outcome.Refusal(http.StatusRequestHeaderFieldsTooLarge, outcome.StepRequest, 0, errHeader)
	}
	if failure := c.findRoute(); failure != nil {
		return failure
	}
	if failure := c.setDeadline(); failure != nil {
		return failure
	}
	var cancel context.CancelFunc
	c.context, cancel = clock.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(c.handler.callsContext, cancel)()
	return c.send()
}

// quarantineRetryAfter is the Retry-After of a quarantined request: nothing that the caller could
// wait for changes the decision soon.
const quarantineRetryAfter = time.Minute

// checkQuarantine refuses a quarantined request, one that crashes the back ends that run it.
// Otherwise it returns nil.
func (c *call) checkQuarantine() *outcome.Failure {
	quarantine := c.handler.options.Quarantine
	if quarantine.Idle() || !quarantine.IsQuarantined(c.print()) {
		return nil
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepQuarantine, 0, errQuarantined)
}

// print returns the fingerprint of the request.
func (c *call) print() fingerprint.Fingerprint {
	return fingerprint.Of(c.request, c.handler.options.Caller(), c.body)
}

// headerBytes returns the length of the request's header as it was sent, line ends included.
func headerBytes(r *http.Request) int {
	const (
		lineEnd   = len("\r\n")
		separator = len(": ")
	)
	total := len(r.Method) + len(" ") + len(r.RequestURI) + len(" HTTP/1.1") + lineEnd
	total += len("Host") + separator + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + separator + len(value) + lineEnd
		}
	}
	return total + lineEnd
}

// setDeadline sets the call's deadline: the caller's, bounded by the route's timeout.
func (c *call) setDeadline() *outcome.Failure {
	limit := defaultDeadline
	c.callerTime = defaultDeadline
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	text := c.request.Header.Get(c.handler.options.Vocabulary.Deadline)
	if asked, valid := hop.ParseMilliseconds(text); valid {
		c.returning = c.handler.callerTimeout(c.route.Name).isReturning(asked)
		limit = min(limit, asked)
		c.callerTime = asked
		if known := c.handler.options.Nested; known != nil {
			c.nested = known.Nested(c.route.Name, c.started.Add(asked), c.tenant != nil, c.started)
			if c.nested {
				c.retryProbability = known.Repeated(c.started.Add(asked))
			}
		}
	}
	if limit <= 0 {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDeadline, minimumRetryAfter, errDeadlinePassed)
	}
	c.deadline = c.started.Add(limit)
	return nil
}

// send reads the body and sends the request until it is answered or no attempt is left.
func (c *call) send() *outcome.Failure {
	maximum := c.table.Document().Limits.BodyBytes
	if maximum == 0 {
		maximum = unlimitedBody
	}
	body, err := forward.ReadBody(c.context, c.writer, c.request, maximum, "")
	if err != nil {
		return c.bodyRefusal(err)
	}
	c.body = body
	defer body.UnblockOnDone(c.context, c.writer)()
	c.service = c.route.NextService()
	if failure := c.checkQuarantine(); failure != nil {
		return failure
	}
	if failure := c.takeToken(); failure != nil {
		return failure
	}
	defer c.returnUnusedTokens()
	c.sampleOverShare()
	c.results, c.done = make(chan *attempt), make(chan struct{})
	defer close(c.done)
	c.handler.options.RetryBudget.RecordRequest(c.service, c.retryProbability)
	for {
		result := c.sendOnce()
		if result.response != nil {
			result.failure = c.writeResponse(result)
			if result.failure == nil {
				return nil
			}
		}
		if result.misrouted() {
			retry, failure := c.reroute(result)
			if retry {
				continue
			}
			if failure != nil {
				return failure
			}
		} else if c.retry(result) {
			continue
		}
		if late, answered := c.awaitDetached(); answered {
			result.failure = c.writeResponse(late)
			if result.failure == nil {
				return nil
			}
		}
		if result.failure.Step == outcome.StepLimit && !c.mayHaveRun {
			result.failure.RetryAfter = c.retryAfterLimit(result)
		}
		return c.finalFailure(result.failure)
	}
}

func (c *call) bodyRefusal(err error) *outcome.Failure {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, forward.ErrBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case c.context.Err() != nil:
		status = http.StatusRequestTimeout
	}
	return outcome.Refusal(status, outcome.StepRequest, 0, err)
}

// writeResponse writes a back end's response to the caller. A failure means that the response was cut
// off while it was held, so that the caller has received no part of it.
func (c *call) writeResponse(result result) *outcome.Failure {
	response := result.response
	c.status = response.StatusCode
	forward.RemoveHopByHop(response.Header)
	outcome.StripMarkers(response.Header)
	c.body.CloseUnlessRead(c.writer.Header())
	if err := forward.WriteReply(c.context, c.writer, response, ""); err != nil {
		failure := &outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepBody, Peer: result.target.address, Cause: err}
		if pipelining.Discard(c.writer) {
			c.recordCutOff(result.target, failure)
			return failure
		}
		c.failure = failure
		c.reportEnd()
		panic(http.ErrAbortHandler)
	}
	return nil
}

// recordCutOff records that the response of a peer was cut off after the attempt had ended, and logs
// it: a later attempt may hide the failure.
func (c *call) recordCutOff(peer *target, failure *outcome.Failure) {
	c.attempts.setLatestResult(peer, failure)
	c.handler.options.Logger.Info("response cut off while it was held",
		zap.String("request", c.request.Header.Get(c.handler.options.Vocabulary.RequestID)),
		zap.String("route", c.route.Name), zap.String("peer", failure.Peer), zap.Error(failure.Cause))
}

// finalFailure returns the failure of the call, derived from that of the last attempt.
func (c *call) finalFailure(last *outcome.Failure) *outcome.Failure {
	failure := *last
	if c.mayHaveRun {
		failure.Outcome, failure.Evidence = outcome.Unknown, notrun.Evidence{}
	}
	c.refundIfNotRun(&failure)
	if failure.Outcome == outcome.NotRun {
		failure.Status = http.StatusServiceUnavailable
		return &failure
	}
	failure.RetryAfter = 0
	failure.Status = http.StatusBadGateway
	if errors.Is(c.context.Err(), context.DeadlineExceeded) {
		failure.Status = http.StatusGatewayTimeout
	}
	return &failure
}

// writeFailure sends a failure as the node's own response.
func (c *call) writeFailure(failure *outcome.Failure) {
	c.status, c.failure = failure.Status, failure
	defer forward.PrepareLocalReply(c.context, c.writer, c.request, c.body)()
	header := c.writer.Header()
	if wait := c.retryAfterFor(failure); wait > 0 {
		header["Retry-After"] = []string{hop.FormatSeconds(wait)}
	}
	if names := &c.handler.options.Vocabulary; c.request.Header.Get(names.RequestID) != "" {
		header[names.RequestID] = []string{c.request.Header.Get(names.RequestID)}
	}
	header["Content-Length"] = []string{"0"}
	c.writer.WriteHeader(failure.Status)
}

// returningWaitFraction is the fraction of its remaining time after which a caller that was refused
// again is asked to retry. With a Retry-After from the queue's length it returned to the same queue
// that had just refused it twice (docs/design/0010-the-shifted-work.md). Callers heed a third of
// their remaining time at most. It does not apply to a caller that was rejected by a back end with
// free slots: no queue gets shorter while it waits, and a third attempt after 1.8 s of 6 s comes
// 0.8 s too late for a target latency of 1 s (TestRetryAfterRandomRejection reproduces the load).
const returningWaitFraction = 0.3

// retryAfterFor returns the Retry-After of a failure, zero for none.
func (c *call) retryAfterFor(failure *outcome.Failure) time.Duration {
	switch {
	case failure.Step == outcome.StepQuarantine && failure.Outcome == outcome.NotRun:
		return quarantineRetryAfter
	case failure.Step == outcome.StepQuota || failure.Step == outcome.StepLimit && failure.Outcome == outcome.NotRun:
		return failure.RetryAfter // there is no capacity before
	case failure.RetryAfter > 0:
		return c.clampRetryAfter(failure.RetryAfter)
	}
	return 0
}

// clampRetryAfter bounds the wait by the time that the caller has left.
func (c *call) clampRetryAfter(wanted time.Duration) time.Duration {
	wait := max(wanted, minimumRetryAfter)
	if c.returning && !c.rejectedWithFreeSlots {
		left := c.callerTime - clock.Since(c.started)
		return max(wait, time.Duration(float64(left)*returningWaitFraction))
	}
	if !c.deadline.IsZero() {
		wait = min(wait, max(clock.Until(c.deadline)/retryAfterParts, 0))
	}
	return wait
}
