package egress

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// Stop has answers close their connections from now on.
func (h *Handler) Stop() { h.stopping.Store(true) }

// RefuseFrom has calls refused that come at that moment or later. Of several
// moments the earliest holds.
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

// refuses reports whether a call that came at that moment is refused.
func (h *Handler) refuses(came time.Time) bool {
	from := h.refuseFrom.Load()
	return from != nil && !came.Before(*from)
}

// CancelCalls ends what is still under way with an answer.
func (h *Handler) CancelCalls() { h.cancelCalls(errStopping) }

// InFlight returns how many calls are under way.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// LastCall returns when the last call came in.
func (h *Handler) LastCall() time.Time { return clock.At(h.lastCall.Load()) }
