package ingress

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// probeTimeout bounds the question whether the back end's process is still there.
	// It is on the same machine: a process that has ended refuses at once.
	probeTimeout = 50 * time.Millisecond
	// lossRetention is how long after its connections broke a back end that comes back
	// under another id is known to have ended then.
	lossRetention = 10 * time.Second
	// lossWindow is within which connections break together.
	lossWindow = 2 * probeTimeout
	// sentTimeout bounds the wait for the connections of all requests that were at work
	// to break: one that provably was not sent is no suspect.
	sentTimeout = 20 * time.Millisecond
)

// BackendCrash is the unplanned end of the process of a back end.
type BackendCrash struct {
	// Endpoint is the back end.
	Endpoint *roster.Endpoint
	// Running are the requests that were at work there when its first connection broke.
	Running []Running
}

// Running is one request at work.
type Running struct {
	RequestID string
	Print     fingerprint.Print
	// For is how long it had been there.
	For time.Duration
	// Trial: it was suspected of ending back ends before.
	Trial bool
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r Running) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("request", r.RequestID)
	encoder.AddString("content", r.Print.Content.String())
	encoder.AddString("call", r.Print.Call.String())
	encoder.AddDuration("for", r.For)
	if r.Trial {
		encoder.AddBool("trial", true)
	}
	return nil
}

// activeRequests knows which requests are at work at the back end, and tells a process that
// has ended from connections that broke. It is safe for concurrent use.
type activeRequests struct {
	mu       sync.Mutex // guards all below and the breakages
	arrivals map[*arrival]struct{}
	// last is the newest break of connections, nil before the first.
	last *connectionLoss
}

// connectionLoss is a moment at which connections to the back end broke.
type connectionLoss struct {
	endpoint *roster.Endpoint
	at       time.Time
	// running were at work then. One that provably was not sent is taken out.
	running map[*arrival]Running
	// undetermined are those of them of which it is not known yet whether they were sent; known is
	// closed when there are none any more.
	undetermined map[*arrival]struct{}
	determined   chan struct{}
	// decided is closed when it is known whether the process has ended, and told if so.
	decided chan struct{}
	crashed bool
}

// begin notes that a request goes to the back end.
func (w *activeRequests) begin(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.arrivals == nil {
		w.arrivals = map[*arrival]struct{}{}
	}
	w.arrivals[a] = struct{}{}
}

// end notes that a request is there no more.
func (w *activeRequests) end(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.arrivals, a)
	w.last.markDetermined(a)
}

// markUnsent notes that a request provably was not sent: it ended nothing.
func (w *activeRequests) markUnsent(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last != nil {
		delete(w.last.running, a)
	}
}

// markDetermined notes that it is known of a request whether it was sent; the lock is held.
func (b *connectionLoss) markDetermined(a *arrival) {
	if b == nil || len(b.undetermined) == 0 {
		return
	}
	delete(b.undetermined, a)
	if len(b.undetermined) == 0 {
		close(b.determined)
	}
}

// connectionLost returns the breakage that a request met whose connection connectionLost, and whether it is
// new. The first to come finds all others still at work.
func (w *activeRequests) connectionLost(a *arrival, now time.Time) (loss *connectionLoss, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last != nil && w.last.endpoint.Incarnation() == a.endpoint.Incarnation() && (w.last.crashed || now.Sub(w.last.at) < lossWindow) {
		w.last.markDetermined(a)
		return w.last, false
	}
	w.last = &connectionLoss{
		endpoint: a.endpoint, at: now, running: map[*arrival]Running{}, undetermined: map[*arrival]struct{}{},
		determined: make(chan struct{}), decided: make(chan struct{}),
	}
	for other := range w.arrivals {
		if other.endpoint.Incarnation() == a.endpoint.Incarnation() {
			w.last.running[other] = other.running(now)
			w.last.undetermined[other] = struct{}{}
		}
	}
	w.last.markDetermined(a)
	return w.last, true
}

func (b *connectionLoss) isDecided() bool {
	select {
	case <-b.decided:
		return true
	default:
		return false
	}
}

// report returns the end of the process that the breakage was, the requests in the order in
// which they began.
func (w *activeRequests) report(loss *connectionLoss) *BackendCrash {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &BackendCrash{Endpoint: loss.endpoint, Running: slices.SortedFunc(maps.Values(loss.running), func(a, b Running) int {
		return cmp.Or(cmp.Compare(b.For, a.For), cmp.Compare(a.RequestID, b.RequestID))
	})}
}

// crashOfPredecessor returns the breakage that the end of a process turns out to have been, now that
// another back end is there; nil when there is none.
func (w *activeRequests) crashOfPredecessor(of roster.Incarnation, now time.Time) *connectionLoss {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.last
	if last == nil || !last.isDecided() || last.crashed || last.endpoint.Incarnation() == of || now.Sub(last.at) > lossRetention {
		return nil
	}
	last.crashed = true
	return last
}

// markPlannedStop takes in that a back end is to end: what broke before was no sign of it.
func (w *activeRequests) markPlannedStop(of roster.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last != nil && w.last.endpoint.Incarnation() == of && w.last.isDecided() {
		w.last = nil
	}
}

// setCrashed notes whether the process has ended.
func (w *activeRequests) setCrashed(loss *connectionLoss, crashed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	loss.crashed = crashed
}

// crashed reports whether the process of the back end has crashed under a request whose
// connection broke. The first such request asks and tells what was at work; the others wait
// for it, so that each knows whether it is held back before its caller's node is answered.
func (h *Handler) crashed(a *arrival) (crashed, first bool) {
	loss, first := h.activeRequests.connectionLost(a, clock.Now())
	if first {
		crashed := h.processExited(a.context)
		h.activeRequests.setCrashed(loss, crashed)
		if crashed {
			h.reportCrash(loss)
		}
		close(loss.decided)
	}
	<-loss.decided
	h.activeRequests.mu.Lock()
	defer h.activeRequests.mu.Unlock()
	return loss.crashed, first
}

// processExited asks for a connection. A reset of connections leaves the listener; without
// its process nobody listens.
func (h *Handler) processExited(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	conn, err := h.options.Dial(ctx, "tcp", h.options.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if err := conn.Close(); err != nil {
		h.options.Logger.Debug("probe of the back end not closed", zap.Error(err))
	}
	return false
}

// reportCrash tells of a back end that has ended. One that was leaving was to end.
func (h *Handler) reportCrash(loss *connectionLoss) {
	if loss.endpoint.State != roster.Ready {
		return
	}
	select {
	case <-loss.determined:
	case <-time.After(sentTimeout):
	}
	report := h.activeRequests.report(loss)
	h.options.Logger.Warn("back end ended", zap.String("endpoint", report.Endpoint.ID), zap.String("service", report.Endpoint.Service),
		zap.String("software", report.Endpoint.Version), zap.Objects("running", report.Running))
	h.options.Observer.BackendCrashed(len(report.Running))
	h.options.Quarantine.Ended(report.crash())
}

// crash is the end as other nodes are told of it.
func (e *BackendCrash) crash() roster.Crash {
	crash := roster.Crash{Endpoint: e.Endpoint.Incarnation().String(), Service: e.Endpoint.Service}
	for _, running := range e.Running {
		crash.Running = append(crash.Running, running.Print)
		if running.Trial {
			crash.Trial = &running.Print
		}
	}
	return crash
}

// running describes the request for the end of its back end.
func (a *arrival) running(now time.Time) Running {
	return Running{
		RequestID: a.request.Header.Get(a.handler.options.Vocabulary.RequestID),
		Print:     a.print(),
		For:       now.Sub(a.sent),
		Trial:     a.onTrial,
	}
}

// print identifies what the request asks for. The body is known by then. Who sees a back end
// end asks for the others that were at work there.
func (a *arrival) print() fingerprint.Print {
	if known := a.cachedPrint.Load(); known != nil {
		return *known
	}
	print := fingerprint.Of(a.request, a.reported.Caller, a.body)
	a.cachedPrint.Store(&print)
	return print
}
