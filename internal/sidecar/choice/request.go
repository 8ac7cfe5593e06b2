package choice

import "time"

// Request describes a request at the time it is sent to a back end.
type Request struct {
	// LatencyTarget is the target latency of the route; zero means none.
	LatencyTarget time.Duration
	// Remaining is the time until the caller's deadline or the route's timeout, whichever is
	// earlier.
	Remaining time.Duration
	// CallerRemaining is the time for which the caller itself still waits for the answer and
	// retries after a refusal. The route's timeout does not shorten it.
	CallerRemaining time.Duration
	// Elapsed is the time since the request was received.
	Elapsed time.Duration
	// ExpectedServiceTime is the time that the back end is expected to work on the request.
	ExpectedServiceTime time.Duration
	// Returning: the caller was refused before and is retrying.
	Returning bool
	// Sends is the number of nodes that the request was already sent to. Candidates is the number
	// of eligible nodes, including those.
	Sends, Candidates int
}

const (
	// minimumWaitShare is the part of the target latency that a request may always wait. A refusal
	// within that time leaves the caller enough time to retry and still be served in time.
	minimumWaitShare = 0.25
	// maximumWaitShare bounds the wait as a part of the remaining time.
	maximumWaitShare = 0.5
	// serviceTimeMargin is the factor by which the service time may exceed the expected one.
	serviceTimeMargin = 1.5
	// retryLatencyTargets is the minimum total wait of a caller, in target latencies, for a refusal
	// to be useful to it: it is refused, backs off and is served on the retry.
	retryLatencyTargets = 3
	// shortWaitSends is the number of a request's first sends that wait only shortWaitShare of the
	// permitted time before the request tries another node. Queue lengths known to a node are out
	// of date, so the next queue is usually shorter (docs/design/0010-the-shifted-work.md).
	shortWaitSends = 2
	shortWaitShare = 0.35
)

// MaximumWait returns how long a request may wait for a slot: as long as its answer can still be in
// time. This also holds for retries, since serving a request late takes the slot of one that could
// be served in time. A request whose caller has no time to retry, such as a nested call of a back
// end, is useful until its deadline.
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

// waitsShort reports whether the next send has the short wait: it is one of the first, and more
// candidates are left than short sends, so that at least one candidate gets the full wait.
func (r Request) waitsShort() bool {
	return r.Sends < shortWaitSends && r.Candidates-r.Sends > shortWaitSends
}

// LacksRetryTime reports whether the caller has no time to retry after a refusal.
func (r Request) LacksRetryTime() bool {
	return r.LatencyTarget > 0 && r.CallerRemaining < retryLatencyTargets*r.LatencyTarget
}
