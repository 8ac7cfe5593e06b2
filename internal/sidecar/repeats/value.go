package repeats

import (
	"math"
	"sync"
	"time"
)

// Request describes a request by what determines the value of repeating it.
type Request struct {
	// Nested says that another request, which is running, waits for this one. The work done by that
	// run is lost without the repeat.
	Nested bool
	// Returning says that the caller has been refused before and has no time to try again.
	Returning bool
}

// The value of a repeat that is accepted, in units of the work of one request.
const (
	// nestedValue is the work of the run that waits for the request, and of the other calls of that
	// run.
	nestedValue = 2
	// returningValue is the request itself, which is lost without the repeat.
	returningValue = 1
	// firstValue is lower because the caller may try again and be served late.
	firstValue = 0.5
	// minExpectedValue is the lowest expected value at which a request is repeated. Below it, the
	// back ends reject almost everything, and repeats only add to the load that they reject.
	minExpectedValue = 0.05
)

// value returns the value of a repeat that is accepted.
func (r Request) value() float64 {
	switch {
	case r.Nested:
		return nestedValue
	case r.Returning:
		return returningValue
	}
	return firstValue
}

// expectedValue returns the expected value of a repeat, given the fraction of requests that is
// accepted.
func (r Request) expectedValue(accepted float64) float64 { return accepted * r.value() }

// mayTake reports whether a repeat may take one of the available tokens, some of which are in
// reserve for repeats of higher value.
func mayTake(available, reserve float64) bool { return reserve < minReserve || available-reserve >= 1 }

const (
	// minReserve is the smallest reserve, in tokens, that is kept.
	minReserve = 0.1
	// reserveTime is the time that the reserve should last, since more tokens may not arrive
	// before.
	reserveTime = 200 * time.Millisecond
)

// demandCounter counts the recent repeats of the highest value. It is safe for concurrent use.
type demandCounter struct {
	mu sync.Mutex // guards all below
	// nested counts repeats of nested calls, with exponential decay over one second.
	nested  float64
	updated time.Time
}

// add records a repeat and returns how many tokens are in reserve for repeats of higher value.
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
	// acceptanceDecay is the time constant of the decay of acceptance. Back ends start and stop
	// rejecting requests within a second.
	acceptanceDecay = time.Second
	// minAcceptanceSamples is the number of sends below which the fraction is not meaningful.
	minAcceptanceSamples = 5
)

// acceptance estimates the fraction of recent requests that the back ends of a service accept. It
// is safe for concurrent use. Its zero value has no samples.
type acceptance struct {
	mu                       sync.Mutex // guards all below
	sentCount, acceptedCount float64
	updated                  time.Time
}

// add records whether a send that reached a back end was accepted.
func (a *acceptance) add(accepted bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	a.sentCount++
	if accepted {
		a.acceptedCount++
	}
}

// acceptedFraction returns the fraction of requests that is accepted, or 1 if there are too few
// recent samples.
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
