package ingress

import (
	"net/http"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

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

// checkStop refuses a request that may not be done before the node stops. It has not run. The
// caller may return when the node has been restarted.
func (a *arrival) checkStop() *outcome.Failure {
	now := clock.Now()
	latest, bounded := a.latestStart(now)
	if !bounded || !now.After(latest) {
		return nil
	}
	wait := max(a.handler.finishBy.Load().Sub(now), defaultRetryAfter)
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, wait, errStopping)
}
