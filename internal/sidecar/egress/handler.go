// Package egress implements the outbound side of a sidecar: it matches a local caller's request to
// a route, chooses a back end and forwards the request to the sidecar next to it.
package egress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/evacuation"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/repeats"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/shares"
)

// Options configure the handler.
type Options struct {
	Vocabulary hop.Vocabulary
	// Table returns the configuration in force, nil before the first.
	Table func() *route.Table
	// TableAge returns how long the configuration has been in force.
	TableAge func() time.Duration
	// View returns the known records of the other nodes.
	View func() *roster.View
	// Search reports whether other nodes may still be unknown because they started together with this
	// one, and makes the node look for them; nil for never.
	Search func() bool
	// Node is this node's name, Zone its zone.
	Node, Zone string
	// Regions maps each zone to its region, as far as known.
	Regions map[string]string
	// Caller returns the service of the local back end.
	Caller func() string
	// Plan returns how a service's requests are split between software versions, nil when they are
	// not.
	Plan func(service string) *rollout.Plan
	// Evacuated returns the evacuated zones, whose back ends get no requests; nil for none.
	Evacuated func() *evacuation.Zones
	// Quarantine decides which requests are refused because they crash back ends.
	Quarantine Quarantine
	// Quota enforces the tenants' rate limits; nil enforces none.
	Quota Quota
	// RetryBudget limits attempts that follow one which reached a back end.
	RetryBudget RetryBudget
	// Freshness confirms that the configuration in force is the newest; nil when there are no peers
	// to ask.
	Freshness Freshness
	// Nested recognizes calls that the local back end makes while it processes a request; nil where
	// they are not distinguished from others.
	Nested Nested
	// Contended reports whether overload control is active, so that back ends are chosen by their
	// load and tenants have shares; nil for never.
	Contended func() bool
	// MarkOverShare marks requests above their tenant's share of a service while overload control
	// is active. The program leaves it off: nothing refuses requests by the marks, and the queues
	// share without them (design 0019).
	MarkOverShare bool
	// DrainAfter returns how long a back end still gets new work after it has announced that it is
	// leaving.
	DrainAfter func() time.Duration
	// Weights are the weights of the cost function that chooses back ends.
	Weights choice.Weights
	// Dial opens connections to other nodes.
	Dial forward.Dialer
	// Probe checks whether a node responds.
	Probe    Probe
	Logger   *zap.Logger
	Observer Observer
}

// Nested recognizes calls that the local back end makes while it processes a request.
type Nested interface {
	// Nested records a request that begins here and reports whether it is a nested call.
	// identified: its caller has a tenant's API key.
	Nested(route string, deadline time.Time, identified bool, now time.Time) bool
	// Repeated returns the probability that the run which makes a call with that deadline is a
	// retry.
	Repeated(deadline time.Time) float64
	// Possible reports whether the local back end works on a request that may make a call with that
	// deadline.
	Possible(deadline time.Time) bool
}

// RetryBudget limits how often requests are sent again after they have reached a back end.
type RetryBudget interface {
	// On reports whether the budget is shared between nodes.
	On() bool
	// RecordRequest records a request. repeated is the probability that a retry made it.
	RecordRequest(service string, repeated float64)
	// Take spends one retry and reports whether one was left.
	Take(service string, request repeats.Request) bool
	// RecordResult records whether a back end accepted a request that reached it.
	RecordResult(service string, accepted bool)
	// Remaining returns how many retries the node holds for the service.
	Remaining(service string) float64
}

// Quarantine decides which requests are refused because they crash the back ends that run them.
type Quarantine interface {
	// Idle reports whether no request is quarantined or suspected.
	Idle() bool
	// IsQuarantined reports whether the request is quarantined.
	IsQuarantined(fingerprint.Fingerprint) bool
}

// Observer receives the events of calls.
type Observer interface {
	// CallEnded: the response was written, or the caller is gone.
	CallEnded(route string, status int, result outcome.Outcome, step outcome.Step, elapsed time.Duration)
	// CallNotRun: the response promises that the request has not run, with what that rests on.
	CallNotRun(notrun.Evidence)
	// Sent: a request is sent to another node; attempt counts from one.
	Sent(service string, attempt int)
	// Diverted: a back end's rate limit has no capacity for a request in time; elsewhere: another
	// back end takes it.
	Diverted(service string, elsewhere bool)
	// Pipelined: a pipelined request was started before its turn on the caller's connection.
	Pipelined()
	// ResponseReceived: an attempt returned a response after the elapsed time; worked is the
	// part of it that the back end spent on the request.
	ResponseReceived(elapsed, worked time.Duration)
	// ProbeFailed: a node did not answer a probe; first: it had answered before.
	ProbeFailed(node string, first bool)
	// Recovered: a node that did not answer probes answers again.
	Recovered(node string)
	// Unreachable: no connection to a node could be opened.
	Unreachable(node string)
	// NewerVersionReported: a peer holds a newer configuration than this node.
	NewerVersionReported(node string, version uint64)
}

const (
	// maxPeerConnections limits the connections to one node.
	maxPeerConnections = 256
	peerIdleTimeout    = 45 * time.Second
	peerDialTimeout    = 500 * time.Millisecond
	// continueTimeout is longer than every deadline, so that no body is ever sent without 100
	// Continue.
	continueTimeout     = time.Hour
	maxReplyHeaderBytes = 96 << 10
	// crossZoneRTT is the round-trip time assumed to another zone of the region, crossRegionRTT
	// that to another region.
	crossZoneRTT   = 3 * time.Millisecond
	crossRegionRTT = 50 * time.Millisecond
)

// Handler serves local callers. It is safe for concurrent use.
type Handler struct {
	options  Options
	targets  *targets
	stopping atomic.Bool
	// refuseFrom is the time from which new calls are refused, nil for never.
	refuseFrom atomic.Pointer[time.Time]
	// nestedUntil is the time by which a nested call must end to be accepted after that, nil for none.
	nestedUntil atomic.Pointer[time.Time]
	inFlight    atomic.Int64
	lastCall    atomic.Int64

	// servedLogger logs a sample of the successful calls.
	servedLogger *zap.Logger
	// callsContext is cancelled when the calls in flight are to be aborted.
	callsContext context.Context
	cancelCalls  context.CancelCauseFunc

	// subsets caches the subset of back ends by subsetKey; subsetCount counts the entries stored
	// since it was last cleared.
	subsets     sync.Map
	subsetCount atomic.Int64
	// zoneLoads holds the average load of each service and zone.
	zoneLoads zoneLoads
	// work and callerTimeouts hold estimates by route name.
	work, callerTimeouts sync.Map

	// longAnswers holds the time.Time of the last answer too long to be held, by route name;
	// lastLongAnswer is that of any route, nil for none.
	longAnswers    sync.Map
	lastLongAnswer atomic.Pointer[time.Time]

	// randomFloat returns a random number in [0, 1).
	randomFloat func() float64
	// tenantShares holds the tenants' shares that responses reported.
	tenantShares shares.Tracker

	// baselines hold the failure and latency statistics of the versions in use, by service, while a
	// canary is compared with them.
	baselines sync.Map
}

// New returns a handler that refuses every request until there is a table.
func New(options Options) *Handler {
	limits := forward.Limits{
		Connections:           maxPeerConnections,
		IdleTimeout:           peerIdleTimeout,
		DialTimeout:           peerDialTimeout,
		ReplyHeaderBytes:      maxReplyHeaderBytes,
		ExpectContinueTimeout: continueTimeout,
	}
	if options.Freshness == nil {
		options.Freshness = standalone{}
	}
	if options.Quota == nil {
		options.Quota = noQuota{}
	}
	if options.DrainAfter == nil {
		options.DrainAfter = func() time.Duration { return 0 }
	}
	if options.Search == nil {
		options.Search = func() bool { return false }
	}
	if options.Evacuated == nil {
		options.Evacuated = func() *evacuation.Zones { return nil }
	}
	callsContext, cancelCalls := context.WithCancelCause(context.Background())
	return &Handler{
		options:      options,
		randomFloat:  rand.Float64,
		targets:      &targets{options: limits, dial: options.Dial, byNode: map[string]*target{}},
		servedLogger: newSampledLogger(options.Logger),
		callsContext: callsContext,
		cancelCalls:  cancelCalls,
	}
}

// Follow handles changed records: a node that accepts work again is used at once. A leaving node is
// kept until Drop.
func (h *Handler) Follow(changed []*roster.Record) {
	for _, record := range changed {
		switch {
		case record.Leaving:
			continue
		case record.AcceptsWork():
			if peer := h.targets.forRecord(record); peer.failures.Load() > 0 {
				peer.succeeded()
			}
		}
	}
}

// Drop forgets a node that has withdrawn.
func (h *Handler) Drop(node string) { h.targets.drop(node) }

// MarkUnresponsive makes the handler avoid a node that did not answer another component.
func (h *Handler) MarkUnresponsive(record *roster.Record) {
	h.targets.forRecord(record).failed(clock.Now())
}

// CloseIdle closes idle connections to other nodes: the peers may have closed them while the
// machine was suspended.
func (h *Handler) CloseIdle() {
	for _, peer := range h.targets.all() {
		peer.pool.CloseIdle()
	}
}

// Sweep closes idle connections that are too old or broken, and forgets zones without recent
// reports.
func (h *Handler) Sweep(now time.Time) {
	for _, peer := range h.targets.all() {
		peer.pool.Sweep(now)
	}
	h.zoneLoads.sweep(now)
}

// Ahead reports whether a pipelined request may be started before its turn on the caller's
// connection: it must be safe to retry, and the node must not be stopping, as a stopping node
// closes connections after its responses.
func (h *Handler) Ahead(r *http.Request) bool {
	if h.stopping.Load() {
		return false
	}
	matched := match(h.options.Table(), r)
	return matched != nil && matched.Repeatable
}

// longAnswerMemory is the time after an answer too long to be held during which pipelined requests
// behind those of its route wait.
const longAnswerMemory = 10 * time.Minute

// OnExceedsHold records that the answer to a request was too long to be held.
func (h *Handler) OnExceedsHold(r *http.Request) {
	matched := match(h.options.Table(), r)
	if matched == nil {
		return
	}
	now := clock.Now()
	h.longAnswers.Store(matched.Name, now)
	h.lastLongAnswer.Store(&now)
}

// ExceedsHold reports whether the route of a request has recently had an answer too long to be held.
func (h *Handler) ExceedsHold(r *http.Request) bool {
	if latest := h.lastLongAnswer.Load(); latest == nil || !recentlyLong(*latest) {
		return false
	}
	matched := match(h.options.Table(), r)
	if matched == nil {
		return false
	}
	last, known := h.longAnswers.Load(matched.Name)
	return known && recentlyLong(last.(time.Time))
}

func recentlyLong(moment time.Time) bool { return clock.Since(moment) < longAnswerMemory }

// Begun records a request that was started before its turn: it is in flight until ended is called.
func (h *Handler) Begun() (ended func()) {
	h.options.Observer.Pipelined()
	h.inFlight.Add(1)
	return func() { h.inFlight.Add(-1) }
}

// match returns the route of a request; nil without a table or a route.
func match(table *route.Table, r *http.Request) *route.CompiledRoute {
	if table == nil {
		return nil
	}
	return table.MatchRequest(r)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	call := &call{handler: h, writer: w, request: r, started: clock.ReceiveTime()}
	h.lastCall.Store(clock.Stamp(call.started))
	if failure := call.serve(); failure != nil {
		call.writeFailure(failure)
	}
	call.reportEnd()
}
