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
	nestedValue = 2
	// savesReturning: the request, which is lost without it.
	returningValue = 1
	// savesFirst: the caller may come back, and be served late.
	firstValue = 0.5
	// leastWorth is what a repeat is worth at least. Below, the back ends reject whatever comes:
	// repeats only add to what they reject.
	minExpectedValue = 0.05
)

// saves returns what a repeat that is accepted saves.
func (r Request) value() float64 {
	switch {
	case r.Nested:
		return nestedValue
	case r.Returning:
		return returningValue
	}
	return firstValue
}

// worth returns what a repeat is worth where that part of what comes is accepted.
func (r Request) expectedValue(accepted float64) float64 { return accepted * r.value() }

// spends reports whether a repeat may have one of the tokens that are held. Some are kept for
// repeats that save more.
func mayTake(available, reserve float64) bool { return reserve < minReserve || available-reserve >= 1 }

const (
	// leastKept is from how many tokens on some are kept.
	minReserve = 0.1
	// keptFor is for how long they are to last: more may not come sooner.
	reserveTime = 200 * time.Millisecond
)

// calls are repeats that were called for of late and save most. It is safe for concurrent
// use.
type demandCounter struct {
	mu sync.Mutex // guards all below
	// nested counts those of nested calls, as they fade over a second.
	nested  float64
	updated time.Time
}

// add notes a repeat and returns how many tokens are kept from it for those that save more.
func (c *demandCounter) add(request Request, now time.Time) (reserve float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if elapsed := now.Sub(c.updated); elapsed > 0 {
		c.nested *= math.Exp(-elapsed.Seconds())
		c.updated = now
	}
	if request.Nested {
		c.nested++
		return 0
	}
	return c.nested * reserveTime.Seconds()
}

const (
	// acceptanceLife is how fast what back ends did fades. They begin and cease to reject within
	// a second.
	acceptanceDecay = time.Second
	// acceptanceLeast is how many sends say something.
	minAcceptanceSamples = 5
)

// acceptance is the part of the requests that back ends of a service accept of late. It is safe
// for concurrent use; its zero value has seen none.
type acceptance struct {
	mu                       sync.Mutex // guards all below
	sentCount, acceptedCount float64
	updated                  time.Time
}

// add takes in what became of one send that reached a back end.
func (a *acceptance) add(accepted bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	a.sentCount++
	if accepted {
		a.acceptedCount++
	}
}

// share returns the part that is accepted, 1 where too little was seen of late.
func (a *acceptance) acceptedFraction(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	if a.sentCount < minAcceptanceSamples {
		return 1
	}
	return a.acceptedCount / a.sentCount
}

func (a *acceptance) decay(now time.Time) {
	if elapsed := now.Sub(a.updated); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(acceptanceDecay))
		a.sentCount *= factor
		a.acceptedCount *= factor
		a.updated = now
	}
}
