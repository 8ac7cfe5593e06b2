// Package outcome defines what the mesh says about a request it could not
// carry through: the markers on the wire, and the failure that a proxy turns
// into a reply. The package is pure apart from writing that reply.
package outcome

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

// Outcome says whether a request that failed in the mesh was run.
type Outcome string

// The outcomes of a failed request.
const (
	// NotRun: the request provably never reached the back end, or the back
	// end declared that it did not run it.
	NotRun Outcome = "not-run"
	// Unknown: the request may or may not have been run.
	Unknown Outcome = "unknown"
)

// Markers of the mesh, in canonical form. Each of them is removed from what
// callers send and from what back ends answer.
const (
	// HeaderOutcome carries the Outcome on every reply the mesh makes.
	HeaderOutcome = "Kestrel-Outcome"
	// HeaderError carries "step=<step>; peer=<peer>" beside HeaderOutcome.
	HeaderError = "Kestrel-Error"
	// HeaderCallID identifies one call from a caller's proxy to a back end.
	HeaderCallID = "Kestrel-Call-Id"
	// HeaderDeadline carries the remaining time in whole milliseconds.
	HeaderDeadline = "Kestrel-Deadline-Ms"
	// HeaderAttempt counts the attempts of a call from one.
	HeaderAttempt = "Kestrel-Attempt"
	// HeaderRepeatable is "true" when the call may be run more than once.
	HeaderRepeatable = "Kestrel-Repeatable"
	// HeaderService names the service the caller's proxy means to reach.
	HeaderService = "Kestrel-Service"
	// HeaderLoad carries "<in flight>/<slots>" of an endpoint on replies.
	HeaderLoad = "Kestrel-Load"

	headerRetryAfter = "Retry-After"
	markerPrefix     = "Kestrel-"
)

// Step names the stage of a call at which it failed.
type Step string

// The steps of a call, in the order in which they are passed.
const (
	StepRequest   Step = "request"   // the request itself is refused
	StepSnapshot  Step = "snapshot"  // no configuration is in force yet
	StepMatch     Step = "match"     // no route
	StepIdentify  Step = "identify"  // nobody is known by the caller's key
	StepDrain     Step = "drain"     // the proxy is leaving
	StepDeadline  Step = "deadline"  // the time was over before work began
	StepAdmit     Step = "admit"     // limits of route, service or endpoint
	StepDuplicate Step = "duplicate" // second arrival of a call
	StepQuota     Step = "quota"     // the tenant's rate limit
	StepChoose    Step = "choose"    // no usable endpoint
	StepConnect   Step = "connect"   // no connection to the peer
	StepWrite     Step = "write"     // sending the request
	StepAwait     Step = "await"     // waiting for the reply's headers
	StepWarmup    Step = "warmup"    // a cold back end has got what it bears
	StepShed      Step = "shed"      // the back end itself declared it not run
	StepIdentity  Step = "identity"  // another back end than the one meant is there
	StepBody      Step = "body"      // passing on the reply's body
	// StepMoved: a newer configuration leads the request elsewhere.
	StepMoved Step = "moved"
	// StepCrash: the back end's process ended under the request.
	StepCrash Step = "crash"
	// StepQuarantine: the request ends the back ends that run it, so that none gets it.
	StepQuarantine Step = "quarantine"
	// StepLimit: the rate limit that the back end has named has no room in time.
	StepLimit Step = "limit"
)

// Failure is a request that the mesh answers itself. It is an error.
type Failure struct {
	Outcome Outcome
	// Status is the HTTP status of the reply.
	Status int
	Step   Step
	// Peer is the address or name of the party the step dealt with.
	Peer string
	// RetryAfter tells the caller when to come back; zero sends none.
	RetryAfter time.Duration
	Cause      error
}

// Refusal returns the failure of a request that was not run. A retryAfter of
// zero sends none.
func Refusal(status int, step Step, retryAfter time.Duration, cause error) *Failure {
	return &Failure{Outcome: NotRun, Status: status, Step: step, RetryAfter: retryAfter, Cause: cause}
}

// Error names outcome, step, peer and cause.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%s: step %s", f.Outcome, f.Step)
	if f.Peer != "" {
		text += ", peer " + f.Peer
	}
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Fields returns what a log line about the failure of a call says.
func (f *Failure) Fields(call string) []zap.Field {
	return []zap.Field{
		zap.String("outcome", string(f.Outcome)),
		zap.String("step", string(f.Step)),
		zap.String("peer", f.Peer),
		zap.String("call", call),
		zap.NamedError("cause", f.Cause),
	}
}

// WriteTo sends the failure as a whole reply. The body says the same as the
// headers; it never contains the cause, which may name internals.
func (f *Failure) WriteTo(w http.ResponseWriter) {
	header := w.Header()
	header.Set(HeaderOutcome, string(f.Outcome))
	header.Set(HeaderError, f.short())
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Content-Type-Options", "nosniff")
	if f.RetryAfter > 0 {
		header.Set(headerRetryAfter, retryAfterSeconds(f.RetryAfter))
	}
	body := string(f.Outcome) + ": " + f.short() + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.Status)
	_, _ = w.Write([]byte(body))
}

func (f *Failure) short() string {
	return "step=" + string(f.Step) + "; peer=" + f.Peer
}

// retryAfterSeconds rounds up: the header knows whole seconds only.
func retryAfterSeconds(wait time.Duration) string {
	seconds := (wait + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}

// EnsureRetryAfter tells the caller when to come back, unless the header does.
func EnsureRetryAfter(header http.Header, wait time.Duration) {
	if header.Get(headerRetryAfter) == "" {
		header.Set(headerRetryAfter, retryAfterSeconds(wait))
	}
}

// IsMarker reports whether a header name, canonical or not, belongs to the
// mesh.
func IsMarker(name string) bool {
	return len(name) >= len(markerPrefix) && strings.EqualFold(name[:len(markerPrefix)], markerPrefix)
}

// StripMarkers removes every marker of the mesh.
func StripMarkers(header http.Header) {
	for name := range header {
		if IsMarker(name) {
			delete(header, name)
		}
	}
}
