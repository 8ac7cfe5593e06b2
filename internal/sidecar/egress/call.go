package egress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// Causes of failures.
var (
	errNoTable    = errors.New("no configuration is in force yet")
	errNoRoute    = errors.New("no route for this host and path")
	errStopping   = errors.New("the node is leaving")
	errNoEndpoint = errors.New("no back end of the service is known")
	errLate       = errors.New("the deadline passed before work began")
	errUpgrade    = errors.New("upgrades are not carried")
	errHeader     = errors.New("the header is longer than limits.headerBytes")
	errBudget     = errors.New("the budget of repeats is spent")
	errAttempts   = errors.New("the route's attempts are spent")
	errHeld       = errors.New("the request ends the back ends that run it")
	errCrashes    = errors.New("back ends ended under the request")
)

const (
	// defaultDeadline bounds a request when neither caller nor route does.
	defaultDeadline = 30 * time.Second
	// minimumRetryAfter is the shortest wait that a refused caller is told.
	minimumRetryAfter = 50 * time.Millisecond
	// defaultRetryAfter is told when nothing is known of the load.
	defaultRetryAfter = 150 * time.Millisecond
	// unlimitedBody stands for a configuration without a bound.
	unlimitedBody = int64(1) << 40
)

// call is one request of a caller. It is used by one goroutine.
type call struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	started time.Time

	table *route.Table
	route *route.CompiledRoute
	// tenant is the one whose key the caller has; nil without one.
	tenant *route.Tenant
	// tokens are the request's places within its tenant's limit, one for each run that it may need,
	// those that end first in front.
	tokens []lending.Token
	// boughtAgain is how many more runs were paid for with tokens that the node held.
	boughtAgain int
	service     string
	context     context.Context
	deadline    time.Time
	// callerTime is how long the caller itself waits; the route's time-out does not
	// shorten it.
	callerTime time.Duration
	body       *forward.Body
	// visits are the nodes that the request was sent to.
	visits visits
	// runs counts the sends that may have reached a back end, crashes those under which
	// one ended.
	runs, crashes int
	// results delivers the sends that ended; over is closed when nobody takes
	// them any more.
	results chan *attempt
	over    chan struct{}
	// moves counts how often a node gave the request back since it is to go elsewhere.
	moves int
	// behind counts the sends whose node seems silent, which go on.
	behind int
	// returning: the caller was refused before and has come back.
	returning bool
	// nested: the back end beside the node makes the call while it works on another one.
	nested bool
	// repeated is how likely it is that the run which makes the call is a repeat.
	repeated float64
	// part is which part of the tenant's requests is within its share, overShare: this one is not.
	part      float64
	overShare bool
	// rejectedWithRoom: the last send was rejected by a back end that had slots free.
	rejectedWithRoom bool
	// mayHaveRun: a send ended with an unknown outcome.
	mayHaveRun bool

	status  int
	failure *outcome.Failure
}

// serve carries the request through. A nil result means that the caller has
// its answer; a failure is still to be sent.
func (c *call) serve() *outcome.Failure {
	c.table = c.handler.options.Table()
	if c.table == nil {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepSnapshot, defaultRetryAfter, errNoTable)
	}
	if c.handler.refuses(c.started) {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, defaultRetryAfter, errStopping)
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
	if failure := c.bound(); failure != nil {
		return failure
	}
	var cancel context.CancelFunc
	c.context, cancel = clock.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(c.handler.cutting, cancel)()
	return c.send()
}

// heldRetryAfter is told a caller whose request is held back: nothing that it could wait
// for will change that.
const heldRetryAfter = time.Minute

// heldBack refuses a request that ends the back ends that run it, or returns nil.
func (c *call) heldBack() *outcome.Failure {
	quarantine := c.handler.options.Quarantine
	if quarantine.Idle() || !quarantine.Holds(c.print()) {
		return nil
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepQuarantine, 0, errHeld)
}

// print identifies what the request asks for.
func (c *call) print() fingerprint.Fingerprint {
	return fingerprint.Of(c.request, c.handler.options.Caller(), c.body)
}

// headerBytes is the length of the request's header as it was sent, line ends
// included.
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

// bound sets the deadline: the caller's, at most the route's time-out.
func (c *call) bound() *outcome.Failure {
	limit := defaultDeadline
	c.callerTime = defaultDeadline
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	text := c.request.Header.Get(c.handler.options.Vocabulary.Deadline)
	if asked, valid := hop.ParseMilliseconds(text); valid {
		c.returning = c.handler.patience(c.route.Name).returns(asked)
		limit = min(limit, asked)
		c.callerTime = asked
		if known := c.handler.options.Nested; known != nil {
			c.nested = known.Nested(c.route.Name, c.started.Add(asked), c.tenant != nil, c.started)
			if c.nested {
				c.repeated = known.Repeated(c.started.Add(asked))
			}
		}
	}
	if limit <= 0 {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDeadline, minimumRetryAfter, errLate)
	}
	c.deadline = c.started.Add(limit)
	return nil
}

// send reads the body and sends the request until it is answered or given up.
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
	if failure := c.heldBack(); failure != nil {
		return failure
	}
	if failure := c.spend(); failure != nil {
		return failure
	}
	defer c.returnUnused()
	c.drawShare()
	c.results, c.over = make(chan *attempt), make(chan struct{})
	defer close(c.over)
	c.handler.options.RetryBudget.RecordRequest(c.service, c.repeated)
	for {
		result := c.visit()
		if result.response != nil {
			return c.pass(result)
		}
		if result.moved() {
			again, failure := c.routeAnew(result)
			if again {
				continue
			}
			if failure != nil {
				return failure
			}
		} else if c.again(result) {
			continue
		}
		if late, answered := c.awaitBehind(); answered {
			return c.pass(late)
		}
		return c.giveUp(result.failure)
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

// pass sends the answer of a back end on.
func (c *call) pass(result result) *outcome.Failure {
	response := result.response
	c.status = response.StatusCode
	forward.RemoveHopByHop(response.Header)
	outcome.StripMarkers(response.Header)
	c.body.CloseUnlessRead(c.writer.Header())
	if err := forward.WriteReply(c.context, c.writer, response, ""); err != nil {
		c.failure = &outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepBody, Peer: result.target.address, Cause: err}
		c.ended()
		panic(http.ErrAbortHandler)
	}
	return nil
}

// giveUp makes the final failure of the last one.
func (c *call) giveUp(last *outcome.Failure) *outcome.Failure {
	failure := *last
	if c.mayHaveRun {
		failure.Outcome = outcome.Unknown
	}
	c.unspent(&failure)
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

// reply sends a failure that the node answers itself.
func (c *call) reply(failure *outcome.Failure) {
	c.status, c.failure = failure.Status, failure
	defer forward.PrepareOwnReply(c.context, c.writer, c.request, c.body)()
	header := c.writer.Header()
	if wait := c.comeBackAfter(failure); wait > 0 {
		header["Retry-After"] = []string{hop.FormatSeconds(wait)}
	}
	if names := &c.handler.options.Vocabulary; c.request.Header.Get(names.RequestID) != "" {
		header[names.RequestID] = []string{c.request.Header.Get(names.RequestID)}
	}
	header["Content-Length"] = []string{"0"}
	c.writer.WriteHeader(failure.Status)
}

// returningShare is the part of its remaining time after which a caller that was refused
// again comes back: by the queue's time it came back to the queue that had just refused it
// twice. Callers heed a third at most. With demand near capacity a tenth fewer were refused
// again, and as many were served in time (docs/design/0010-the-shifted-work.md). It does not hold for
// who was rejected by a back end with slots free: no queue gets shorter while it waits. Where back ends
// reject 0.55 of what they get, a third attempt after 1.8 s of 6 s comes 0.8 s too late for a target
// latency of 1 s, and 0.12 of the requests came so (TestWhoIsRejectedByChance has the load).
const returningShare = 0.3

// comeBackAfter is how long the caller is told to wait, zero for nothing.
func (c *call) comeBackAfter(failure *outcome.Failure) time.Duration {
	switch {
	case failure.Step == outcome.StepQuarantine && failure.Outcome == outcome.NotRun:
		return heldRetryAfter
	case failure.Step == outcome.StepQuota || failure.Step == outcome.StepLimit && failure.Outcome == outcome.NotRun:
		return failure.RetryAfter // sooner there is no room
	case failure.RetryAfter > 0:
		return c.retryAfter(failure.RetryAfter)
	}
	return 0
}

// retryAfter keeps the wait within what the caller still has.
func (c *call) retryAfter(wanted time.Duration) time.Duration {
	wait := max(wanted, minimumRetryAfter)
	if c.returning && !c.rejectedWithRoom {
		left := c.callerTime - clock.Since(c.started)
		return max(wait, time.Duration(float64(left)*returningShare))
	}
	if !c.deadline.IsZero() {
		const useful = 4
		wait = min(wait, max(clock.Until(c.deadline)/useful, 0))
	}
	return wait
}
