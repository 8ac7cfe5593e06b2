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

// What a repeat saves, by the work that it is worth.
const (
	// savesNested: the work of the run that waits for it, and its other calls.
	savesNested = 2
	// savesReturning: the request, which is lost without it.
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
// repeats that save more.
func spends(held, kept float64) bool { return kept < leastKept || held-kept >= 1 }

const (
	// leastKept is from how many tokens on some are kept.
	leastKept = 0.1
	// keptFor is for how long they are to last: more may not come sooner.
	keptFor = 200 * time.Millisecond
)

// calls are repeats that were called for of late and save most. It is safe for concurrent
// use.
type calls struct {
	mu sync.Mutex // guards all below
	// nested counts those of nested calls, as they fade over a second.
	nested float64
	last   time.Time
}

// add notes a repeat and returns how many tokens are kept from it for those that save more.
func (c *calls) add(request Request, now time.Time) (kept float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if passed := now.Sub(c.last); passed > 0 {
		c.nested *= math.Exp(-passed.Seconds())
		c.last = now
	}
	if request.Nested {
		c.nested++
		return 0
	}
	return c.nested * keptFor.Seconds()
}

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
