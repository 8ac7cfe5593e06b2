package shares

import (
	"sync"
	"time"
)

const (
	// hearWeight is the weight of one reply, as 1/n: back ends see different parts of the demand.
	replyWeight = 16
	// margin is how much more than its share a tenant has unmarked. Back ends see a share by chance:
	// the queues there share exactly, and what is marked gives way to all.
	unmarkedMargin = 2
	// roomy is how many times what a tenant asks for a back end with room for all counts as its share.
	spareFactor = 2
	// hearAge is after what time without a reply nothing is known of a tenant.
	maxReplyAge = 2 * time.Second
	// mostHeard is from how many tenants on those are looked for of which nothing is known any more.
	maxFlows = 4096
)

// Flow is a tenant's requests of one priority to a service.
type Flow struct {
	Service, Tenant string
	Priority        int
}

// Tracker is what the node of callers knows of tenants' shares, by what replies told. The zero value
// is ready and knows nothing. It is safe for concurrent use.
type Tracker struct {
	mu    sync.RWMutex // guards all below
	flows map[Flow]*flowEstimate
	// swept is when subjects were last looked for of which nothing is known any more.
	sweptAt time.Time
}

// part is what replies told of one subject.
type flowEstimate struct {
	mu sync.Mutex // guards all below
	// share and demand are means that fade by replies. Demand differs between back ends by chance: the mean of
	// the parts would be below the part of the means.
	share, demand float64
	// at is when the last reply came; zero before the first.
	lastReply time.Time
}

// Observe takes in what a reply told. Of subjects for which there has always been room nothing is kept.
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

// add returns the part of a subject, which it makes where there is none.
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

// Fraction returns which part of the subject's requests is within its share; Whole when nothing recent
// is known.
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
