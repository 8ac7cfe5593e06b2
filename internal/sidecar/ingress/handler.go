// Package ingress is the inbound side of a sidecar, in front of the local back end. All requests to
// the back end pass through it: it admits, orders and refuses them, and makes sure that a draining
// back end gets no new requests.
package ingress

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/admission"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/nested"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/shares"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/warmup"
)

// Options configure the handler.
type Options struct {
	Vocabulary hop.Vocabulary
	// Address is the back end's own listener, host:port.
	Address string
	// Endpoint returns the local back end, or nil.
	Endpoint func() *roster.Endpoint
	// OnInstanceMismatch is called with the id that the back end reports when a request was meant
	// for another instance.
	OnInstanceMismatch func(id string)
	// Version returns the version of the configuration in force.
	Version func() uint64
	// Proof returns the time since that version was last confirmed to be the newest, and false if
	// it should not be reported. Nil disables it.
	Proof func() (age time.Duration, proven bool)
	// RoutesTo reports whether a configuration in force that is newer than the given version routes
	// the request to the service. It also returns true without such a configuration. Nil disables
	// the check.
	RoutesTo func(request *http.Request, service string, version uint64) bool
	// DrainDelay returns how long new requests are still accepted after the back end announced that
	// it is draining.
	DrainDelay func() time.Duration
	// Evacuated reports whether the back end's zone is being evacuated; nil means never.
	Evacuated func() bool
	// Judge compares the back end's version with others; nil when versions are not compared.
	Judge Judge
	// Quarantine knows which requests crash back ends.
	Quarantine Quarantine
	// ActiveRequests tracks the requests that the back end works on; nil when not needed.
	ActiveRequests *nested.ActiveRequests
	// DecodeLoad decodes the load that the back end reports; nil when it reports none. RecordLoad
	// records it and reports whether it counts.
	DecodeLoad func(header string) (hop.BackendLoad, error)
	RecordLoad func(hop.BackendLoad) (counts bool)
	// DecodeNotice decodes the announcements in an answer; nil when there are none.
	DecodeNotice func(header http.Header) (hop.Notice, error)
	// OnDraining is called when an incarnation announces in an answer that it is draining.
	OnDraining func(of roster.Incarnation)
	// Restarted: the back end may have announced a rate limit before this process of the node
	// started.
	Restarted bool
	// Contended reports whether requests compete for capacity, so that tenants' shares apply; nil
	// means never.
	Contended func() bool
	// ReportShares: replies report tenants' shares. It is off in the program, as is the
	// corresponding option of the egress.
	ReportShares bool
	// MaxAnswerBytes bounds the body of an answer of the back end; zero for no bound.
	MaxAnswerBytes int64
	// LinkMbps is the speed of the machine's link in Mbit/s; zero when unknown.
	LinkMbps int
	// Dial opens connections to the back end.
	Dial     forward.Dialer
	Logger   *zap.Logger
	Observer Observer
}

// Observer receives events for metrics.
type Observer interface {
	// RequestCompleted is called when a request is answered or refused, with its total time and its
	// time in the queue.
	RequestCompleted(result outcome.Outcome, step outcome.Step, elapsed, waited time.Duration)
	// ArrivalNotRun is called when a request is answered with the promise that it has not run, and
	// with what that rests on.
	ArrivalNotRun(notrun.Evidence)
	// BackendCrashed is called when the back end's process ended unplanned, with the number of
	// active requests.
	BackendCrashed(running int)
	// BackendSent is called when a request is sent to the back end.
	BackendSent()
	// NoticeUnreadable is called when a notice of the back end cannot be decoded.
	NoticeUnreadable()
	// ForeignAnswer is called when the back end sends an answer without the request's id.
	ForeignAnswer()
	// InvalidAnswer is called when bytes of the back end were rejected.
	InvalidAnswer(reason forward.Reason)
}

// Quarantine knows which requests crash the back ends that run them.
type Quarantine interface {
	// Idle reports whether there are neither quarantined nor suspected requests.
	Idle() bool
	// IsQuarantined reports whether the request is quarantined and must not reach any back end.
	IsQuarantined(fingerprint.Fingerprint) bool
	// IsSuspect reports whether the request may have crashed a back end.
	IsSuspect(fingerprint.Fingerprint) bool
	// RecordCrash records a crash of the back end.
	RecordCrash(roster.Crash)
	// RecordSurvival records that the back end answered a request.
	RecordSurvival(fingerprint.Fingerprint)
}

// Judge compares the version of the back end with others.
type Judge interface {
	// Refuses reports whether the back end must get no requests because of its version.
	Refuses() bool
	// Judges reports whether answers currently count as evidence.
	Judges() bool
	// Answered records the result of one request, which also identifies the route.
	Answered(request *http.Request, failed bool, worked, expected time.Duration, usual rollout.BaselineRates)
}

const (
	// dialTimeout bounds connecting to the back end, which is on the same machine.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is the time for which an idle connection is kept unless the back end announces
	// another time.
	idleTimeout = 3 * time.Second
	// replyHeaderBytes bounds the size of an answer's headers.
	replyHeaderBytes = 64 << 10
	// replyHeaderTimeout bounds the time from the first byte of an answer to the end of its headers,
	// which servers write at once.
	replyHeaderTimeout = time.Second
	// interimReplies bounds the number of interim answers before an answer.
	interimReplies = 32
	// droppedReplyBytes and droppedReplyTimeout bound an answer to another request that is dropped.
	droppedReplyBytes   = 1 << 20
	droppedReplyTimeout = 250 * time.Millisecond
	// defaultConnections bounds the connections until a configuration is in force.
	defaultConnections = 64
	// defaultRetryAfter is the Retry-After of refusals without a better estimate.
	defaultRetryAfter = 100 * time.Millisecond
)

// Handler serves requests from other nodes and from its own. It is safe for concurrent use.
type Handler struct {
	options Options
	pool    *forward.Pool
	gate    *admission.Gate
	// meter computes the tenants' shares.
	meter shares.Meter
	// transfers limits large bodies on the link.
	transfers *transfers
	// drainStart records since when the back end has been draining; nil if it is not.
	drainStart       atomic.Pointer[drainStart]
	closeConnections atomic.Bool
	// finishBy is the time by which requests must be done because the node stops; nil before.
	finishBy atomic.Pointer[time.Time]
	// rejecting: no request is accepted any more. inFlight is incremented before rejecting is read,
	// so that each request is either counted or refused.
	rejecting atomic.Bool
	inFlight  atomic.Int64
	pace      choice.Pace
	// longest bounds how long requests take at the back end.
	longest  choice.Longest
	failures choice.Failures
	// active tracks the requests that the back end works on.
	activeRequests activeRequests
	// notices tracks the announcements of the back end.
	notices notices
	// warmup limits the requests to a cold back end.
	warmup warmup.Limit
	// health is the path of the back end's health check, nil until known.
	health     atomic.Pointer[string]
	healthPool *forward.Pool
	// trial is held by the suspected request that is active: only one at a time, so that a crash
	// identifies it.
	trial *semaphore.Weighted
}

// drainStart records since when a back end has been draining.
type drainStart struct {
	of    roster.Incarnation
	since time.Time
}

// New returns a handler that refuses all requests until a back end is known.
func New(options Options) *Handler {
	created := &Handler{
		options:   options,
		gate:      admission.New(clock.Now),
		transfers: newTransfers(options.LinkMbps),
		trial:     semaphore.NewWeighted(1),
	}
	created.healthPool = created.newHealthPool()
	created.pool = forward.NewPool(options.Address, forward.Limits{
		Connections:         defaultConnections,
		IdleTimeout:         idleTimeout,
		DialTimeout:         dialTimeout,
		ReplyHeaderBytes:    replyHeaderBytes,
		ReplyHeaderTimeout:  replyHeaderTimeout,
		InterimReplies:      interimReplies,
		ReplyBodyBytes:      options.MaxAnswerBytes,
		AllowUnframed:       true,
		Correlation:         forward.Correlation{Header: options.Vocabulary.RequestID, OnForeign: created.recordForeign},
		DroppedReplyBytes:   droppedReplyBytes,
		DroppedReplyTimeout: droppedReplyTimeout,
		OnInvalid:           created.recordInvalid,
	}, options.Dial)
	if options.Restarted {
		created.notices.noReplyYet.Store(true)
		created.gate.Restarted()
	}
	return created
}

// Follow updates the state of the back end: its number of slots and whether it is draining.
func (h *Handler) Follow(endpoint *roster.Endpoint) {
	if endpoint == nil {
		return
	}
	if loss := h.activeRequests.crashOfPredecessor(endpoint.Incarnation(), clock.Now()); loss != nil {
		go h.reportCrash(loss) // the roster's lock is held
	}
	if endpoint.State != roster.Ready {
		h.activeRequests.markPlannedStop(endpoint.Incarnation())
	}
	h.notices.setIncarnation(endpoint.Incarnation(), h.gate)
	h.gate.Resize(max(endpoint.Slots, 1))
	start := h.drainStart.Load()
	switch {
	case endpoint.State == roster.Ready:
		h.drainStart.Store(nil)
	case start == nil || start.of != endpoint.Incarnation():
		h.drainStart.Store(&drainStart{of: endpoint.Incarnation(), since: clock.Now()})
	}
}

// SetConnections bounds the connections to the back end.
func (h *Handler) SetConnections(connections int) {
	if connections <= 0 {
		connections = defaultConnections
	}
	h.pool.SetLimits(forward.Limits{
		Connections: connections, IdleTimeout: idleTimeout, DialTimeout: dialTimeout, ReplyHeaderBytes: replyHeaderBytes,
	})
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Load returns the state of the back end's slots.
func (h *Handler) Load() admission.Load { return h.gate.Load() }

// Pace returns how much longer the back end works than others of its service, and the factor that
// it last reported itself with its age; zeros when it reports none.
func (h *Handler) Pace() (factor, reported float64, age time.Duration) {
	now := clock.Now()
	reported, age = h.pace.Reported(now)
	return h.pace.Factor(now), reported, age
}

// Usage returns the tenants that have held the back end's slots for the longest total time, and the
// total time of all others.
func (h *Handler) Usage(most int) (top []admission.Usage, others time.Duration) {
	return h.gate.Usage(most)
}

// CloseIdle closes idle connections to the back end, which it may have closed itself while the
// machine was suspended.
func (h *Handler) CloseIdle() { h.pool.CloseIdle() }

// Sweep closes idle connections that are too old or broken.
func (h *Handler) Sweep(now time.Time) { h.pool.Sweep(now) }

// drainExpired reports whether the back end is draining and accepts no new requests any more.
func (h *Handler) drainExpired(of roster.Incarnation) bool {
	start := h.drainStart.Load()
	return start != nil && start.of == of && clock.Since(start.since) >= h.options.DrainDelay()
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	arrival := &arrival{handler: h, writer: w, request: r, started: clock.ReceiveTime()}
	failure := arrival.serve()
	if failure != nil {
		arrival.reply(failure)
	}
	arrival.record(failure)
}
