package ingress

import "time"

// Stop begins the planned stop of the node: replies close their connections from now on, and
// requests that may take until after finishBy are refused, since they would be cut off then.
func (h *Handler) Stop(finishBy time.Time) {
	h.finishBy.Store(&finishBy)
	h.closeConnections.Store(true)
}

// RejectNew refuses new requests and those that wait for a slot; none of them is run.
func (h *Handler) RejectNew() {
	h.rejecting.Store(true)
	h.gate.Close()
}

// latestStart returns the time until which the request may be sent to the back end, and false
// without such a bound. A request ends by its deadline or is done within its longest service time.
func (a *arrival) latestStart(now time.Time) (latest time.Time, bounded bool) {
	finishBy := a.handler.finishBy.Load()
	if finishBy == nil || !a.deadline.After(*finishBy) {
		return time.Time{}, false
	}
	return finishBy.Add(-a.handler.longest.Bound(a.reported.ExpectedServiceTime, now)), true
}
