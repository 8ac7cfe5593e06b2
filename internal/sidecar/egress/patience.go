package egress

import (
	"sync/atomic"
	"time"
)

// patience is how long callers of one route wait when they come for the first
// time. One with notably less time has come back.
type patience struct {
	longest atomic.Int64
}

// returnShare is the part of the full time below which a caller has come back.
const returnShare = 0.97

// returns takes in one caller's remaining time and tells whether it has come
// back.
func (p *patience) returns(remaining time.Duration) bool {
	for {
		longest := p.longest.Load()
		if int64(remaining) <= longest {
			return float64(remaining) < returnShare*float64(longest)
		}
		if p.longest.CompareAndSwap(longest, int64(remaining)) {
			return false
		}
	}
}

// patience returns what is known of the callers of a route.
func (h *Handler) patience(route string) *patience {
	if held, found := h.patiences.Load(route); found {
		return held.(*patience)
	}
	held, _ := h.patiences.LoadOrStore(route, &patience{})
	return held.(*patience)
}
