package egress

import (
	"sync/atomic"
	"time"
)

// patience is how long callers of one route wait when they come for the first
// time. One with notably less time has come back.
type callerTimeout struct {
	longest atomic.Int64
}

// returnShare is the part of the full time below which a caller has come back.
const returningThreshold = 0.97

// returns takes in one caller's remaining time and tells whether it has come
// back.
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

// patience returns what is known of the callers of a route.
func (h *Handler) callerTimeout(route string) *callerTimeout {
	if value, found := h.callerTimeouts.Load(route); found {
		return value.(*callerTimeout)
	}
	value, _ := h.callerTimeouts.LoadOrStore(route, &callerTimeout{})
	return value.(*callerTimeout)
}
