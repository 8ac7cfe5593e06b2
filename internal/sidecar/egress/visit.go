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
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/repeats"
)

const (
	// markerCount is how many headers the node adds at most.
	markerCount = 5
	// refusalsPerCall bounds how many nodes may refuse one request. A refusal
	// costs no back end anything. The first sends are brief; with three sends in all the
	// last one alone waits for its whole time, and 0.862 of the worth was served in place of
	// 0.879 with five (docs/design/0010-the-shifted-work.md).
	refusalsPerCall = 5
	// mostCrashes is under how many ends of back ends one request is repeated: its own node
	// knows before the others that it may be what ends them.
	mostCrashes = 2
	// likelyRepeated is from what likelihood on a call is taken for one of a repeated run.
	likelyRepeated = 0.5
	// largeRefusals is that bound for large bodies, each refusal of which may have cost
	// the links a transfer.
	largeRefusals = 3
)

// result is what one visit brought: an answer of the back end or a failure.
type result struct {
	target   *target
	response *http.Response
	failure  *outcome.Failure
	// version is that of the configuration in force at the node, zero when it did not say.
	version uint64
}

// visit chooses a node, sends the request there once and waits for what comes of
// it. An earlier send that was left behind may answer first.
func (c *call) visit() result {
	if forward.CallerLeft(c.context) {
		return result{failure: outcome.Refusal(http.StatusServiceUnavailable, outcome.StepChoose, 0, forward.ErrCallerLeft)}
	}
	chosen, failure := c.choose()
	if failure != nil {
		failure.Peer = c.service
		return result{failure: failure}
	}
	c.handler.options.Observer.Sent(c.service, len(c.visits)+1)
	chosen.target.inFlight.Add(1)
	chosen.context, chosen.cancel = context.WithCancelCause(c.context)
	chosen.interim = forward.NewInterim(c.writer, "")
	chosen.suspected = make(chan struct{})
	chosen.sent = clock.Now()
	go chosen.run()
	return c.await(chosen)
}

// await returns the result of a send, or of an earlier one that answers first. A
// send of a repeatable request whose node seems silent is left behind.
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
				return c.took(ended)
			}
			c.tookLate(ended)
		case <-suspected:
			current.interim.Stop()
			return c.leaveBehind(current)
		}
	}
}

// took notes the result of a send.
func (c *call) took(ended *attempt) result {
	if ended.response != nil {
		c.handler.options.RetryBudget.RecordResult(c.service, true)
		c.handler.options.Observer.Carried(ended.elapsed, ended.worked)
	}
	c.note(ended)
	return result{target: ended.target, response: ended.response, failure: ended.failure, version: ended.version}
}

// leaveBehind turns away from a send that goes on.
func (c *call) leaveBehind(current *attempt) result {
	c.behind++
	current.noted = len(c.visits) + 1
	failure := &outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepAwait, Peer: current.target.address, Cause: errSilent}
	c.visits = append(c.visits, visit{
		target: current.target, seen: current.seen, reportAge: current.reportAge,
		outcome: failure.Outcome, step: failure.Step, elapsed: clock.Since(current.sent),
	})
	return result{target: current.target, failure: failure}
}

// tookLate notes that a send that was left behind has failed.
func (c *call) tookLate(ended *attempt) {
	c.behind--
	c.note(ended)
}

// note adds a send that ended to the visits, or replaces what was noted of it.
func (c *call) note(ended *attempt) {
	c.crashes += ended.crashes()
	c.rejectedWithRoom = ended.rejectedWithRoom()
	if ended.noted > 0 {
		c.visits[ended.noted-1] = ended.visit()
		return
	}
	c.visits = append(c.visits, ended.visit())
}

// awaitBehind waits for the sends that were left behind, once nothing else is
// left to try. Each ends by its answer, the loss of its node or the deadline.
func (c *call) awaitBehind() (result, bool) {
	for c.behind > 0 {
		ended := <-c.results
		if ended.response != nil {
			return c.took(ended), true
		}
		c.tookLate(ended)
	}
	return result{}, false
}

// exchangeFailed judges an exchange that brought no reply. Without consent the
// body was never sent, and nothing runs without its body.
func (a *attempt) exchangeFailed(err error, now time.Time) *outcome.Failure {
	c := a.call
	failure := &outcome.Failure{Outcome: outcome.Unknown, Step: outcome.StepAwait, Cause: err}
	var known *forward.Error
	if errors.As(err, &known) {
		failure.Outcome, failure.Step = known.Outcome, known.Step
	}
	if !c.route.Repeatable && !a.consented.Load() && c.consentAsked() {
		failure.Outcome = outcome.NotRun
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

// refused reads what the node itself says of the request.
func (a *attempt) refused(response *http.Response, said outcome.Outcome, now time.Time) *outcome.Failure {
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
	case failure.Step == outcome.StepWarmup:
		a.target.avoid(now, coldAvoid)
	case failure.Step == outcome.StepAdmit || failure.Step == outcome.StepQuarantine || failure.Step == outcome.StepMoved || failure.Step == outcome.StepLimit:
	case a.call.context.Err() == nil:
		a.target.failed(now)
	}
	return failure
}

// again decides whether another visit follows a failed one.
func (c *call) again(last result) bool {
	if last.target == nil || c.context.Err() != nil || c.body.Spent() {
		return false
	}
	if c.crashes >= mostCrashes {
		last.failure.Cause = errors.Join(errCrashes, last.failure.Cause)
		return false
	}
	reached := last.failure.Outcome != outcome.NotRun || last.failure.Step == outcome.StepShed
	if !reached {
		return len(c.visits) < c.refusals() && c.considered(clock.Now(), c.selected()).worthwhile()
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
	if err := c.spendAgain(); err != nil {
		last.failure.Cause = errors.Join(err, last.failure.Cause)
		return false
	}
	if !c.handler.options.RetryBudget.Take(c.service, repeats.Request{Nested: c.nested, Returning: c.returning}) {
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
func (c *call) outgoing(a *attempt) *http.Request {
	options := &c.handler.options
	header := forward.RequestHeader(c.request.Header, markerCount)
	delete(header, "Expect")
	c.setTenant(header)
	remaining := clock.Until(c.deadline)
	request := c.described(remaining, a.seen.ServiceTime)
	told := hop.Request{
		Service: a.service, Caller: options.Caller(), Remaining: remaining, Priority: c.priority(),
		MaximumWait: c.mostWait(request, a), ExpectedServiceTime: c.work().Mean(c.assumedWork()),
		Returning: request.Returning && !request.LacksRetryTime(),
		Suspect:   a.crashed,
		Nested:    c.nested,
		OverShare: c.overShare,
		Repeated:  a.repeated,
		Usual:     c.handler.usualOf(c.service, c.route.Name, a.record),
	}
	header[hop.HeaderHop] = []string{told.Format()}
	header[hop.HeaderVersion] = []string{strconv.FormatUint(c.table.Version(), 10)}
	c.tellPart(header)
	a.tellLimit(header)
	outgoing := forward.NewRequest(a.traced(), c.request, a.record.Address, header, a.interim)
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

// repeat reports whether the next run of the request is a repeat, the calls of which are repeats
// too.
func (c *call) repeat() bool {
	return (c.runs > 0 || c.repeated >= likelyRepeated) && c.handler.options.RetryBudget.On()
}

// large reports whether the body is one that the arriving node receives before it has a slot.
// One whose length is not known waits at this node until there is one.
func (c *call) large() bool { return c.request.ContentLength > hop.LargeBodyBytes }

// refusals is how many nodes may refuse the request.
func (c *call) refusals() int {
	if c.large() {
		return largeRefusals
	}
	return refusalsPerCall
}

// mostWait is how long the request may wait at the node of the send. Sends of large bodies
// are never brief: the body would have passed the link for nothing. With brief ones seven
// times the bytes passed between zones where a tenth of the requests are uploads, and
// these got 0.37 of their worth for 0.61.
func (c *call) mostWait(request choice.Request, a *attempt) time.Duration {
	return c.patienceOf(request, a.sends, a.candidates)
}

// patienceOf is how long the request may wait at the node of a send, after so many others and with so
// many back ends that might take it.
func (c *call) patienceOf(request choice.Request, sends, candidates int) time.Duration {
	if !c.large() {
		request.Sends, request.Candidates = sends, candidates
	}
	return choice.MaximumWait(request)
}

// described is what the choice needs to know of the request.
func (c *call) described(remaining, expected time.Duration) choice.Request {
	return choice.Request{
		LatencyTarget:       c.route.TargetLatency,
		Remaining:           remaining,
		CallerRemaining:     c.callerTime,
		Elapsed:             clock.Since(c.started),
		ExpectedServiceTime: expected,
		Returning:           c.returning,
	}
}
