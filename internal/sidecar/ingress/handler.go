// Package ingress is the side of a sidecar that stands before the local back
// end. Nothing reaches the back end but through it: it alone admits, orders,
// refuses and enforces that a back end which is leaving gets no new work.
package ingress

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
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
	// Endpoint returns the back end beside the node, or nil.
	Endpoint func() *roster.Endpoint
	// OnInstanceMismatch is told the id that the back end itself gives when it is not
	// the one that was meant.
	OnInstanceMismatch func(id string)
	// Version returns the version of the configuration in force.
	Version func() uint64
	// Proof returns how long ago that version is known to have been the newest; false when it is not
	// worth telling. Nil for never.
	Proof func() (age time.Duration, proven bool)
	// RoutesTo reports whether a configuration newer than the given version, if there is one in
	// force, leads the request to the service; nil when nobody can tell.
	RoutesTo func(request *http.Request, service string, version uint64) bool
	// DrainDelay is how long after a back end's word that it is leaving new
	// work is still taken.
	DrainDelay func() time.Duration
	// Evacuated reports whether the back end's zone is ordered to be emptied; nil for never.
	Evacuated func() bool
	// Judge takes in what the back end's answers show of its version; nil when nobody
	// compares versions.
	Judge Judge
	// Quarantine knows which requests end back ends.
	Quarantine Quarantine
	// ActiveRequests is told what the back end works on; nil where nobody asks.
	ActiveRequests *nested.ActiveRequests
	// DecodeLoad reads what the back end tells of its load; nil when it tells nothing. Told takes
	// it in and reports whether it counts.
	DecodeLoad func(header string) (hop.BackendLoad, error)
	RecordLoad func(hop.BackendLoad) (counts bool)
	// DecodeNotice reads what the back end asks for with an answer; nil when it asks for nothing.
	DecodeNotice func(header http.Header) (hop.Notice, error)
	// OnDraining is told of an incarnation that leaves by what an answer says.
	OnDraining func(of roster.Incarnation)
	// Restarted: the back end may have named a limit before this life of the node.
	Restarted bool
	// Contended reports whether requests compete for room, so that tenants have their shares of it;
	// nil for never.
	Contended func() bool
	// ReportShares: replies tell of tenants' shares. Off in the program, as in egress.Options.
	ReportShares bool
	// LinkMbps is the speed of the machine's link in Mbit/s; zero when unknown.
	LinkMbps int
	// Dial opens connections to the back end.
	Dial     forward.Dialer
	Logger   *zap.Logger
	Observer Observer
}

// Observer is told how requests went at the back end.
type Observer interface {
	// RequestCompleted: a request has its answer or was refused, after that time in all
	// and that time in the queue.
	RequestCompleted(result outcome.Outcome, step outcome.Step, elapsed, waited time.Duration)
	// BackendCrashed: the process of the back end ended unplanned while so many requests
	// were at work there.
	BackendCrashed(running int)
	// BackendSent: a request goes to the back end.
	BackendSent()
	// NoticeUnreadable: the back end asked for something that cannot be read.
	NoticeUnreadable()
}

// Quarantine knows which requests end the back ends that run them.
type Quarantine interface {
	// Idle reports whether there is none, not even a suspected one.
	Idle() bool
	// Holds reports whether no back end is to get the request.
	Holds(fingerprint.Print) bool
	// Suspects reports whether the request may have ended a back end.
	Suspects(fingerprint.Print) bool
	// Ended takes in that the back end ended.
	Ended(roster.Crash)
	// Survived takes in that the back end has answered a request.
	Survived(fingerprint.Print)
}

// Judge compares the version of the back end with others.
type Judge interface {
	// Refuses reports whether the back end is to get nothing for its version.
	Refuses() bool
	// Judges reports whether its answers are evidence now.
	Judges() bool
	// Answered takes in what one request showed. The route is that of the request.
	Answered(request *http.Request, failed bool, worked, expected time.Duration, usual rollout.Usual)
}

const (
	// dialTimeout bounds the opening of a connection to the back end, which is
	// on the same machine.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long a connection is kept when the back end does not
	// say how long it keeps it.
	idleTimeout = 3 * time.Second
	// replyHeaderBytes bounds the headers of an answer.
	replyHeaderBytes = 64 << 10
	// defaultConnections bounds the connections until the configuration says.
	defaultConnections = 64
	// defaultRetryAfter is the Retry-After of refusals when nothing better is known.
	defaultRetryAfter = 100 * time.Millisecond
)

// Handler serves other nodes and its own. It is safe for concurrent use.
type Handler struct {
	options Options
	pool    *forward.Pool
	gate    *admission.Gate
	// meter works out the tenants' shares.
	meter shares.Meter
	// transfers bounds the large bodies on the link.
	transfers *transfers
	// drainStart is since when the back end is known to be drainStart; nil while it is not.
	drainStart       atomic.Pointer[drainStart]
	closeConnections atomic.Bool
	// rejecting: nothing is taken any more. inFlight is counted up before it is
	// looked at, so that a request is either counted or refused.
	rejecting atomic.Bool
	inFlight  atomic.Int64
	pace      choice.Pace
	failures  choice.Failures
	// activeRequests holds what is at work at the back end.
	activeRequests activeRequests
	// notices holds what the back end asks for.
	notices notices
	// warmup bounds what a cold back end gets.
	warmup warmup.Limit
	// health is the path of the back end's health check, nil while it is not known.
	health       atomic.Pointer[string]
	healthClient *http.Client
	// trial is held by the suspected request that is at work there: one at a time, so that
	// an end tells which it was.
	trial *semaphore.Weighted
}

// drainStart remembers since when a back end is drainStart.
type drainStart struct {
	of    roster.Incarnation
	since time.Time
}

// New returns a handler that refuses everything until a back end is known.
func New(options Options) *Handler {
	created := &Handler{
		options: options,
		pool: forward.NewPool(options.Address, forward.Limits{
			Connections:      defaultConnections,
			IdleTimeout:      idleTimeout,
			DialTimeout:      dialTimeout,
			ReplyHeaderBytes: replyHeaderBytes,
			AllowUnframed:    true,
		}, options.Dial),
		gate:         admission.New(clock.Now),
		transfers:    newTransfers(options.LinkMbps),
		healthClient: newHealthClient(options.Dial),
		trial:        semaphore.NewWeighted(1),
	}
	if options.Restarted {
		created.notices.noReplyYet.Store(true)
		created.gate.Restarted()
	}
	return created
}

// Follow takes in the state of the back end: how much it works on at once, and
// whether it is leaving.
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

// Stop has answers close their connections from now on.
func (h *Handler) Stop() { h.closeConnections.Store(true) }

// RejectNew has whatever comes from now on, and what waits for a slot, refused: it has not run.
func (h *Handler) RejectNew() {
	h.rejecting.Store(true)
	h.gate.Close()
}

// InFlight returns how many requests are under way.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Load returns the state of the back end's slots.
func (h *Handler) Load() admission.Load { return h.gate.Load() }

// Pace returns how much longer the back end works than others of its service do, and what it last
// said of that itself, with its age; zero when it says nothing.
func (h *Handler) Pace() (factor, reported float64, age time.Duration) {
	now := clock.Now()
	reported, age = h.pace.Reported(now)
	return h.pace.Factor(now), reported, age
}

// Usage returns which tenants have held the back end's slots for the longest time, and for how long
// all others have.
func (h *Handler) Usage(most int) (top []admission.Usage, others time.Duration) {
	return h.gate.Usage(most)
}

// CloseIdle closes idle connections to the back end: it may have closed them itself while
// the machine was suspended.
func (h *Handler) CloseIdle() { h.pool.CloseIdle() }

// Sweep closes idle connections that are too old or broken.
func (h *Handler) Sweep(now time.Time) { h.pool.Sweep(now) }

// drainExpired reports whether the back end takes no new work any more.
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
	arrival := &arrival{handler: h, writer: w, request: r, started: clock.Received()}
	failure := arrival.serve()
	if failure != nil {
		arrival.reply(failure)
	}
	arrival.record(failure)
}
