package shares

import (
	"sync"
	"time"
)

const (
	// replyWeight is the inverse weight of one reply in the mean: back ends see different parts
	// of the demand.
	replyWeight = 16
	// unmarkedMargin is the multiple of its share up to which a tenant's requests are left
	// unmarked. Shares computed at back ends vary randomly; the queues there share exactly,
	// while marked requests yield to all others.
	unmarkedMargin = 2
	// spareFactor is the share assumed at a back end with sufficient capacity, as a multiple of
	// the tenant's demand.
	spareFactor = 2
	// maxReplyAge is the time without a reply after which the state of a flow is stale.
	maxReplyAge = 2 * time.Second
	// maxFlows bounds the number of flows; when it is reached, stale ones are removed.
	maxFlows = 4096
)

// Flow identifies a tenant's requests of one priority to a service.
type Flow struct {
	Service, Tenant string
	Priority        int
}

// Tracker tracks, at the callers' node, the shares of tenants as reported with replies. The
// zero value is ready to use. It is safe for concurrent use.
type Tracker struct {
	mu    sync.RWMutex // guards all below
	flows map[Flow]*flowEstimate
	// sweptAt is the time at which stale flows were last removed.
	sweptAt time.Time
}

// flowEstimate is the estimate for one flow.
type flowEstimate struct {
	mu sync.Mutex // guards all below
	// share and demand are exponentially weighted means over replies. They are averaged
	// separately, since demand varies randomly between back ends: the mean of the ratios would
	// be below the ratio of the means.
	share, demand float64
	// lastReply is the arrival time of the last reply; zero before the first.
	lastReply time.Time
}

// Observe records the allocation reported with a reply. No state is kept for flows that have
// always had sufficient capacity.
func (t *Tracker) Observe(flow Flow, reported Allocation, now time.Time) {
	t.mu.RLock()
	estimate := t.flows[flow]
	t.mu.RUnlock()
	if estimate == nil {
		if reported == (Allocation{}) {
			return
		}
		estimate = t.add(flow, now)
	}
	estimate.observe(reported, now)
}

// add returns the estimate of a flow and creates it if there is none.
func (t *Tracker) add(flow Flow, now time.Time) *flowEstimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if estimate := t.flows[flow]; estimate != nil {
		return estimate
	}
	if t.flows == nil {
		t.flows = map[Flow]*flowEstimate{}
	}
	if len(t.flows) >= maxFlows && now.Sub(t.sweptAt) >= maxReplyAge {
		t.sweptAt = now
		for other, estimate := range t.flows {
			if !estimate.isFresh(now) {
				delete(t.flows, other)
			}
		}
	}
	added := &flowEstimate{}
	if len(t.flows) < maxFlows {
		t.flows[flow] = added
	}
	return added
}

// Fraction returns the fraction of the flow's requests that is within its share; FullFraction
// if there is no recent report.
func (t *Tracker) Fraction(flow Flow, now time.Time) float64 {
	t.mu.RLock()
	estimate := t.flows[flow]
	t.mu.RUnlock()
	if estimate == nil {
		return FullFraction
	}
	estimate.mu.Lock()
	defer estimate.mu.Unlock()
	if now.Sub(estimate.lastReply) >= maxReplyAge || estimate.demand <= estimate.share*unmarkedMargin {
		return FullFraction
	}
	return clampFraction(estimate.share * unmarkedMargin / estimate.demand)
}

func (e *flowEstimate) observe(reported Allocation, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	share, demand := float64(reported.Share), float64(reported.Demand)
	switch {
	case reported == (Allocation{}):
		share, demand = spareFactor*e.demand, e.demand
	case now.Sub(e.lastReply) >= maxReplyAge:
		e.share, e.demand = share, demand
	}
	e.share += (share - e.share) / replyWeight
	e.demand += (demand - e.demand) / replyWeight
	e.lastReply = now
}

func (e *flowEstimate) isFresh(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.lastReply) < maxReplyAge
}
