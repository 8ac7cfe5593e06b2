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
	// probeTimeout bounds the probe for the back end's process. It runs on the same machine, so the
	// connection is refused at once if the process has ended.
	probeTimeout = 50 * time.Millisecond
	// lossRetention is the time after a connection loss within which the arrival of a back end with
	// another id shows that the former process crashed.
	lossRetention = 10 * time.Second
	// lossWindow is the time within which broken connections count as one loss.
	lossWindow = 2 * probeTimeout
	// sentTimeout bounds the wait until it is known which of the active requests were sent: one
	// that provably was not sent is no suspect.
	sentTimeout = 20 * time.Millisecond
)

// BackendCrash is the unplanned end of a back end's process.
type BackendCrash struct {
	// Endpoint is the back end.
	Endpoint *roster.Endpoint
	// Running are the requests that were active when the first connection broke.
	Running []Running
}

// Running is one active request.
type Running struct {
	RequestID   string
	Fingerprint fingerprint.Fingerprint
	// For is the time for which the request had been active.
	For time.Duration
	// Trial: the request was already suspected of crashing back ends.
	Trial bool
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r Running) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("request", r.RequestID)
	encoder.AddString("content", r.Fingerprint.Content.String())
	encoder.AddString("call", r.Fingerprint.Call.String())
	encoder.AddDuration("for", r.For)
	if r.Trial {
		encoder.AddBool("trial", true)
	}
	return nil
}

// activeRequests tracks the requests that the back end works on and distinguishes a crashed process
// from broken connections. It is safe for concurrent use.
type activeRequests struct {
	mu       sync.Mutex // guards all below and the connection losses
	arrivals map[*arrival]struct{}
	// last is the most recent connection loss, nil before the first.
	last *connectionLoss
}

// connectionLoss is a point in time at which connections to the back end broke.
type connectionLoss struct {
	endpoint *roster.Endpoint
	at       time.Time
	// running holds the requests that were active, without those that provably were not sent.
	running map[*arrival]Running
	// undetermined holds those of which it is not known yet whether they were sent; determined is
	// closed when it is empty.
	undetermined map[*arrival]struct{}
	determined   chan struct{}
	// decided is closed once it is known whether the process crashed and, if so, the crash was
	// reported.
	decided chan struct{}
	crashed bool
}

// begin records that a request is sent to the back end.
func (w *activeRequests) begin(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.arrivals == nil {
		w.arrivals = map[*arrival]struct{}{}
	}
	w.arrivals[a] = struct{}{}
}

// end records that a request is no longer active.
func (w *activeRequests) end(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.arrivals, a)
	w.last.markDetermined(a)
}

// markUnsent records that a request provably was not sent, so that it is no suspect.
func (w *activeRequests) markUnsent(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last != nil {
		delete(w.last.running, a)
	}
}

// markDetermined records that it is known whether a request was sent. The caller holds the lock.
func (l *connectionLoss) markDetermined(a *arrival) {
	if l == nil || len(l.undetermined) == 0 {
		return
	}
	delete(l.undetermined, a)
	if len(l.undetermined) == 0 {
		close(l.determined)
	}
}

// connectionLost returns the connection loss of a request whose connection broke, and whether the
// request is the first of it. At that time all others are still active.
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

func (l *connectionLoss) isDecided() bool {
	select {
	case <-l.decided:
		return true
	default:
		return false
	}
}

// report returns the crash that caused the connection loss, with the requests in the order in which
// they began.
func (w *activeRequests) report(loss *connectionLoss) *BackendCrash {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &BackendCrash{Endpoint: loss.endpoint, Running: slices.SortedFunc(maps.Values(loss.running), func(a, b Running) int {
		return cmp.Or(cmp.Compare(b.For, a.For), cmp.Compare(a.RequestID, b.RequestID))
	})}
}

// crashOfPredecessor returns the connection loss that turns out to have been a crash because
// another back end has taken over the address; nil if there is none.
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

// markPlannedStop records that a back end stops as planned: earlier connection losses are no sign
// of a crash.
func (w *activeRequests) markPlannedStop(of roster.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last != nil && w.last.endpoint.Incarnation() == of && w.last.isDecided() {
		w.last = nil
	}
}

// setCrashed records whether the process crashed.
func (w *activeRequests) setCrashed(loss *connectionLoss, crashed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	loss.crashed = crashed
}

// crashed reports whether the back end's process crashed under a request whose connection broke.
// The first such request probes the process and reports the crash. The others wait for it, so that
// each knows whether it is quarantined before its caller's node is answered.
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

// processExited tries to connect. Reset connections leave the listener in place; without the
// process the connection is refused.
func (h *Handler) processExited(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	conn, err := h.options.Dial(ctx, "tcp", h.options.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if err := conn.Close(); err != nil {
		h.options.Logger.Debug("connection of the back end probe not closed", zap.Error(err))
	}
	return false
}

// reportCrash reports a crash, unless the back end was already draining and its end was planned.
func (h *Handler) reportCrash(loss *connectionLoss) {
	if loss.endpoint.State != roster.Ready {
		return
	}
	timer := clock.NewTimer(sentTimeout)
	defer timer.Stop()
	select {
	case <-loss.determined:
	case <-timer.C:
	}
	report := h.activeRequests.report(loss)
	h.options.Logger.Warn("back end ended", zap.String("endpoint", report.Endpoint.ID), zap.String("service", report.Endpoint.Service),
		zap.String("software", report.Endpoint.Version), zap.Objects("running", report.Running))
	h.options.Observer.BackendCrashed(len(report.Running))
	h.options.Quarantine.RecordCrash(report.crash())
}

// crash converts the crash to the form that other nodes receive.
func (c *BackendCrash) crash() roster.Crash {
	crash := roster.Crash{Endpoint: c.Endpoint.Incarnation().String(), Service: c.Endpoint.Service}
	for _, running := range c.Running {
		crash.Running = append(crash.Running, running.Fingerprint)
		if running.Trial {
			crash.Trial = &running.Fingerprint
		}
	}
	return crash
}

// running describes the request for a crash report.
func (a *arrival) running(now time.Time) Running {
	return Running{
		RequestID:   a.request.Header.Get(a.handler.options.Vocabulary.RequestID),
		Fingerprint: a.print(),
		For:         now.Sub(a.sent),
		Trial:       a.onTrial,
	}
}

// print returns the fingerprint of the request; the body must be set. The request that
// detects a crash calls it for all other active requests.
func (a *arrival) print() fingerprint.Fingerprint {
	if known := a.cachedPrint.Load(); known != nil {
		return *known
	}
	print := fingerprint.Of(a.request, a.reported.Caller, a.body)
	a.cachedPrint.Store(&print)
	return print
}
