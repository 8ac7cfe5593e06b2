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
	// endRemembered is how long after its connections broke a back end that comes back
	// under another id is known to have ended then.
	endRemembered = 10 * time.Second
	// breakTime is within which connections break together.
	breakTime = 2 * probeTimeout
	// gatherTimeout bounds the wait for the connections of all requests that were at work
	// to break: one that provably was not sent is no suspect.
	gatherTimeout = 20 * time.Millisecond
)

// Ending is the unplanned end of the process of a back end.
type Ending struct {
	// Endpoint is the back end.
	Endpoint *roster.Endpoint
	// Running are the requests that were at work there when its first connection broke.
	Running []Running
}

// Running is one request at work.
type Running struct {
	RequestID   string
	Fingerprint fingerprint.Fingerprint
	// For is how long it had been there.
	For time.Duration
	// Trial: it was suspected of ending back ends before.
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

// workplace knows which requests are at work at the back end, and tells a process that
// has ended from connections that broke. It is safe for concurrent use.
type workplace struct {
	mu       sync.Mutex // guards all below and the breakages
	arrivals map[*arrival]struct{}
	// last is the newest break of connections, nil before the first.
	last *breakage
}

// breakage is a moment at which connections to the back end broke.
type breakage struct {
	endpoint *roster.Endpoint
	at       time.Time
	// running were at work then. One that provably was not sent is taken out.
	running map[*arrival]Running
	// open are those of them of which it is not known yet whether they were sent; known is
	// closed when there are none any more.
	open  map[*arrival]struct{}
	known chan struct{}
	// answered is closed when it is known whether the process has ended, and told if so.
	answered chan struct{}
	ended    bool
}

// begin notes that a request goes to the back end.
func (w *workplace) begin(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.arrivals == nil {
		w.arrivals = map[*arrival]struct{}{}
	}
	w.arrivals[a] = struct{}{}
}

// end notes that a request is there no more.
func (w *workplace) end(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.arrivals, a)
	w.last.resolve(a)
}

// unsent notes that a request provably was not sent: it ended nothing.
func (w *workplace) unsent(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last != nil {
		delete(w.last.running, a)
	}
}

// resolve notes that it is known of a request whether it was sent; the lock is held.
func (b *breakage) resolve(a *arrival) {
	if b == nil || len(b.open) == 0 {
		return
	}
	delete(b.open, a)
	if len(b.open) == 0 {
		close(b.known)
	}
}

// broke returns the breakage that a request met whose connection broke, and whether it is
// new. The first to come finds all others still at work.
func (w *workplace) broke(a *arrival, now time.Time) (met *breakage, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last != nil && w.last.endpoint.Incarnation() == a.endpoint.Incarnation() && (w.last.ended || now.Sub(w.last.at) < breakTime) {
		w.last.resolve(a)
		return w.last, false
	}
	w.last = &breakage{
		endpoint: a.endpoint, at: now, running: map[*arrival]Running{}, open: map[*arrival]struct{}{},
		known: make(chan struct{}), answered: make(chan struct{}),
	}
	for other := range w.arrivals {
		if other.endpoint.Incarnation() == a.endpoint.Incarnation() {
			w.last.running[other] = other.running(now)
			w.last.open[other] = struct{}{}
		}
	}
	w.last.resolve(a)
	return w.last, true
}

func (b *breakage) isAnswered() bool {
	select {
	case <-b.answered:
		return true
	default:
		return false
	}
}

// ending returns the end of the process that the breakage was, the requests in the order in
// which they began.
func (w *workplace) ending(of *breakage) *Ending {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &Ending{Endpoint: of.endpoint, Running: slices.SortedFunc(maps.Values(of.running), func(a, b Running) int {
		return cmp.Or(cmp.Compare(b.For, a.For), cmp.Compare(a.RequestID, b.RequestID))
	})}
}

// replaced returns the breakage that the end of a process turns out to have been, now that
// another back end is there; nil when there is none.
func (w *workplace) replaced(of roster.Incarnation, now time.Time) *breakage {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.last
	if last == nil || !last.isAnswered() || last.ended || last.endpoint.Incarnation() == of || now.Sub(last.at) > endRemembered {
		return nil
	}
	last.ended = true
	return last
}

// planned takes in that a back end is to end: what broke before was no sign of it.
func (w *workplace) planned(of roster.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last != nil && w.last.endpoint.Incarnation() == of && w.last.isAnswered() {
		w.last = nil
	}
}

// settle notes whether the process has ended.
func (w *workplace) settle(met *breakage, ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	met.ended = ended
}

// ended reports whether the process of the back end has ended under a request whose
// connection broke. The first such request asks and tells what was at work; the others wait
// for it, so that each knows whether it is held back before its caller's node is answered.
func (h *Handler) ended(a *arrival) (ended, first bool) {
	met, first := h.workplace.broke(a, clock.Now())
	if first {
		ended := h.processEnded(a.context)
		h.workplace.settle(met, ended)
		if ended {
			h.tellEnding(met)
		}
		close(met.answered)
	}
	<-met.answered
	h.workplace.mu.Lock()
	defer h.workplace.mu.Unlock()
	return met.ended, first
}

// processEnded asks for a connection. A reset of connections leaves the listener; without
// its process nobody listens.
func (h *Handler) processEnded(ctx context.Context) bool {
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

// tellEnding tells of a back end that has ended. One that was leaving was to end.
func (h *Handler) tellEnding(met *breakage) {
	if met.endpoint.State != roster.Ready {
		return
	}
	select {
	case <-met.known:
	case <-time.After(gatherTimeout):
	}
	ending := h.workplace.ending(met)
	h.options.Logger.Warn("back end ended", zap.String("endpoint", ending.Endpoint.ID), zap.String("service", ending.Endpoint.Service),
		zap.String("software", ending.Endpoint.Version), zap.Objects("running", ending.Running))
	h.options.Observer.BackendEnded(len(ending.Running))
	h.options.Quarantine.Ended(ending.crash())
}

// crash is the end as other nodes are told of it.
func (e *Ending) crash() roster.Crash {
	crash := roster.Crash{Endpoint: e.Endpoint.Incarnation().String(), Service: e.Endpoint.Service}
	for _, running := range e.Running {
		crash.Running = append(crash.Running, running.Fingerprint)
		if running.Trial {
			crash.Trial = &running.Fingerprint
		}
	}
	return crash
}

// running describes the request for the end of its back end.
func (a *arrival) running(now time.Time) Running {
	return Running{
		RequestID:   a.request.Header.Get(a.handler.options.Vocabulary.RequestID),
		Fingerprint: a.print(),
		For:         now.Sub(a.sent),
		Trial:       a.onTrial,
	}
}

// print identifies what the request asks for. The body is known by then. Who sees a back end
// end asks for the others that were at work there.
func (a *arrival) print() fingerprint.Fingerprint {
	if known := a.identified.Load(); known != nil {
		return *known
	}
	print := fingerprint.Of(a.request, a.told.Caller, a.body)
	a.identified.Store(&print)
	return print
}
