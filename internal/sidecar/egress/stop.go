package egress

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
)

// Stop makes responses close their connections from now on.
func (h *Handler) Stop() { h.stopping.Store(true) }

// AcceptNestedUntil sets the time by which a call must end to be accepted after calls are refused. Such
// a call must also be one that the local back end may make for a request that it is working on.
func (h *Handler) AcceptNestedUntil(moment time.Time) { h.nestedUntil.Store(&moment) }

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

// refusedByStop reports whether the call is refused because the node is stopping. One that the local
// back end may have made is accepted if its deadline ends it before all calls are cancelled: without
// it the request that it serves would fail.
func (c *call) refusedByStop() bool {
	if !c.handler.refuses(c.started) {
		return false
	}
	asked, valid := hop.ParseMilliseconds(c.request.Header.Get(c.handler.options.Vocabulary.Deadline))
	return !valid || !c.handler.acceptsNested(c.started.Add(asked))
}

// stopRetryAfter returns when the caller of a refused call may return: once the node has stopped, but
// with time left for another attempt.
func (c *call) stopRetryAfter() time.Duration {
	until := c.handler.nestedUntil.Load()
	if until == nil {
		return defaultRetryAfter
	}
	wait := max(clock.Until(*until), defaultRetryAfter)
	if asked, valid := hop.ParseMilliseconds(c.request.Header.Get(c.handler.options.Vocabulary.Deadline)); valid {
		wait = min(wait, max(asked/retryAfterParts, minimumRetryAfter))
	}
	return wait
}

// acceptsNested reports whether a call with that deadline is accepted as a nested one.
func (h *Handler) acceptsNested(deadline time.Time) bool {
	until := h.nestedUntil.Load()
	if until == nil || deadline.After(*until) || h.options.Nested == nil {
		return false
	}
	return h.options.Nested.Possible(deadline)
}

// CancelCalls aborts the calls in flight; their callers get a response.
func (h *Handler) CancelCalls() { h.cancelCalls(errStopping) }

// InFlight returns the number of calls in flight.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// LastCall returns when the last call arrived.
func (h *Handler) LastCall() time.Time { return clock.At(h.lastCall.Load()) }
