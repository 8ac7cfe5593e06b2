// Package balance selects the endpoint of a request by the power of two random choices, with slow
// start of cold endpoints and ejection of failing ones. State is kept in atomics, without locks.
// The current time and the random number are parameters.
package balance

import (
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
)

// Times are durations since an epoch that the caller chooses.
const (
	// slowStartDuration is the time after which a cold endpoint gets its full share.
	slowStartDuration = 10 * time.Second
	// fullWeight is the weight of a warm endpoint. A cold one starts at coldWeight.
	fullWeight = 1000
	coldWeight = 100
	// reportedLoadLifetime is how long a load that an endpoint reported is used.
	reportedLoadLifetime = 250 * time.Millisecond
	// shedBackoff is how long an endpoint is avoided after it shed a request.
	shedBackoff = 50 * time.Millisecond
)

// Endpoint holds this proxy's connections to a back end and its view of the back end's load and
// health. It is kept across configuration snapshots.
type Endpoint struct {
	ID      endpoint.ID
	Zone    string
	Address string
	// Pool is the connection pool for Address.
	Pool *forward.Pool

	// inFlight is the number of requests of this proxy at the endpoint.
	inFlight atomic.Int64
	// slowStartBegan is the time at which slow start began. It is negative when the endpoint is
	// warm.
	slowStartBegan atomic.Int64
	// ejectedUntil and backoffUntil are the times before which the endpoint gets no requests while
	// others are usable.
	ejectedUntil atomic.Int64
	backoffUntil atomic.Int64
	// failures and ejections count consecutive failures and consecutive ejections.
	failures  atomic.Int32
	ejections atomic.Int32
	// reportedLoad is the load that the endpoint last reported, received at reportedAt.
	reportedLoad atomic.Int64
	reportedAt   atomic.Int64
}

// NewEndpoint returns a warm endpoint with no requests in flight.
func NewEndpoint(id endpoint.ID, zone, address string, pool *forward.Pool) *Endpoint {
	created := &Endpoint{ID: id, Zone: zone, Address: address, Pool: pool}
	created.slowStartBegan.Store(-1)
	return created
}

// BeginSlowStart begins slow start unless it is already in progress.
func (e *Endpoint) BeginSlowStart(now time.Duration) {
	e.slowStartBegan.CompareAndSwap(-1, int64(now))
}

// InFlight returns the number of requests of this proxy at the endpoint.
func (e *Endpoint) InFlight() int { return int(e.inFlight.Load()) }

// Ejected reports whether the endpoint is ejected at the given time.
func (e *Endpoint) Ejected(now time.Duration) bool { return e.ejectedUntil.Load() > int64(now) }

// Release frees a slot that Set.Acquire acquired.
func (e *Endpoint) Release() { e.inFlight.Add(-1) }

// RecordLoad records the number of requests in flight that the endpoint reports.
func (e *Endpoint) RecordLoad(now time.Duration, load int) {
	e.reportedLoad.Store(int64(load))
	e.reportedAt.Store(int64(now))
}

// RecordShed records that the endpoint shed a request because it was at capacity.
func (e *Endpoint) RecordShed(now time.Duration) {
	e.backoffUntil.Store(int64(now + shedBackoff))
}

// RecordSuccess records a complete response. It resets the counts of consecutive failures and
// ejections.
func (e *Endpoint) RecordSuccess() {
	if e.failures.Load() != 0 {
		e.failures.Store(0)
	}
	if e.ejections.Load() != 0 {
		e.ejections.Store(0)
	}
}

// acquireSlot increments inFlight unless all slots are in use.
func (e *Endpoint) acquireSlot(slots int64) bool {
	if e.inFlight.Add(1) <= slots {
		return true
	}
	e.inFlight.Add(-1)
	return false
}

// load returns the estimated number of requests at the endpoint. A reported load below the number
// of this proxy's own requests contradicts that number and is ignored. A reported load is capped at
// slots-1, since only a refusal proves that no slot is free.
func (e *Endpoint) load(now time.Duration, slots int64) int64 {
	observed := e.inFlight.Load()
	if int64(now)-e.reportedAt.Load() > int64(reportedLoadLifetime) {
		return observed
	}
	return max(observed, min(e.reportedLoad.Load(), slots-1))
}

// weight returns the weight of the endpoint, which grows linearly from coldWeight to fullWeight
// during slow start.
func (e *Endpoint) weight(now time.Duration) int64 {
	since := e.slowStartBegan.Load()
	if since < 0 {
		return fullWeight
	}
	elapsed := int64(now) - since
	if elapsed >= int64(slowStartDuration) {
		e.slowStartBegan.CompareAndSwap(since, -1)
		return fullWeight
	}
	return coldWeight + (fullWeight-coldWeight)*max(elapsed, 0)/int64(slowStartDuration)
}

// cost returns the load, with the new request included, divided by the weight. Endpoints of lower
// cost are preferred.
func (e *Endpoint) cost(now time.Duration, slots int64) int64 {
	return (e.load(now, slots) + 1) * fullWeight * fullWeight / e.weight(now)
}
