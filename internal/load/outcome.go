package load

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
	"unique"

	"github.com/kestrelstream/kestrelstream/internal/standin/backend"
)

// Outcome is what a caller learned about its call.
type Outcome uint8

// The outcomes of a call.
const (
	// NotSent calls were held back by the generator's own bound.
	NotSent Outcome = iota
	// Answered calls received the whole answer to their own request.
	Answered
	// NotRun calls were told by the mesh that they were not run.
	NotRun
	// Shed calls were told so by the back end itself.
	Shed
	// Unknown calls were told by the mesh that they may have run.
	Unknown
	// Aborted calls saw their connection end in mid-answer.
	Aborted
	// Failed calls got no reply: their connection failed.
	Failed
	// Refused calls found nobody to connect to: nothing was sent.
	Refused
	// TimedOut calls got no reply within the caller's patience.
	TimedOut
	// Cancelled calls were given up by the caller on purpose.
	Cancelled
	// Unexpected calls got a reply that is neither an answer nor a typed
	// outcome.
	Unexpected
	// Swapped calls received the answer to another request.
	Swapped
	// Truncated calls received a short answer that ended cleanly.
	Truncated
	// Corrupted calls received something else than was written.
	Corrupted
	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	"not-sent", "answered", "not-run", "shed", "unknown", "aborted", "failed", "refused", "timed-out",
	"cancelled", "unexpected", "swapped", "truncated", "corrupted",
}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Headers and values by which the mesh tells callers an outcome.
const (
	headerOutcome  = "Kestrel-Outcome"
	headerError    = "Kestrel-Error"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// Result is one call as its caller saw it. Times count from the start of the
// run.
type Result struct {
	Number uint64
	// Target is the index of the call's target.
	Target   int
	Outcome  Outcome
	Status   int
	Intended time.Duration
	Started  time.Duration
	Finished time.Duration
	// Backend names the back end that answered.
	Backend string
	// Fresh calls went over a connection made for them; known only where the
	// plan traces connections.
	Fresh bool
	// Detail says more about a call that was not answered.
	Detail string
}

// Latency is the time from the intended start to the end of the call.
func (r *Result) Latency() time.Duration { return r.Finished - r.Intended }

// Lateness is how much later than intended the generator sent the call.
func (r *Result) Lateness() time.Duration { return r.Started - r.Intended }

// perform sends one call and fills the outcome in.
func perform(ctx context.Context, plan *Plan, result *Result) {
	request, err := plan.Targets[result.Target].request(ctx, result.Number)
	if err != nil {
		result.Outcome, result.Detail = Failed, err.Error()
		return
	}
	if plan.NeverResend {
		neverResend(request)
	}
	response, err := plan.Transport.RoundTrip(request)
	if err != nil {
		result.Outcome, result.Detail = failureToSend(ctx, err), err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	// Interned, since a part of a header would keep the whole header alive.
	result.Backend = unique.Make(response.Header.Get(backend.HeaderName)).Value()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		result.Outcome, result.Detail = failure(ctx, err, Aborted), err.Error()
		return
	}
	result.Outcome = classify(result.Number, response, body)
	if result.Outcome != Answered {
		result.Detail = response.Header.Get(headerError)
	}
}

// failure tells the caller's own doing from a failing connection.
func failure(ctx context.Context, err error, otherwise Outcome) Outcome {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return otherwise
	case errors.Is(cause, context.DeadlineExceeded):
		return TimedOut
	case errors.Is(err, io.ErrUnexpectedEOF):
		return otherwise
	default:
		return Cancelled
	}
}

// failureToSend tells a connection that was never made from one that failed.
func failureToSend(ctx context.Context, err error) Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return failure(ctx, err, Refused)
	}
	return failure(ctx, err, Failed)
}

// classify judges a reply that ended without a transport error.
func classify(number uint64, response *http.Response, body []byte) Outcome {
	switch response.Header.Get(headerOutcome) {
	case outcomeNotRun:
		return NotRun
	case outcomeUnknown:
		return Unknown
	}
	if response.Header.Get(backend.HeaderShed) == backend.ShedValue {
		return Shed
	}
	if response.StatusCode != http.StatusOK {
		return Unexpected
	}
	switch err := backend.CheckAnswer(number, body); {
	case err == nil:
		return Answered
	case errors.Is(err, backend.ErrSwapped):
		return Swapped
	case errors.Is(err, backend.ErrTruncated):
		return Truncated
	default:
		return Corrupted
	}
}
