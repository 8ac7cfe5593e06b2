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

// retrySoon is the Retry-After of refusals that pass by themselves.
const retrySoon = time.Second

// Causes of refusals.
var (
	errDraining    = errors.New("the proxy is leaving")
	errNoSnapshot  = errors.New("no configuration is in force yet")
	errUpgrade     = errors.New("upgrades are not carried")
	errHTTPVersion = errors.New("HTTP/1.1 or later is needed to prove an answer whole")
	errNoRoute     = errors.New("no route for this host, path and method")
	errRouteFull   = errors.New("the route's limit of requests in flight is reached")
	errLateCaller  = errors.New("the deadline passed before work began")
)

// call is one request of a caller. It is used by one goroutine.
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
	// attempt counts from one.
	attempt         int
	retriedUpstream bool
	// hurried: the caller allows less time than the service does.
	hurried    bool
	repeatable bool
	// mayHaveRun: an earlier attempt ended unknown, so that no later refusal
	// makes the call not run.
	mayHaveRun bool
	status     int
	outcome    outcome.Outcome
}

// serve carries the request through. A nil result means that the caller has
// its answer; a failure is still to be sent.
func (c *call) serve() *outcome.Failure {
	configuration := c.handler.current.Load()
	if configuration == nil {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepSnapshot, retrySoon, errNoSnapshot)
	}
	if failure := c.check(); failure != nil {
		return failure
	}
	matched, found := configuration.table.Match(c.request.Method, c.request.Host, c.path)
	if !found {
		return outcome.Refusal(http.StatusNotFound, outcome.StepMatch, 0, errNoRoute)
	}
	c.route = matched
	c.repeatable = matched.repeats(c.request.Method)
	if !matched.enter() {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, retrySoon, errRouteFull)
	}
	defer matched.leave()
	limit, failure := c.timeLimit()
	if failure != nil {
		return failure
	}
	var cancel context.CancelFunc
	c.context, cancel = context.WithDeadline(c.request.Context(), c.started.Add(limit))
	defer cancel()
	return c.admit()
}

// check refuses what the proxy does not carry.
func (c *call) check() *outcome.Failure {
	if forward.WantsUpgrade(c.request) {
		return outcome.Refusal(http.StatusNotImplemented, outcome.StepRequest, 0, errUpgrade)
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

// timeLimit is the service's deadline, cut by the caller's own. The markers of
// a caller are believed only in the safe direction: less time, fewer attempts.
func (c *call) timeLimit() (time.Duration, *outcome.Failure) {
	limit := c.route.service.deadline
	if text := c.request.Header.Get(outcome.HeaderAttempt); text != "" {
		c.retriedUpstream = text != "1"
	}
	text := c.request.Header.Get(outcome.HeaderDeadline)
	if text == "" {
		return limit, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return limit, nil
	}
	if milliseconds <= 0 {
		return 0, outcome.Refusal(http.StatusGatewayTimeout, outcome.StepDeadline, retrySoon, errLateCaller)
	}
	if milliseconds < limit.Milliseconds() {
		limit = time.Duration(milliseconds) * time.Millisecond
		c.hurried = true
	}
	return limit, nil
}

// admit reads a short body, takes a slot of the service and runs the attempts.
// What would be refused anyway is refused before its body is read.
func (c *call) admit() *outcome.Failure {
	service := c.route.service
	if service.endpoints.Load().Len() == 0 {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepChoose, retrySoon, balance.ErrNoEndpoint)
	}
	if service.shared.limiter.Full() {
		return c.limitRefusal(limit.ErrQueueFull)
	}
	body, err := forward.ReadBody(c.context, c.writer, c.request, c.handler.options.MaximumBodyBytes, c.hiddenHeader())
	if err != nil {
		return c.bodyRefusal(err)
	}
	c.body = body
	defer body.UnblockOnDone(c.context, c.writer)()
	if err := service.shared.limiter.Acquire(c.context); err != nil {
		return c.limitRefusal(err)
	}
	defer service.shared.limiter.Release()
	service.shared.budget.First()
	c.id = c.handler.callPrefix + strconv.FormatUint(c.handler.callCount.Add(1), 36)
	return c.attempts()
}

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

func (c *call) limitRefusal(err error) *outcome.Failure {
	if errors.Is(err, limit.ErrDeadlineExceeded) {
		return outcome.Refusal(http.StatusGatewayTimeout, outcome.StepDeadline, retrySoon, err)
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, retrySoon, err)
}

// attempts repeats until an answer is passed on or a failure is final.
func (c *call) attempts() *outcome.Failure {
	var avoid *balance.Endpoint
	for c.attempt = 1; ; c.attempt++ {
		tried, result := c.try(avoid)
		if result.outcome == "" {
			return c.pass(tried, result.response)
		}
		c.mayHaveRun = c.mayHaveRun || result.outcome != outcome.NotRun
		if !c.again(result.outcome) {
			return c.giveUp(tried, result)
		}
		result.discard()
		release(tried)
		avoid = tried
	}
}

// again decides on another attempt and waits for it.
func (c *call) again(last outcome.Outcome) bool {
	deadline, _ := c.context.Deadline()
	decision := c.route.service.policy.Decide(retry.Attempt{
		Number:          c.attempt,
		Outcome:         last,
		Repeatable:      c.repeatable,
		RetriedUpstream: c.retriedUpstream,
		BodySpent:       c.body.Spent(),
		Remaining:       time.Until(deadline),
		Random:          rand.Uint64(),
	})
	if !decision.Again || c.context.Err() != nil || !c.route.service.shared.budget.Spend() {
		return false
	}
	c.handler.options.Observer.Retried(c.route.service.name)
	return c.sleep(decision.Wait)
}

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

// pass sends the answer to the caller, or aborts the caller's connection when
// the answer breaks off.
func (c *call) pass(from *balance.Endpoint, response *http.Response) *outcome.Failure {
	defer release(from)
	c.status = response.StatusCode
	c.cleanReply(response)
	c.body.CloseUnlessRead(c.writer.Header())
	err := forward.WriteReply(c.context, c.writer, response, c.hiddenHeader())
	if err == nil {
		c.observeWhole(from, response.StatusCode)
		c.ended()
		return nil
	}
	if !errors.Is(err, forward.ErrCallerGone) && !c.endedByCaller() {
		c.observeBroken(from, balance.FailureIncomplete)
	}
	c.abort(from, err)
	return nil
}

// cleanReply removes what concerns one hop or the mesh.
func (c *call) cleanReply(response *http.Response) {
	forward.RemoveHopByHop(response.Header)
	outcome.StripMarkers(response.Header)
	if c.outcome != "" {
		response.Header.Set(outcome.HeaderOutcome, string(c.outcome))
	}
}

// hiddenHeader names the header that carries the credential; a back end that
// echoes it must not give it away.
func (c *call) hiddenHeader() string {
	if c.route.secret == nil {
		return ""
	}
	return c.route.secret.header
}
