package egress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/repeats"
)

const (
	// maxAddedHeaders is the number of headers that the node adds at most.
	maxAddedHeaders = 5
	// maxRefusals limits how many nodes may refuse one request. A refusal costs no back end
	// anything. The first attempts wait only briefly; with a lower limit only the last one waits for
	// its full time, and fewer requests are served in time (docs/design/0010-the-shifted-work.md).
	maxRefusals = 5
	// maxCrashes limits how many crashes of back ends one request may cause: its own node knows
	// before the others that the request may be the cause.
	maxCrashes = 2
	// retryThreshold is the probability from which a call counts as made by a retry.
	retryThreshold = 0.5
	// maxLargeBodyRefusals is maxRefusals for large bodies: each refusal may have cost a transfer
	// over the links.
	maxLargeBodyRefusals = 3
)

// result is the result of one attempt: a response of the back end or a failure.
type result struct {
	target   *target
	response *http.Response
	failure  *outcome.Failure
	// version is the configuration version in force at the node, zero when it did not report one.
	version uint64
}

// sendOnce chooses a node, sends the request there once and waits for the result. A detached
// attempt may answer first.
func (c *call) sendOnce() result {
	chosen, failure := c.choose()
	if failure != nil {
		failure.Peer = c.service
		return result{failure: failure}
	}
	c.handler.options.Observer.Sent(c.service, len(c.attempts)+1)
	chosen.target.inFlight.Add(1)
	chosen.context, chosen.cancel = context.WithCancelCause(c.context)
	chosen.interim = forward.NewInterim(c.writer, "")
	chosen.suspected = make(chan struct{})
	chosen.sent = clock.Now()
	go chosen.run()
	return c.await(chosen)
}

// await returns the result of an attempt, or of a detached one that answers first. If the route may
// be retried, an attempt whose node does not answer probes is detached.
func (c *call) await(current *attempt) result {
	var suspected chan struct{}
	if c.route.Repeatable && c.body.Replayable() {
		suspected = current.suspected
	}
	for {
		select {
		case ended := <-c.results:
			if ended == current || ended.response != nil {
				current.interim.Stop()
				return c.recordResult(ended)
			}
			c.recordDetachedFailure(ended)
		case <-suspected:
			current.interim.Stop()
			return c.detach(current)
		}
	}
}

// recordResult records a finished attempt and returns its result.
func (c *call) recordResult(ended *attempt) result {
	if ended.response != nil {
		c.handler.options.RetryBudget.RecordResult(c.service, true)
		c.handler.options.Observer.ResponseReceived(ended.elapsed, ended.worked)
	}
	c.recordAttempt(ended)
	return result{target: ended.target, response: ended.response, failure: ended.failure, version: ended.version}
}

// detach stops waiting for an attempt, which continues in the background.
func (c *call) detach(current *attempt) result {
	c.detached++
	current.recordNumber = len(c.attempts) + 1
	failure := &outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepAwait, Peer: current.target.address, Cause: errSilent}
	c.attempts = append(c.attempts, attemptRecord{
		target: current.target, seen: current.seen, reportAge: current.reportAge,
		outcome: failure.Outcome, step: failure.Step,
		sentAfter: current.sent.Sub(c.started), elapsed: clock.Since(current.sent),
	})
	return result{target: current.target, failure: failure}
}

// recordDetachedFailure records that a detached attempt has failed.
func (c *call) recordDetachedFailure(ended *attempt) {
	c.detached--
	c.recordAttempt(ended)
}

// recordAttempt adds the record of a finished attempt, or replaces the one from when it was
// detached.
func (c *call) recordAttempt(ended *attempt) {
	c.crashes += ended.crashes()
	c.rejectedWithFreeSlots = ended.rejectedWithFreeSlots()
	if ended.recordNumber > 0 {
		c.attempts[ended.recordNumber-1] = ended.attemptRecord()
		return
	}
	c.attempts = append(c.attempts, ended.attemptRecord())
}

// awaitDetached waits for the detached attempts once nothing else is left to try. Each ends with
// its response, the loss of its node or the deadline.
func (c *call) awaitDetached() (result, bool) {
	for c.detached > 0 {
		ended := <-c.results
		if ended.response != nil {
			return c.recordResult(ended), true
		}
		c.recordDetachedFailure(ended)
	}
	return result{}, false
}

// roundTripFailure classifies a round trip without a response. Nothing of the request is written any
// more, so a body that was held back until now is never sent.
func (a *attempt) roundTripFailure(err error, now time.Time) *outcome.Failure {
	c := a.call
	failure := &outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepAwait, Cause: err}
	var known *forward.Error
	if errors.As(err, &known) {
		failure.Outcome, failure.Evidence, failure.Step = known.Outcome, known.Evidence, known.Step
	}
	if !failure.Evidence.Proven() {
		failure.Evidence = notrun.Send{BodyWithheld: a.bodyWithheld()}.Evidence()
		failure.Outcome = outcome.Of(failure.Evidence)
	}
	if failure.Outcome == outcome.NotRun {
		failure.RetryAfter = defaultRetryAfter
	}
	if c.context.Err() == nil && !errors.Is(err, forward.ErrNoConnection) {
		a.target.failed(now)
		if failure.Step == outcome.StepConnect {
			c.handler.options.Observer.Unreachable(a.target.node)
		}
	}
	return failure
}

// parseRefusal returns the failure that the node itself reports for the request.
func (a *attempt) parseRefusal(response *http.Response, reported outcome.Outcome, evidence notrun.Evidence, now time.Time) *outcome.Failure {
	defer func() {
		_, _ = io.CopyN(io.Discard, response.Body, 1)
		_ = response.Body.Close()
	}()
	failure := &outcome.Failure{
		Outcome: reported, Evidence: evidence, Step: outcome.StepAwait,
		Cause: errors.New(response.Header.Get(outcome.HeaderError)),
	}
	if step, found := strings.CutPrefix(response.Header.Get(outcome.HeaderError), "step="); found {
		failure.Step = outcome.Step(step)
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	switch {
	case failure.Step == outcome.StepWarmup:
		a.target.avoid(now, coldAvoidance)
	case failure.Step == outcome.StepAdmit || failure.Step == outcome.StepQuarantine || failure.Step == outcome.StepMoved || failure.Step == outcome.StepLimit:
	case a.call.context.Err() == nil:
		a.target.failed(now)
	}
	return failure
}

// retry decides whether another attempt follows a failed one.
func (c *call) retry(last result) bool {
	if last.target == nil || c.context.Err() != nil || !c.body.Reclaim() {
		return false
	}
	if c.crashes >= maxCrashes {
		last.failure.Cause = errors.Join(errCrashes, last.failure.Cause)
		return false
	}
	reached := last.failure.Outcome != outcome.NotRun || last.failure.Step == outcome.StepShed
	if !reached {
		return c.hasAlternative(last.failure)
	}
	c.runs++
	c.handler.options.RetryBudget.RecordResult(c.service, last.failure.Step != outcome.StepShed)
	if last.failure.Outcome != outcome.NotRun {
		c.mayHaveRun = true
		if !c.route.Repeatable {
			return false
		}
	}
	if c.runs >= c.route.Attempts {
		last.failure.Cause = errors.Join(errAttempts, last.failure.Cause)
		return false
	}
	if err := c.takeRetryToken(); err != nil {
		last.failure.Cause = errors.Join(err, last.failure.Cause)
		return false
	}
	if !c.handler.options.RetryBudget.Take(c.service, repeats.Request{Nested: c.nested, Returning: c.returning}) {
		last.failure.Cause = errors.Join(errRetryBudget, last.failure.Cause)
		return false
	}
	return true
}

// hasAlternative reports whether another back end is left for a request that was just refused. Refusals by
// rate limits end the search only where every back end that is left has a known limit.
func (c *call) hasAlternative(refusal *outcome.Failure) bool {
	candidates := c.candidateSet(clock.Now(), c.selection())
	if len(c.attempts) < c.refusalLimit() {
		return candidates.hasAlternative()
	}
	return refusal.Step == outcome.StepLimit && !c.hasLargeBody() && candidates.hasUnlimited()
}

// outgoing builds the request to the node.
func (c *call) outgoing(a *attempt) *http.Request {
	options := &c.handler.options
	header := forward.RequestHeader(c.request.Header, maxAddedHeaders)
	delete(header, "Expect")
	c.setTenant(header)
	remaining := clock.Until(c.deadline)
	request := c.choiceRequest(remaining, a.seen.ServiceTime)
	metadata := hop.Request{
		Service: a.service, Caller: options.Caller(), Remaining: remaining, Priority: c.priority(),
		MaximumWait: c.maxAttemptWait(request, a), ExpectedServiceTime: c.work().Mean(c.assumedWork()),
		Returning:     request.Returning && !request.LacksRetryTime(),
		Suspect:       a.crashed,
		Nested:        c.nested,
		OverShare:     c.overShare,
		Repeated:      a.repeated,
		BaselineRates: c.handler.baselineStats(c.service, c.route.Name, a.record),
	}
	header[hop.HeaderHop] = []string{metadata.Format()}
	header[hop.HeaderVersion] = []string{strconv.FormatUint(c.table.Version(), 10)}
	c.setShareHeader(header)
	a.setLimitHeader(header)
	outgoing := forward.NewRequest(a.context, c.request, a.record.Address, header, a.interim)
	forward.KeepTarget(outgoing, c.request)
	c.body.Attach(outgoing)
	if c.expects100Continue() {
		a.holdBody(outgoing)
	}
	return outgoing
}

// isRetry reports whether the next run of the request is a retry, so that the calls it makes count
// as retries too.
func (c *call) isRetry() bool {
	return (c.runs > 0 || c.retryProbability >= retryThreshold) && c.handler.options.RetryBudget.On()
}

// hasLargeBody reports whether the receiving node reads the body before it has a slot. A body of
// unknown length waits at this node until there is one.
func (c *call) hasLargeBody() bool { return c.request.ContentLength > hop.LargeBodyBytes }

// refusalLimit returns how many nodes may refuse the request.
func (c *call) refusalLimit() int {
	if c.hasLargeBody() {
		return maxLargeBodyRefusals
	}
	return maxRefusals
}

// maxAttemptWait returns how long the request may wait at the attempt's node. Attempts with large
// bodies always wait for their full time: a refusal after a brief wait would waste the transfer,
// and the repeated transfers would use up the links between zones.
func (c *call) maxAttemptWait(request choice.Request, a *attempt) time.Duration {
	return c.maxWait(request, a.sends, a.candidates)
}

// maxWait returns how long the request may wait at a node, given the number of earlier attempts and
// of back ends that might take it.
func (c *call) maxWait(request choice.Request, sends, candidates int) time.Duration {
	if !c.hasLargeBody() {
		request.Sends, request.Candidates = sends, candidates
	}
	return choice.MaximumWait(request)
}

// choiceRequest describes the request for the choice.
func (c *call) choiceRequest(remaining, expected time.Duration) choice.Request {
	return choice.Request{
		LatencyTarget:       c.route.TargetLatency,
		Remaining:           remaining,
		CallerRemaining:     c.callerTime,
		Elapsed:             clock.Since(c.started),
		ExpectedServiceTime: expected,
		Returning:           c.returning,
	}
}
