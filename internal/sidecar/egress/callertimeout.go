package egress

import (
	"sync/atomic"
	"time"
)

// callerTimeout tracks how long callers of one route wait on their first attempt. A caller with
// notably less time is a returning one.
type callerTimeout struct {
	longest atomic.Int64
}

// returningThreshold is the fraction of the longest timeout below which a caller counts as
// returning.
const returningThreshold = 0.97

// isReturning records one caller's remaining time and reports whether it is returning.
func (p *callerTimeout) isReturning(remaining time.Duration) bool {
	for {
		longest := p.longest.Load()
		if int64(remaining) <= longest {
			return float64(remaining) < returningThreshold*float64(longest)
		}
		if p.longest.CompareAndSwap(longest, int64(remaining)) {
			return false
		}
	}
}

// callerTimeout returns the tracker of a route.
func (h *Handler) callerTimeout(route string) *callerTimeout {
	if value, found := h.callerTimeouts.Load(route); found {
		return value.(*callerTimeout)
	}
	value, _ := h.callerTimeouts.LoadOrStore(route, &callerTimeout{})
	return value.(*callerTimeout)
}
