package egress

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// Stop makes responses close their connections from now on.
func (h *Handler) Stop() { h.stopping.Store(true) }

// RefuseFrom refuses calls that arrive at that time or later. Of several times the earliest
// applies.
func (h *Handler) RefuseFrom(moment time.Time) {
	for {
		held := h.refuseFrom.Load()
		if held != nil && !moment.Before(*held) {
			return
		}
		if h.refuseFrom.CompareAndSwap(held, &moment) {
			return
		}
	}
}

// refuses reports whether a call that arrived at that time is refused.
func (h *Handler) refuses(came time.Time) bool {
	from := h.refuseFrom.Load()
	return from != nil && !came.Before(*from)
}

// CancelCalls aborts the calls in flight; their callers get a response.
func (h *Handler) CancelCalls() { h.cancelCalls(errStopping) }

// InFlight returns the number of calls in flight.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// LastCall returns when the last call arrived.
func (h *Handler) LastCall() time.Time { return clock.At(h.lastCall.Load()) }
