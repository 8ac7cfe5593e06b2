package shares

import (
	"sync"
	"time"
)

const (
	// hearWeight is the weight of one reply, as 1/n: back ends see different parts of the demand.
	hearWeight = 16
	// margin is how much more than its share a tenant has unmarked. Back ends see a share by chance:
	// the queues there share exactly, and what is marked gives way to all.
	margin = 2
	// roomy is how many times what a tenant asks for a back end with room for all counts as its share.
	roomy = 2
	// hearAge is after what time without a reply nothing is known of a tenant.
	hearAge = 2 * time.Second
	// mostHeard is from how many tenants on those are looked for of which nothing is known any more.
	mostHeard = 4096
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
	parts map[Flow]*part
	// swept is when subjects were last looked for of which nothing is known any more.
	swept time.Time
}

// part is what replies told of one subject.
type part struct {
	mu sync.Mutex // guards all below
	// share and demand are means that fade by replies. Demand differs between back ends by chance: the mean of
	// the parts would be below the part of the means.
	share, demand float64
	// at is when the last reply came; zero before the first.
	at time.Time
}

// Observe takes in what a reply told. Of subjects for which there has always been room nothing is kept.
func (h *Tracker) Observe(of Flow, told Allocation, now time.Time) {
	h.mu.RLock()
	held := h.parts[of]
	h.mu.RUnlock()
	if held == nil {
		if told == (Allocation{}) {
			return
		}
		held = h.add(of, now)
	}
	held.take(told, now)
}

// add returns the part of a subject, which it makes where there is none.
func (h *Tracker) add(of Flow, now time.Time) *part {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held := h.parts[of]; held != nil {
		return held
	}
	if h.parts == nil {
		h.parts = map[Flow]*part{}
	}
	if len(h.parts) >= mostHeard && now.Sub(h.swept) >= hearAge {
		h.swept = now
		for other, held := range h.parts {
			if !held.known(now) {
				delete(h.parts, other)
			}
		}
	}
	added := &part{}
	if len(h.parts) < mostHeard {
		h.parts[of] = added
	}
	return added
}

// Fraction returns which part of the subject's requests is within its share; Whole when nothing recent
// is known.
func (h *Tracker) Fraction(of Flow, now time.Time) float64 {
	h.mu.RLock()
	held := h.parts[of]
	h.mu.RUnlock()
	if held == nil {
		return FullFraction
	}
	held.mu.Lock()
	defer held.mu.Unlock()
	if now.Sub(held.at) >= hearAge || held.demand <= held.share*margin {
		return FullFraction
	}
	return clamp(held.share * margin / held.demand)
}

func (p *part) take(told Allocation, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	share, demand := float64(told.Share), float64(told.Demand)
	switch {
	case told == (Allocation{}):
		share, demand = roomy*p.demand, p.demand
	case now.Sub(p.at) >= hearAge:
		p.share, p.demand = share, demand
	}
	p.share += (share - p.share) / hearWeight
	p.demand += (demand - p.demand) / hearWeight
	p.at = now
}

func (p *part) known(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.at) < hearAge
}
