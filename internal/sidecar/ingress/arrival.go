package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/admission"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// Causes of refusals.
var (
	errNoEndpoint      = errors.New("no back end has registered")
	errWrongService    = errors.New("the back end belongs to another service")
	errDraining        = errors.New("the back end is leaving")
	errNoCaller        = errors.New("the request was not sent by a node")
	errVersionRejected = errors.New("the rollout sends no requests to the back end's version")
	errMoved           = errors.New("a newer configuration routes the request to another service")
	errStopping        = errors.New("the node is stopping")
	errLink            = errors.New("the link has no room for the body in time")
	errEvacuated       = errors.New("the zone is being evacuated")
)

// initialReadLimit is the number of bytes that are read of a body that the caller's node sends
// after a 100 Continue, before the request goes to the back end.
const initialReadLimit = 64 << 10

// arrival is one request from a node. It is used by a single goroutine, except for print.
type arrival struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	started time.Time
	waited  time.Duration
	// reported is the metadata that the caller's node sent.
	reported hop.Request
	endpoint *roster.Endpoint
	deadline time.Time
	context  context.Context
	// expectsContinue: the caller's node waits for a 100 Continue before it sends the body.
	expectsContinue bool
	// body, and sent, the time of the first send to the back end, are set before the request is
	// active.
	body *forward.Body
	sent time.Time
	// sends counts the sends to the back end.
	sends int
	// cachedPrint is the fingerprint of the request, nil until it is first needed.
	cachedPrint atomic.Pointer[fingerprint.Fingerprint]
	// duplicateCrash: the back end's process ended, and another request has already reported the
	// crash.
	duplicateCrash bool
	// countedInShare: the request was offered to the queue and counts against its tenant's share.
	countedInShare bool
	// limited is the refusal by the back end's rate limit, nil if there was none.
	limited *admission.RateLimitError
	// onTrial: the request is suspected of crashing back ends and holds the handler's trial.
	onTrial bool
}

// serve processes the request. A nil result means that it was answered.
func (a *arrival) serve() *outcome.Failure {
	if failure := a.check(); failure != nil {
		return failure
	}
	var cancel context.CancelFunc
	a.context, cancel = clock.WithDeadline(a.request.Context(), a.deadline)
	defer cancel()
	defer a.endTrial()
	a.expectsContinue = len(a.request.Header["Expect"]) > 0
	body, failure := a.bodyBeforeAdmission()
	if failure != nil {
		return failure
	}
	if body != nil {
		a.body = body
		if failure := a.checkQuarantine(); failure != nil {
			return failure
		}
	}
	slot, failure := a.admit()
	if failure != nil {
		return failure
	}
	served, sent := false, false
	defer func() {
		if !sent {
			slot.Refund()
			return
		}
		slot.Release(served)
	}()
	if failure := a.checkWarmup(); failure != nil {
		return failure
	}
	if body == nil {
		// The first read makes the server send 100 Continue. The request is run only if the whole
		// body, up to the limit, arrives.
		read, err := a.readContinued(initialReadLimit)
		if err != nil {
			return outcome.Refusal(http.StatusBadRequest, outcome.StepRequest, 0, err)
		}
		body = read
	}
	a.body = body
	// Other nodes may have reported a crash in the meantime.
	if failure := a.checkQuarantine(); failure != nil {
		return failure
	}
	if forward.CallerDisconnected(a.context) {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, 0, forward.ErrCallerDisconnected)
	}
	if failure := a.checkStop(); failure != nil {
		return failure
	}
	a.sent, sent = clock.Now(), true
	a.handler.activeRequests.begin(a)
	defer a.handler.activeRequests.end(a)
	if work := a.handler.options.ActiveRequests; work != nil {
		defer work.Begin(a.deadline, a.reported.Repeated)()
	}
	run := a.handler.pace.Begin(a.reported.ExpectedServiceTime, a.sent)
	defer a.handler.pace.End(run)
	defer a.observeLongest()
	failure = a.exchange(body)
	served = failure == nil
	return failure
}

// bodyBeforeAdmission returns the body if it is read before a slot is taken, and nil if the
// caller's node waits for the slot.
func (a *arrival) bodyBeforeAdmission() (*forward.Body, *outcome.Failure) {
	switch {
	case a.buffersBeforeAdmission():
		return a.receiveBody()
	case a.expectsContinue:
		return nil, nil
	}
	body, err := a.readBody()
	if err != nil {
		return nil, outcome.Refusal(http.StatusBadRequest, outcome.StepRequest, 0, err)
	}
	return body, nil
}

func (a *arrival) check() *outcome.Failure {
	line := a.request.Header.Get(hop.HeaderHop)
	if line == "" {
		return outcome.Refusal(http.StatusForbidden, outcome.StepRequest, 0, errNoCaller)
	}
	reported, err := hop.ParseRequest(line)
	if err != nil {
		return outcome.Refusal(http.StatusBadRequest, outcome.StepRequest, 0, err)
	}
	a.reported = reported
	if a.handler.rejecting.Load() {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, defaultRetryAfter, errStopping)
	}
	a.endpoint = a.handler.options.Endpoint()
	if a.endpoint == nil {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepIdentity, defaultRetryAfter, errNoEndpoint)
	}
	if a.endpoint.Service != reported.Service {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepIdentity, defaultRetryAfter, errWrongService)
	}
	if a.misrouted() {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepMoved, defaultRetryAfter, errMoved)
	}
	if a.handler.drainExpired(a.endpoint.Incarnation()) {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, defaultRetryAfter, errDraining)
	}
	if evacuated := a.handler.options.Evacuated; evacuated != nil && evacuated() {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, defaultRetryAfter, errEvacuated)
	}
	if judge := a.handler.options.Judge; judge != nil && judge.Refuses() {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, defaultRetryAfter, errVersionRejected)
	}
	a.deadline = a.started.Add(reported.Remaining)
	if failure := a.checkStop(); failure != nil {
		return failure
	}
	a.applyPeerLimit()
	return nil
}

// misrouted reports whether the request was routed by an older configuration than the one in force
// here, which routes it to another service. Such a request is rejected without being run, and the
// caller's node learns that its configuration is old. Otherwise a node with an old configuration
// would keep sending requests to a service that they no longer belong to.
func (a *arrival) misrouted() bool {
	version, err := strconv.ParseUint(a.request.Header.Get(hop.HeaderVersion), 10, 64)
	if err != nil || a.handler.options.RoutesTo == nil {
		return false // nodes of the previous release do not send it
	}
	return !a.handler.options.RoutesTo(a.request, a.endpoint.Service, version)
}

// checkStop refuses a request that may not be done before the node stops. It has not run. The
// caller may return when the node has been restarted.
func (a *arrival) checkStop() *outcome.Failure {
	now := clock.Now()
	latest, bounded := a.latestStart(now)
	if !bounded || !now.After(latest) {
		return nil
	}
	wait := max(a.handler.finishBy.Load().Sub(now), defaultRetryAfter)
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, wait, errStopping)
}

func (a *arrival) readBody() (*forward.Body, error) {
	const unlimited = 1 << 40
	return forward.ReadBody(a.context, a.writer, a.request, unlimited, "")
}

// readContinued reads a body whose sender waited for 100 Continue. A body within the limit is read
// completely, so that a truncated one is never run.
func (a *arrival) readContinued(limit int64) (*forward.Body, error) {
	stop := context.AfterFunc(a.context, func() {
		_ = http.NewResponseController(a.writer).SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	known := min(max(a.request.ContentLength, 0), limit)
	read := bytes.NewBuffer(make([]byte, 0, known+bytes.MinRead))
	if _, err := read.ReadFrom(io.LimitReader(a.request.Body, limit+1)); err != nil {
		return nil, err
	}
	if int64(read.Len()) <= limit {
		return forward.BufferedBody(read.Bytes()), nil
	}
	return forward.ContinuedBody(read.Bytes(), a.writer, a.request)
}

// admit waits for a slot of the back end.
func (a *arrival) admit() (*admission.Slot, *outcome.Failure) {
	a.countOffered()
	slot, err := a.handler.gate.Acquire(a.context, a.ticket())
	a.waited = clock.Since(a.started)
	if errors.As(err, &a.limited) {
		return nil, outcome.Refusal(http.StatusServiceUnavailable, outcome.StepLimit, a.limited.Wait, err)
	}
	if err != nil {
		return nil, outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, a.retryAfter(), err)
	}
	if a.handler.drainExpired(a.endpoint.Incarnation()) {
		slot.Refund()
		return nil, outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, defaultRetryAfter, errDraining)
	}
	a.countAdmitted()
	return slot, nil
}

// ticket describes the request to the admission gate.
func (a *arrival) ticket() admission.RequestInfo {
	return admission.RequestInfo{
		Priority:          a.reported.Priority,
		Returning:         a.reported.Returning,
		Nested:            a.reported.Nested,
		OverShare:         a.reported.OverShare,
		Tenant:            a.tenant(),
		PreventStarvation: a.contended(),
		Work:              a.reported.ExpectedServiceTime,
		MaximumWait:       a.maximumWait(),
		Peer:              a.peer(),
	}
}

// maximumWait returns how long the request may wait for a slot.
func (a *arrival) maximumWait() time.Duration {
	now := clock.Now()
	if latest, bounded := a.latestStart(now); bounded {
		return min(a.reported.MaximumWait, max(latest.Sub(now), time.Millisecond))
	}
	return a.reported.MaximumWait
}

// peer returns the host of the node that sent the request.
func (a *arrival) peer() string {
	host, _, _ := strings.Cut(a.request.RemoteAddr, ":")
	return host
}

// retryAfter returns the expected time in which the queue drains.
func (a *arrival) retryAfter() time.Duration {
	load := a.handler.gate.Load()
	wait := load.MeanHoldTime * time.Duration(load.Waiting+1) / time.Duration(max(load.Slots, 1))
	return max(wait, defaultRetryAfter/2)
}

// reply sends a failure that this node answers itself.
func (a *arrival) reply(failure *outcome.Failure) {
	defer forward.PrepareLocalReply(a.context, a.writer, a.request, nil)()
	a.setReplyHeaders(0)
	header := a.writer.Header()
	header[outcome.HeaderOutcome] = []string{string(failure.Outcome)}
	header[outcome.HeaderError] = []string{"step=" + string(failure.Step)}
	if failure.RetryAfter > 0 {
		header["Retry-After"] = []string{hop.FormatSeconds(failure.RetryAfter)}
	}
	header["Content-Length"] = []string{"0"}
	a.writer.WriteHeader(failure.Status)
}

// setReplyHeaders sets the headers with the state of this node.
func (a *arrival) setReplyHeaders(worked time.Duration) {
	load := a.handler.gate.Load()
	reply := hop.Reply{
		Version: a.handler.options.Version(),
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, HoldTime: load.MeanHoldTime,
		Factor: a.handler.pace.Factor(clock.Now()), ServiceTime: worked, FailureRate: a.handler.failures.Rate(),
	}
	header := a.writer.Header()
	header[hop.HeaderReply] = []string{reply.Format()}
	a.setProofHeader(header)
	a.setShareHeader(header)
	a.setNoticeHeaders(header)
	if _, set := header["Date"]; !set {
		// A nil value keeps net/http from adding its own.
		header["Date"] = nil
	}
}

// setProofHeader sets the time since the node last confirmed that its configuration is the newest.
func (a *arrival) setProofHeader(header http.Header) {
	proof := a.handler.options.Proof
	if proof == nil {
		return
	}
	if age, proven := proof(); proven {
		header[hop.HeaderProof] = []string{hop.FormatAge(age)}
	}
}

func (a *arrival) record(failure *outcome.Failure) {
	options := &a.handler.options
	elapsed := clock.Since(a.started)
	if failure == nil {
		options.Observer.RequestCompleted("", "", elapsed, a.waited)
		return
	}
	options.Observer.RequestCompleted(failure.Outcome, failure.Step, elapsed, a.waited)
	if failure.Outcome == outcome.NotRun {
		options.Observer.ArrivalNotRun(failure.Evidence)
	}
	entry := options.Logger.Check(zap.InfoLevel, "arrival failed")
	if entry == nil {
		return
	}
	load := a.handler.gate.Load()
	sentAfter := zap.Skip()
	if a.sends > 0 {
		sentAfter = zap.Duration("sentAfter", a.sent.Sub(a.started))
	}
	entry.Write(
		zap.String("request", a.request.Header.Get(options.Vocabulary.RequestID)),
		zap.String("outcome", string(failure.Outcome)),
		zap.Stringer("evidence", failure.Evidence),
		zap.Int("sends", a.sends), sentAfter,
		zap.String("step", string(failure.Step)),
		zap.String("peer", a.request.RemoteAddr),
		zap.String("service", a.reported.Service), zap.String("tenant", a.tenant()),
		zap.Int("running", load.Running), zap.Int("waiting", load.Waiting), zap.Int("slots", load.Slots),
		zap.Duration("waited", a.waited), zap.Duration("elapsed", elapsed),
		zap.NamedError("cause", failure.Cause),
	)
}
