package choice

import "time"

// Request is what is known of a request when it is sent to a back end.
type Request struct {
	// LatencyTarget is the target latency; zero when there is none.
	LatencyTarget time.Duration
	// Remaining is the time until the answer is of no use or the route's time-out
	// ends the request, whichever comes first.
	Remaining time.Duration
	// CallerRemaining is how long the caller itself waits for the answer and comes back
	// after a refusal. The route's time-out does not shorten it.
	CallerRemaining time.Duration
	// Elapsed is the time since the request came in.
	Elapsed time.Duration
	// ExpectedServiceTime is how long the back end will work on it.
	ExpectedServiceTime time.Duration
	// Returning: the caller was refused before and has come back.
	Returning bool
	// Sends is how many nodes it was sent to before, Candidates how many may take it,
	// those included.
	Sends, Candidates int
}

const (
	// minimumWaitShare is the part of the target latency within which a refusal
	// leaves the caller time to come back and still be served well.
	minimumWaitShare = 0.25
	// maximumWaitShare is the part of the remaining time that a request may wait at
	// most.
	maximumWaitShare = 0.5
	// serviceTimeMargin is how much longer than expected the work may take.
	serviceTimeMargin = 1.5
	// retryLatencyTargets is how many target latencies a caller must wait in all for a
	// refusal to be of use to it: it is refused, rests and is served anew.
	retryLatencyTargets = 3
	// shortWaitSends is how many of its first sends are brief: the request waits briefShare
	// of the time that it may, and looks elsewhere then. What a node knows of queues is
	// old, so that the next one is mostly shorter. At full load of three services of 22 to
	// 34 back ends it brought 0.879 of the worth for 0.863, and the routes with the shortest
	// target latency 0.966 for 0.935 (docs/design/0010-the-shifted-work.md).
	shortWaitSends = 2
	shortWaitShare = 0.35
)

// MaximumWait returns how long a request may wait for a slot: as long as its answer
// can still come in time, also when its caller was refused before, since who is
// served late takes the slot of one who could be served in time. One whose caller
// has no time to come back, such as a call that a back end makes while it works,
// is of use until its deadline.
func MaximumWait(request Request) time.Duration {
	maximum := time.Duration(float64(request.Remaining) * maximumWaitShare)
	if request.LatencyTarget <= 0 {
		return maximum
	}
	minimum := time.Duration(float64(request.LatencyTarget) * minimumWaitShare)
	wait := request.LatencyTarget - request.Elapsed - time.Duration(float64(request.ExpectedServiceTime)*serviceTimeMargin)
	wait = min(max(wait, minimum), maximum)
	if request.LacksRetryTime() {
		wait = min(max(request.Remaining-request.ExpectedServiceTime, wait), maximum)
	}
	if request.waitsShort() {
		wait = time.Duration(float64(wait) * shortWaitShare)
	}
	return wait
}

// waitsShort reports whether the next send is waitsShort: one of the first, with more candidates left
// than waitsShort sends, so that at least one of them is asked for the whole time.
func (r Request) waitsShort() bool {
	return r.Sends < shortWaitSends && r.Candidates-r.Sends > shortWaitSends
}

// LacksRetryTime reports whether the caller has no time to come back after a refusal.
func (r Request) LacksRetryTime() bool {
	return r.LatencyTarget > 0 && r.CallerRemaining < retryLatencyTargets*r.LatencyTarget
}
