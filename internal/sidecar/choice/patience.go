package choice

import "time"

// Request is what is known of a request when it is sent to a back end.
type Request struct {
	// Aim is the target latency; zero when there is none.
	Aim time.Duration
	// Remaining is the time until the answer is of no use.
	Remaining time.Duration
	// Elapsed is the time since the request came in.
	Elapsed time.Duration
	// Expected is how long the back end will work on it.
	Expected time.Duration
	// Returning: the caller was refused before and has come back.
	Returning bool
}

const (
	// earlyShare is the part of the target latency within which a refusal
	// leaves the caller time to come back and still be served well.
	earlyShare = 0.25
	// lateShare is the part of the remaining time that a request may wait at
	// most.
	lateShare = 0.5
	// workMargin is how much longer than expected the work may take.
	workMargin = 1.5
	// returnRoom is how many target latencies a caller must have left for a
	// refusal to be of use to it.
	returnRoom = 3
)

// Patience returns how long a request may wait for a slot, and in what time it
// must have one for its answer to be of full use. A request whose caller has
// come back already may wait a whole target latency: late is better than refused
// then. One whose caller has no time to come back, such as a call that a back end
// makes while it works, is of use until its deadline.
func Patience(request Request) (wait, slack time.Duration) {
	most := time.Duration(float64(request.Remaining) * lateShare)
	if request.Aim <= 0 {
		return most, most
	}
	least := time.Duration(float64(request.Aim) * earlyShare)
	slack = request.Aim - request.Elapsed - time.Duration(float64(request.Expected)*workMargin)
	slack = min(max(slack, least), most)
	if request.Hurried() {
		slack = min(max(request.Remaining-request.Expected, slack), most)
		return slack, slack
	}
	wait = slack
	if request.Returning {
		wait = min(request.Aim, most)
	}
	return wait, slack
}

// Hurried reports whether the caller has no time to come back after a refusal.
func (r Request) Hurried() bool { return r.Aim > 0 && r.Remaining < returnRoom*r.Aim }
