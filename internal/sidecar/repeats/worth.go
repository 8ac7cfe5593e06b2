package repeats

import (
	"math"
	"sync"
	"time"
)

// Request is what decides how much a repeat of it is worth.
type Request struct {
	// Nested: a running request waits for it, and what that has worked is lost without it.
	Nested bool
	// Returning: the caller has been refused before, and has no time to come back again.
	Returning bool
}

// Parts of a request's worth that a repeat saves.
const (
	// savesNested: the call itself, and the work of the run that waits for it.
	savesNested = 2
	// savesReturning: the request is lost without it.
	savesReturning = 1
	// savesFirst: the caller may come back, and be served late.
	savesFirst = 0.5
	// leastWorth is what a repeat is worth at least. Below, the back ends reject whatever comes:
	// repeats only add to what they reject.
	leastWorth = 0.05
)

// saves returns what a repeat that is accepted saves.
func (r Request) saves() float64 {
	switch {
	case r.Nested:
		return savesNested
	case r.Returning:
		return savesReturning
	}
	return savesFirst
}

// worth returns what a repeat is worth where that part of what comes is accepted.
func (r Request) worth(accepted float64) float64 { return accepted * r.saves() }

// spends reports whether a repeat may have one of the tokens that are held. Some are kept for
// repeats that save more: as many as were called for in the time until more tokens can be here.
func spends(held, kept float64) bool { return kept == 0 || held-kept >= 1 }

const (
	// acceptanceLife is how fast what back ends did fades. They begin and cease to reject within
	// a second.
	acceptanceLife = time.Second
	// acceptanceLeast is how many sends say something.
	acceptanceLeast = 5
)

// acceptance is the part of the requests that back ends of a service accept of late. It is safe
// for concurrent use; its zero value has seen none.
type acceptance struct {
	mu          sync.Mutex // guards all below
	sent, taken float64
	last        time.Time
}

// add takes in what became of one send that reached a back end.
func (a *acceptance) add(accepted bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fade(now)
	a.sent++
	if accepted {
		a.taken++
	}
}

// share returns the part that is accepted, 1 where too little was seen of late.
func (a *acceptance) share(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fade(now)
	if a.sent < acceptanceLeast {
		return 1
	}
	return a.taken / a.sent
}

func (a *acceptance) fade(now time.Time) {
	if passed := now.Sub(a.last); passed > 0 {
		kept := math.Exp(-float64(passed) / float64(acceptanceLife))
		a.sent *= kept
		a.taken *= kept
		a.last = now
	}
}
