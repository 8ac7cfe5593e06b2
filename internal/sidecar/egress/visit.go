package egress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/body"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// markerCount is how many headers the node adds at most.
	markerCount = 2
	// refusalsPerCall bounds how many nodes may refuse one request. A refusal
	// costs no back end anything.
	refusalsPerCall = 3
)

// result is what one visit brought: an answer of the back end or a failure.
type result struct {
	target   *target
	response *http.Response
	failure  *outcome.Failure
}

// visit chooses a node and sends the request there once.
func (c *call) visit() result {
	record, chosen := c.choose()
	if chosen == nil {
		failure := outcome.Refusal(http.StatusServiceUnavailable, outcome.StepChoose, defaultRetryAfter, errNoEndpoint)
		failure.Peer = c.service
		return result{failure: failure}
	}
	chosen.inFlight.Add(1)
	defer chosen.inFlight.Add(-1)
	c.handler.options.Observer.Sent(c.service, len(c.visits)+1)
	sent := time.Now()
	response, failure := c.exchange(record, chosen)
	seen := visit{target: chosen, seen: c.seen, reportAge: c.reportAge, elapsed: time.Since(sent)}
	if response != nil {
		c.handler.options.Observer.Carried(seen.elapsed, c.worked)
	}
	if failure != nil {
		seen.outcome, seen.step = failure.Outcome, failure.Step
		failure.Peer = chosen.address
	}
	c.visits = append(c.visits, seen)
	return result{target: chosen, response: response, failure: failure}
}

// exchange sends the request to the node and returns the back end's answer.
func (c *call) exchange(record *roster.Record, chosen *target) (*http.Response, *outcome.Failure) {
	var consented atomic.Bool
	awaited, entry := c.handler.await(c.context, record, chosen, c.seen.Work)
	traced := awaited
	if !c.route.Repeatable {
		traced = httptrace.WithClientTrace(traced, &httptrace.ClientTrace{Got100Continue: func() { consented.Store(true) }})
	}
	interim := forward.NewInterim(c.writer, "")
	response, err := chosen.pool.RoundTrip(c.outgoing(traced, record, interim))
	interim.Stop()
	now := time.Now()
	chosen.outstanding.answered(entry, err == nil, now)
	if err != nil {
		if errors.Is(context.Cause(awaited), errSilent) {
			err = errors.Join(errSilent, err)
		}
		return nil, c.exchangeFailed(chosen, err, consented.Load(), now)
	}
	c.learn(chosen, response, now)
	if said := outcome.Outcome(response.Header.Get(outcome.HeaderOutcome)); said != "" {
		return nil, c.refused(chosen, response, said, now)
	}
	if err := body.Gather(response); err != nil {
		chosen.failed(now)
		return nil, &outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepBody, Cause: err}
	}
	chosen.succeeded()
	return response, nil
}

// learn takes in what the reply says of the node itself.
func (c *call) learn(chosen *target, response *http.Response, now time.Time) {
	reply, err := hop.ParseReply(response.Header.Get(hop.HeaderReply))
	if err != nil {
		return
	}
	chosen.learn(reply, now)
	c.worked = reply.Worked
	if reply.Worked > 0 && response.StatusCode < http.StatusMultipleChoices {
		c.work().Observe(reply.Worked)
	}
	if reply.Version > c.table.Version() {
		c.handler.options.Observer.Behind(chosen.node, reply.Version)
	}
}

// exchangeFailed judges an exchange that brought no reply. Without consent the
// body was never sent, and nothing runs without its body.
func (c *call) exchangeFailed(chosen *target, err error, consented bool, now time.Time) *outcome.Failure {
	failure := &outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepAwait, Cause: err}
	var known *forward.Error
	if errors.As(err, &known) {
		failure.Outcome, failure.Step = known.Outcome, known.Step
	}
	if !c.route.Repeatable && !consented && c.consentAsked() {
		failure.Outcome = outcome.NotRun
	}
	if failure.Outcome == outcome.NotRun {
		failure.RetryAfter = defaultRetryAfter
	}
	if c.context.Err() == nil && !errors.Is(err, forward.ErrNoConnection) {
		chosen.failed(now)
		if failure.Step == outcome.StepConnect {
			c.handler.options.Observer.Unreachable(chosen.node)
		}
	}
	return failure
}

// refused reads what the node itself says of the request.
func (c *call) refused(chosen *target, response *http.Response, said outcome.Outcome, now time.Time) *outcome.Failure {
	defer func() {
		_, _ = io.CopyN(io.Discard, response.Body, 1)
		_ = response.Body.Close()
	}()
	failure := &outcome.Failure{Outcome: said, Step: outcome.StepAwait, Cause: errors.New(response.Header.Get(outcome.HeaderError))}
	if step, found := strings.CutPrefix(response.Header.Get(outcome.HeaderError), "step="); found {
		failure.Step = outcome.Step(step)
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	switch {
	case failure.Step == outcome.StepAdmit:
	case c.context.Err() == nil:
		chosen.failed(now)
	}
	return failure
}

// again decides whether another visit follows a failed one.
func (c *call) again(last result) bool {
	if last.target == nil || c.context.Err() != nil || c.body.Spent() {
		return false
	}
	reached := last.failure.Outcome != outcome.NotRun || last.failure.Step == outcome.StepShed
	if !reached {
		left := c.candidates(c.handler.options.View(), time.Now())
		return len(c.visits) < refusalsPerCall && choice.Worthwhile(left.candidates)
	}
	c.runs++
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
	if !c.handler.budget(c.service).take(c.handler.options.Retries(), c.members(), time.Now()) {
		last.failure.Cause = errors.Join(errBudget, last.failure.Cause)
		return false
	}
	return true
}

// consentAsked reports whether the request's body waits for the node's consent.
// The library asks only where the method usually has a body.
func (c *call) consentAsked() bool {
	switch c.request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// outgoing builds the request to the node.
func (c *call) outgoing(ctx context.Context, record *roster.Record, interim *forward.Interim) *http.Request {
	options := &c.handler.options
	header := forward.RequestHeader(c.request.Header, markerCount)
	delete(header, "Expect")
	remaining := time.Until(c.deadline)
	request := c.described(remaining)
	wait, slack := choice.Patience(request)
	told := hop.Request{
		Service: c.service, Caller: options.Caller(), Remaining: remaining, Priority: c.route.Priority,
		MaximumWait: wait, Slack: slack, Expected: c.work().Mean(c.assumedWork()),
		Returning: request.Returning && !request.Hurried(),
	}
	header[hop.HeaderHop] = []string{told.Format()}
	outgoing := forward.NewRequest(ctx, c.request, record.Address, header, interim)
	forward.KeepTarget(outgoing, c.request)
	c.body.Attach(outgoing)
	if !c.route.Repeatable && c.consentAsked() {
		header["Expect"] = []string{"100-continue"}
		if outgoing.Body == nil {
			// Chunks make room for consent where there is no body.
			outgoing.Body, outgoing.ContentLength = io.NopCloser(strings.NewReader("")), -1
		}
	}
	return outgoing
}

// described is what the choice needs to know of the request.
func (c *call) described(remaining time.Duration) choice.Request {
	return choice.Request{
		Aim:       c.route.TargetLatency,
		Remaining: remaining,
		Elapsed:   time.Since(c.started),
		Expected:  c.seen.Work,
		Returning: c.returning,
	}
}
