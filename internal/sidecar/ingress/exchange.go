package ingress

import (
	"context"
	"errors"
	"net/http"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/body"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
)

// Causes of failed exchanges with the back end.
var (
	errCrashed             = errors.New("the back end's process ended")
	errWrongInstance       = errors.New("the back end has another id than the one last heard of")
	errNotProcessed        = errors.New("the back end did not process the request")
	errWrongRequestID      = errors.New("the answer belongs to another request")
	errUnsigned            = errors.New("the answer bears no signature")
	errContradictoryStatus = errors.New("the back end ran the request and answered with a status that denies it")
	errTruncated           = errors.New("the answer broke off")
)

const (
	// addedHeaderCount is how many headers the node adds at most.
	addedHeaderCount = 3
	// maximumSends bounds how often a request that wrote nothing is sent anew.
	maximumSends = 2
)

// exchange sends the request to the back end and passes its answer on. A second
// send follows only when the first provably wrote nothing.
func (a *arrival) exchange(sent *forward.Body) *outcome.Failure {
	for send := 1; ; send++ {
		interim := forward.NewInterim(a.writer, "")
		a.handler.options.Observer.BackendSent()
		response, err := a.roundTrip(a.outgoing(interim, sent))
		interim.Stop()
		if err == nil {
			return a.handleResponse(response, sent)
		}
		failure := a.failureOf(err)
		if failure.Step == outcome.StepConnect {
			a.handler.MarkPossiblyCold()
		}
		if failure.Outcome == outcome.Unknown {
			a.detectCrash(failure)
		} else {
			a.handler.activeRequests.markUnsent(a)
		}
		a.countFailure(failure)
		again := failure.Outcome == outcome.NotRun && failure.Step == outcome.StepWrite && a.context.Err() == nil
		if !again || send == maximumSends || sent.Spent() {
			return failure
		}
	}
}

// roundTrip sends the request once. What waited for consent may not be repeated.
func (a *arrival) roundTrip(outgoing *http.Request) (*http.Response, error) {
	if a.expectsContinue {
		return a.handler.pool.RoundTripOnce(outgoing)
	}
	return a.handler.pool.RoundTrip(outgoing)
}

// outgoing builds the request to the back end.
func (a *arrival) outgoing(interim *forward.Interim, sent *forward.Body) *http.Request {
	names := &a.handler.options.Vocabulary
	header := forward.RequestHeader(a.request.Header, addedHeaderCount)
	delete(header, "Expect")
	remaining := clock.Until(a.deadline)
	header[names.Deadline] = []string{hop.FormatMilliseconds(remaining)}
	header[names.TargetInstance] = []string{a.endpoint.ID}
	header[names.CallerService] = []string{a.reported.Caller}
	outgoing := forward.NewRequest(a.context, a.request, a.handler.options.Address, header, interim)
	forward.KeepTarget(outgoing, a.request)
	sent.Attach(outgoing)
	return outgoing
}

func (a *arrival) failureOf(err error) *outcome.Failure {
	failure := &outcome.Failure{
		Outcome: outcome.Unknown, Status: http.StatusBadGateway, Step: outcome.StepAwait,
		Peer: a.handler.options.Address, Cause: err,
	}
	var known *forward.Error
	if errors.As(err, &known) {
		failure.Outcome, failure.Step = known.Outcome, known.Step
	}
	if failure.Outcome == outcome.NotRun {
		failure.Status, failure.RetryAfter = http.StatusServiceUnavailable, defaultRetryAfter
	}
	if errors.Is(err, context.DeadlineExceeded) || a.context.Err() != nil {
		failure.Status = http.StatusGatewayTimeout
		failure.RetryAfter = 0
	}
	return failure
}

// detectCrash finds out for a failure whose connection broke whether the back end's process ended.
// What the caller gave up broke the connection itself.
func (a *arrival) detectCrash(failure *outcome.Failure) {
	if a.context.Err() != nil {
		return
	}
	crashed, first := a.handler.crashed(a)
	if !crashed {
		return
	}
	a.handler.MarkPossiblyCold()
	a.duplicateCrash = !first
	failure.Step = outcome.StepCrash
	failure.Cause = errors.Join(errCrashed, failure.Cause)
	if a.handler.options.Quarantine.Holds(a.print()) {
		// The caller's node has not heard it yet and would send the request on.
		failure.Step = outcome.StepQuarantine
	}
}

// hangFactor is how many times as long as expected a request must have been at the
// back end for its end without an answer to be the back end's failure.
const hangFactor = 4

// countFailure counts a failure against the back end: one of its answers, a broken
// connection, or that it did not answer for long. What the caller gave up early,
// what wrote nothing and an answer of another id say nothing of it.
func (a *arrival) countFailure(failure *outcome.Failure) {
	switch {
	case failure.Step == outcome.StepIdentity || failure.Step == outcome.StepWrite:
	case a.context.Err() == nil:
		a.handler.failures.Observe(true)
		if failure.Step != outcome.StepConnect { // nobody was there to be asked
			a.reportToJudge(failure.Step != outcome.StepShed)
		}
	case a.reported.ExpectedServiceTime > 0 && clock.Since(a.started)-a.waited > hangFactor*a.reported.ExpectedServiceTime:
		a.handler.failures.Observe(true)
		a.reportToJudge(true)
	}
}

// reportToJudge passes on what the request showed of the back end's version. The end of a process is
// one failure and not as many as requests were at work: one request may have ended it, and
// that is no sign of bad software.
func (a *arrival) reportToJudge(failed bool) {
	judge := a.handler.options.Judge
	if judge == nil || a.duplicateCrash || a.reported.Usual == nil || !judge.Judges() {
		return
	}
	judge.Answered(a.request, failed, clock.Since(a.started)-a.waited, a.reported.ExpectedServiceTime, *a.reported.Usual)
}

// handleResponse judges an answer and passes it on when it is the one to this request.
func (a *arrival) handleResponse(response *http.Response, sent *forward.Body) *outcome.Failure {
	if a.isFromBackend(response) {
		a.handler.applyNotice(response.Header, a.endpoint, a.sent)
	}
	if failure := a.checkResponse(response); failure != nil {
		_ = response.Body.Close()
		a.countFailure(failure)
		return failure
	}
	if err := body.Gather(response); err != nil {
		failure := a.unknownOutcome(errors.Join(errTruncated, err))
		a.detectCrash(failure)
		a.countFailure(failure)
		return failure
	}
	a.reportSurvived()
	reported := a.readLoad(response)
	a.handler.warmup.Answered(clock.Now())
	failed := response.StatusCode >= http.StatusInternalServerError
	a.handler.failures.Observe(failed)
	a.reportToJudge(failed)
	forward.RemoveHopByHop(response.Header)
	outcome.StripMarkers(response.Header)
	a.observeServiceTime(response, reported)
	sent.CloseUnlessRead(a.writer.Header())
	if err := forward.WriteReply(a.context, a.writer, response, ""); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// readLoad takes in what the back end tells of its load. It returns how much longer work takes
// there at the moment; zero when that is not told or does not count.
func (a *arrival) readLoad(response *http.Response) (factor float64) {
	options := &a.handler.options
	header := response.Header.Get(options.Vocabulary.Load)
	if header == "" || options.DecodeLoad == nil {
		return 0
	}
	load, err := options.DecodeLoad(header)
	if err != nil {
		options.Logger.Info("load of the back end not read", zap.String("endpoint", a.endpoint.ID), zap.Error(err))
		return 0
	}
	if !options.RecordLoad(load) {
		return 0
	}
	a.handler.pace.SetReported(load.Factor, clock.Now())
	return load.Factor
}

// observeServiceTime takes in how long the back end worked, compared to what the caller's
// node expected, and marks the reply with it.
func (a *arrival) observeServiceTime(response *http.Response, reported float64) {
	worked := clock.Since(a.started) - a.waited
	if response.StatusCode < http.StatusMultipleChoices {
		a.handler.pace.ObserveReported(worked, a.reported.ExpectedServiceTime, reported, clock.Now())
	}
	a.setReplyHeaders(worked)
}

// checkResponse tells what the back end's answer means. Only an answer that bears the
// request's id is one to it.
func (a *arrival) checkResponse(response *http.Response) *outcome.Failure {
	names := &a.handler.options.Vocabulary
	header := response.Header
	if header.Get(names.NotProcessed) != "" {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepShed, a.retryAfter(), errNotProcessed)
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		a.handler.options.OnInstanceMismatch(header.Get(names.InstanceID))
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepIdentity, defaultRetryAfter, errWrongInstance)
	}
	if header.Get(names.RequestID) != a.request.Header.Get(names.RequestID) {
		return a.unknownOutcome(errWrongRequestID)
	}
	if response.StatusCode < http.StatusMultipleChoices && header.Get(names.Signature) == "" {
		return a.unknownOutcome(errUnsigned)
	}
	if impliesNotRun(response.StatusCode) {
		return a.unknownOutcome(errContradictoryStatus)
	}
	return nil
}

// isFromBackend reports whether the answer is provably one of the back end to this request. One that was
// not processed may leave the request's id out.
func (a *arrival) isFromBackend(response *http.Response) bool {
	names := &a.handler.options.Vocabulary
	if response.StatusCode == http.StatusMisdirectedRequest {
		return false
	}
	id := response.Header.Get(names.RequestID)
	return id == a.request.Header.Get(names.RequestID) || (id == "" && response.Header.Get(names.NotProcessed) != "")
}

// impliesNotRun reports whether callers read the status as "has not run".
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (a *arrival) unknownOutcome(cause error) *outcome.Failure {
	return &outcome.Failure{
		Outcome: outcome.Unknown, Status: http.StatusBadGateway, Step: outcome.StepBody,
		Peer: a.handler.options.Address, Cause: cause,
	}
}
