package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/body"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
)

// Causes of failed exchanges with the back end.
var (
	errCrashed             = errors.New("the back end's process ended")
	errWrongInstance       = errors.New("the back end's id differs from the last known one")
	errNotProcessed        = errors.New("the back end did not process the request")
	errUnsigned            = errors.New("the answer has no signature")
	errContradictoryStatus = errors.New("the back end ran the request but answered with a status that means it did not")
	errContradictoryMarker = errors.New("the answer says both that the back end ran the request and that it did not")
	errTruncated           = errors.New("the answer was truncated")
)

const (
	// addedHeaderCount is the maximum number of headers that the node adds.
	addedHeaderCount = 3
	// maximumSends bounds how often a request is sent if nothing was written to the connection.
	maximumSends = 2
)

// exchange sends the request to the back end and forwards its answer. It sends the request a second
// time only if the first send provably wrote nothing.
func (a *arrival) exchange(sent *forward.Body) *outcome.Failure {
	names := &a.handler.options.Vocabulary
	for send := 1; ; send++ {
		interim := forward.NewInterim(a.writer, "")
		interim.Match(names.RequestID, a.request.Header.Get(names.RequestID))
		a.sends = send
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
		if !again || send == maximumSends || !sent.Reclaim() {
			return failure
		}
	}
}

// roundTrip sends the request once. A request whose body is sent after 100 Continue must not be
// retried by the pool.
func (a *arrival) roundTrip(outgoing *http.Request) (*http.Response, error) {
	if a.expectsContinue {
		return a.handler.pool.RoundTripNonRepeatable(outgoing)
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
		failure.Outcome, failure.Evidence, failure.Step = known.Outcome, known.Evidence, known.Step
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

// detectCrash finds out whether a broken connection is due to a crash of the back end's process and
// updates the failure. It did not break by itself when the caller cancelled the request, or when
// bytes that are no answer to the request arrived.
func (a *arrival) detectCrash(failure *outcome.Failure) {
	if a.context.Err() != nil || forward.IsPeerError(failure.Cause) {
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
	if a.handler.options.Quarantine.IsQuarantined(a.print()) {
		// The caller's node does not know the verdict yet and would send the request to another
		// back end.
		failure.Step = outcome.StepQuarantine
	}
}

// hangFactor is the multiple of the expected service time that a cancelled request must have been
// at the back end to count as a failure of the back end.
const hangFactor = 4

// countFailure counts a failure against the back end: a bad answer, a broken connection, or no
// answer for a long time. Requests that the caller cancelled early, that were not written, or that
// reached another instance are not counted.
func (a *arrival) countFailure(failure *outcome.Failure) {
	switch {
	case failure.Step == outcome.StepIdentity || failure.Step == outcome.StepWrite:
	case a.context.Err() == nil:
		a.handler.failures.Observe(true)
		if failure.Step != outcome.StepConnect { // no process handled the request
			a.reportToJudge(failure.Step != outcome.StepShed)
		}
	case a.reported.ExpectedServiceTime > 0 && clock.Since(a.started)-a.waited > hangFactor*a.reported.ExpectedServiceTime:
		a.handler.failures.Observe(true)
		a.reportToJudge(true)
	}
}

// reportToJudge passes the result of the request to the judge of the back end's version. A crash
// counts as one failure, not as one per active request: a single request may have caused it, which
// is no sign of bad software.
func (a *arrival) reportToJudge(failed bool) {
	judge := a.handler.options.Judge
	if judge == nil || a.duplicateCrash || a.reported.BaselineRates == nil || !judge.Judges() {
		return
	}
	judge.Answered(a.request, failed, clock.Since(a.started)-a.waited, a.reported.ExpectedServiceTime, *a.reported.BaselineRates)
}

// handleResponse checks the answer to this request and forwards it if it is valid.
func (a *arrival) handleResponse(response *http.Response, sent *forward.Body) *outcome.Failure {
	if response.StatusCode != http.StatusMisdirectedRequest { // which another instance sends
		a.handler.applyNotice(response.Header, a.endpoint, a.sent)
	}
	if failure := a.checkResponse(response); failure != nil {
		_ = response.Body.Close()
		a.countFailure(failure)
		return failure
	}
	if err := body.BufferShort(response); err != nil {
		failure := a.unknownOutcome(errors.Join(errTruncated, err))
		a.detectCrash(failure)
		a.countFailure(failure)
		return failure
	}
	a.reportSurvived()
	reported := a.readLoad(response)
	a.handler.warmup.RecordResponse(clock.Now())
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

// readLoad records the load that the back end reports and returns its factor; zero if there is none
// or it does not count.
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

// observeServiceTime records the service time relative to the expected one and sets the reply
// headers.
func (a *arrival) observeServiceTime(response *http.Response, reported float64) {
	worked := clock.Since(a.started) - a.waited
	if response.StatusCode < http.StatusMultipleChoices {
		a.handler.pace.ObserveReported(worked, a.reported.ExpectedServiceTime, reported, clock.Now())
	}
	a.setReplyHeaders(worked)
}

// observeLongest records how long the request was at the back end, whatever became of it.
func (a *arrival) observeLongest() {
	now := clock.Now()
	a.handler.longest.Observe(now.Sub(a.sent), a.reported.ExpectedServiceTime, now)
}

// checkResponse returns the failure that the answer to this request stands for, nil for a valid one.
func (a *arrival) checkResponse(response *http.Response) *outcome.Failure {
	names := &a.handler.options.Vocabulary
	header := response.Header
	if evidence := a.evidenceOf(response); evidence.Proven() {
		if response.StatusCode == http.StatusMisdirectedRequest {
			a.handler.options.OnInstanceMismatch(header.Get(names.InstanceID))
			return a.rejection(evidence, outcome.StepIdentity, defaultRetryAfter, errWrongInstance)
		}
		return a.rejection(evidence, outcome.StepShed, a.retryAfter(), errNotProcessed)
	}
	if header.Get(names.NotProcessed) != "" {
		return a.unknownOutcome(errContradictoryMarker)
	}
	if response.StatusCode < http.StatusMultipleChoices && header.Get(names.Signature) == "" {
		return a.unknownOutcome(errUnsigned)
	}
	if notrun.Promises(response.StatusCode) {
		return a.unknownOutcome(errContradictoryStatus)
	}
	return nil
}

// rejection returns the failure of a request that the back end has declared not to have run.
func (a *arrival) rejection(evidence notrun.Evidence, step outcome.Step, retryAfter time.Duration, cause error) *outcome.Failure {
	return &outcome.Failure{
		Outcome: outcome.Of(evidence), Evidence: evidence,
		Status: http.StatusServiceUnavailable, Step: step, RetryAfter: retryAfter, Cause: cause,
	}
}

// evidenceOf returns what an answer of the back end proves.
func (a *arrival) evidenceOf(response *http.Response) notrun.Evidence {
	names := &a.handler.options.Vocabulary
	reply := notrun.Reply{
		RequestID: a.request.Header.Get(names.RequestID),
		ReplyID:   response.Header.Get(names.RequestID),
		Status:    response.StatusCode,
		Marked:    response.Header.Get(names.NotProcessed) != "",
		Signed:    response.Header.Get(names.Signature) != "",
	}
	return notrun.Send{Reply: &reply}.Evidence()
}

// recordForeign counts and logs an answer of the back end that belongs to another request.
func (h *Handler) recordForeign(request *http.Request, response *http.Response) {
	names := &h.options.Vocabulary
	h.options.Observer.ForeignAnswer()
	h.options.Logger.Info("answer to another request",
		zap.String("request", request.Header.Get(names.RequestID)),
		zap.String("answered", response.Header.Get(names.RequestID)),
		zap.Int("status", response.StatusCode),
		zap.Bool("notProcessed", response.Header.Get(names.NotProcessed) != ""),
		zap.String("endpoint", request.Header.Get(names.TargetInstance)),
	)
}

func (a *arrival) unknownOutcome(cause error) *outcome.Failure {
	return &outcome.Failure{
		Outcome: outcome.Unknown, Status: http.StatusBadGateway, Step: outcome.StepBody,
		Peer: a.handler.options.Address, Cause: cause,
	}
}
