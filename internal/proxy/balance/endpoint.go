// Package balance chooses the endpoint of a request: two random choices by
// load, slow start for cold endpoints and ejection of failing ones. It reads
// and writes atomics only; the current time and the random number are inputs.
package balance

import (
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
)

// Times are given as the time since an epoch that the caller keeps.
const (
	// slowStart is how long a cold endpoint takes to its full share.
	slowStart = 10 * time.Second
	// fullWeight is the weight of a warm endpoint; a cold one starts at
	// coldWeight.
	fullWeight = 1000
	coldWeight = 100
	// hintLifetime is how long a load hint is believed.
	hintLifetime = 250 * time.Millisecond
	// shedPause is how long an endpoint that shed a request is avoided.
	shedPause = 50 * time.Millisecond
)

// Endpoint is one back end as this proxy sees it. It outlives snapshots.
type Endpoint struct {
	ID      endpoint.ID
	Zone    string
	Address string
	// Pool holds the connections to Address.
	Pool *forward.Pool

	// inFlight counts this proxy's own requests at the endpoint.
	inFlight atomic.Int64
	// warmSince is when slow start began; negative when the endpoint is warm.
	warmSince atomic.Int64
	// ejectedUntil and avoidedUntil are times before which it gets no work.
	ejectedUntil atomic.Int64
	avoidedUntil atomic.Int64
	// failures counts consecutive failures, ejections consecutive ejections.
	failures  atomic.Int32
	ejections atomic.Int32
	// hintLoad was reported at hintTime by the endpoint itself.
	hintLoad atomic.Int64
	hintTime atomic.Int64
}

// NewEndpoint returns a warm endpoint without load.
func NewEndpoint(id endpoint.ID, zone, address string, pool *forward.Pool) *Endpoint {
	created := &Endpoint{ID: id, Zone: zone, Address: address, Pool: pool}
	created.warmSince.Store(-1)
	return created
}

// BeginSlowStart begins slow start, unless it is going on already.
func (e *Endpoint) BeginSlowStart(now time.Duration) {
	e.warmSince.CompareAndSwap(-1, int64(now))
}

// InFlight returns this proxy's requests at the endpoint.
func (e *Endpoint) InFlight() int { return int(e.inFlight.Load()) }

// Ejected reports whether the endpoint is ejected now.
func (e *Endpoint) Ejected(now time.Duration) bool { return e.ejectedUntil.Load() > int64(now) }

// Release ends a request that Set.Acquire began.
func (e *Endpoint) Release() { e.inFlight.Add(-1) }

// RecordLoad takes in the load the endpoint reports for itself.
func (e *Endpoint) RecordLoad(now time.Duration, load int) {
	e.hintLoad.Store(int64(load))
	e.hintTime.Store(int64(now))
}

// RecordShed notes that the endpoint refused a request for lack of room.
func (e *Endpoint) RecordShed(now time.Duration) {
	e.avoidedUntil.Store(int64(now + shedPause))
}

// RecordSuccess notes a whole answer.
func (e *Endpoint) RecordSuccess() {
	if e.failures.Load() != 0 {
		e.failures.Store(0)
	}
	if e.ejections.Load() != 0 {
		e.ejections.Store(0)
	}
}

// take claims one of the slots.
func (e *Endpoint) take(slots int64) bool {
	if e.inFlight.Add(1) <= slots {
		return true
	}
	e.inFlight.Add(-1)
	return false
}

// load is the number of requests at the endpoint as far as known. A hint below
// the proxy's own count contradicts it and is ignored; a hint of more than
// all slots but one is cut, since only a refusal proves that none is free.
func (e *Endpoint) load(now time.Duration, slots int64) int64 {
	own := e.inFlight.Load()
	if int64(now)-e.hintTime.Load() > int64(hintLifetime) {
		return own
	}
	return max(own, min(e.hintLoad.Load(), slots-1))
}

// weight grows from coldWeight to fullWeight during slow start.
func (e *Endpoint) weight(now time.Duration) int64 {
	since := e.warmSince.Load()
	if since < 0 {
		return fullWeight
	}
	elapsed := int64(now) - since
	if elapsed >= int64(slowStart) {
		e.warmSince.CompareAndSwap(since, -1)
		return fullWeight
	}
	return coldWeight + (fullWeight-coldWeight)*max(elapsed, 0)/int64(slowStart)
}

// cost orders endpoints: load per weight, the lower the better.
func (e *Endpoint) cost(now time.Duration, slots int64) int64 {
	return (e.load(now, slots) + 1) * fullWeight * fullWeight / e.weight(now)
}
