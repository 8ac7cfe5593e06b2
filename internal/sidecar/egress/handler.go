// Package egress is the side of a sidecar that callers on its machine use. It
// matches a request to a route, chooses the back end and passes the request to
// the node beside it.
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
	// TableAge is how long the configuration has been in force.
	TableAge func() time.Duration
	// View returns what is known of the other nodes.
	View func() *roster.View
	// Node is the node's own name, Zone its zone.
	Node, Zone string
	// Regions holds the region of each zone, as far as known.
	Regions map[string]string
	// Caller names the service beside this node.
	Caller func() string
	// Plan returns how a service's requests are divided between versions of its
	// software, nil when they are not.
	Plan func(service string) *rollout.Plan
	// Emptied returns the zones whose back ends are to get nothing, nil when there are none.
	Emptied func() *evacuation.Zones
	// Quarantine knows which requests end back ends.
	Quarantine Quarantine
	// Quota keeps tenants within their limits; nil keeps none.
	Quota Quota
	// RetryBudget bound sends after one that reached a back end.
	RetryBudget RetryBudget
	// Freshness makes sure that the configuration in force is the newest; nil when there is
	// nobody to ask.
	Freshness Freshness
	// Nested tells which requests are calls of what the back end beside the node works on; nil
	// where nobody asks.
	Nested Nested
	// Contended reports whether requests compete for room: back ends are chosen by what is there
	// already, and tenants have their shares; nil for never.
	Contended func() bool
	// MarkOverShare: where requests compete, those above their tenant's share of a service are marked. Off in
	// the program: nothing refuses by the marks, and the queues share without them (design 0019).
	MarkOverShare bool
	// DrainAfter is how long after its word that it is leaving a back end still gets new work.
	DrainAfter func() time.Duration
	// Weights price the choice of back ends.
	Weights choice.Weights
	// Dial opens connections to other nodes.
	Dial forward.Dialer
	// Probe asks a node whether it is there.
	Probe    Probe
	Logger   *zap.Logger
	Observer Observer
}

// Nested tells calls that the back end beside the node makes while it works.
type Nested interface {
	// Nested takes in a request that begins here and reports whether it is one. identified says
	// that its caller has a tenant's key.
	Nested(route string, deadline time.Time, identified bool, now time.Time) bool
	// Repeated returns how likely it is that the run which makes a call with that deadline is a
	// repeat.
	Repeated(deadline time.Time) float64
}

// RetryBudget bound how often requests are sent again after they have reached a back end.
type RetryBudget interface {
	// On reports whether the bound is lent between nodes.
	On() bool
	// RecordRequest notes a request. repeated is how likely it is that a repeated run makes it.
	RecordRequest(service string, repeated float64)
	// Take spends one repeat and reports whether there was one.
	Take(service string, request repeats.Request) bool
	// RecordResult takes in whether a back end accepted a request that reached it.
	RecordResult(service string, accepted bool)
	// Remaining returns how many repeats the node holds.
	Remaining(service string) float64
}

// Quarantine knows which requests end the back ends that run them.
type Quarantine interface {
	// Idle reports whether there is none, not even a suspected one.
	Idle() bool
	// Holds reports whether no back end is to get the request.
	Holds(fingerprint.Fingerprint) bool
}

// Observer is told how calls went.
type Observer interface {
	// CallEnded: the caller has its answer, or is gone.
	CallEnded(route string, status int, result outcome.Outcome, step outcome.Step, elapsed time.Duration)
	// Sent: a request went to another node, for that often.
	Sent(service string, attempt int)
	// Diverted: a request goes elsewhere, or nowhere, since a back end's limit has no room for it in time.
	Diverted(service string, elsewhere bool)
	// Overtook: a request was begun before its turn on the caller's connection.
	Overtook()
	// Carried: a visit brought an answer after that time, of which the back end
	// worked so long.
	Carried(elapsed, worked time.Duration)
	// Silent: a node does not answer; first says that it did before.
	Silent(node string, first bool)
	// Regained: a silent node answers again.
	Regained(node string)
	// Unreachable: no connection to a node could be opened.
	Unreachable(node string)
	// Behind: a peer has a newer configuration than this node.
	Behind(node string, version uint64)
}

const (
	// peerConnections bounds the connections to one node.
	peerConnections = 256
	peerIdleTimeout = 45 * time.Second
	peerDialTimeout = 500 * time.Millisecond
	// consentTimeout is beyond every deadline: without consent no body is sent.
	consentTimeout   = time.Hour
	replyHeaderBytes = 96 << 10
	// zoneCrossing is assumed for the way to another zone of the region and back,
	// regionCrossing for that to another region.
	zoneCrossing   = 3 * time.Millisecond
	regionCrossing = 50 * time.Millisecond
)

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	options  Options
	targets  *targets
	stopping atomic.Bool
	// refuseFrom is the moment from which new calls are refused, nil for never.
	refuseFrom atomic.Pointer[time.Time]
	inFlight   atomic.Int64
	lastCall   atomic.Int64

	// served logs a sample of the calls that went well.
	served *zap.Logger
	// cutting ends when calls under way are to be given up.
	cutting context.Context
	cut     context.CancelCauseFunc

	// subsets holds the back ends that are considered, by subsetKey; subsetCount is how often one was
	// chosen since it was last emptied.
	subsets     sync.Map
	subsetCount atomic.Int64
	// zoneLoads holds how full the zones are.
	zoneLoads zoneLoads
	// work and patiences hold what is learned by route name.
	work, patiences sync.Map

	// draw returns a random number from 0 to below 1.
	draw func() float64
	// heard is what replies told of tenants' shares.
	heard shares.Heard

	// baselines hold what the answers of versions in use are like, by service, while another
	// version is compared with them.
	baselines sync.Map
}

// New returns a handler that refuses everything until there is a table.
func New(options Options) *Handler {
	limits := forward.Limits{
		Connections:      peerConnections,
		IdleTimeout:      peerIdleTimeout,
		DialTimeout:      peerDialTimeout,
		ReplyHeaderBytes: replyHeaderBytes,
		ConsentTimeout:   consentTimeout,
	}
	if options.Freshness == nil {
		options.Freshness = alone{}
	}
	if options.Quota == nil {
		options.Quota = unlimited{}
	}
	if options.DrainAfter == nil {
		options.DrainAfter = func() time.Duration { return 0 }
	}
	if options.Emptied == nil {
		options.Emptied = func() *evacuation.Zones { return nil }
	}
	cutting, cut := context.WithCancelCause(context.Background())
	return &Handler{
		options: options,
		draw:    rand.Float64,
		targets: &targets{options: limits, dial: options.Dial, byNode: map[string]*target{}},
		served:  sampled(options.Logger),
		cutting: cutting,
		cut:     cut,
	}
}

// Follow takes in changed records: nodes that leave are dropped once idle, and
// one that comes back is used at once.
func (h *Handler) Follow(changed []*roster.Record) {
	for _, record := range changed {
		switch {
		case record.Leaving:
			continue
		case record.AcceptsWork():
			if held := h.targets.of(record); held.failures.Load() > 0 {
				held.succeeded()
			}
		}
	}
}

// Drop forgets a node that has withdrawn.
func (h *Handler) Drop(node string) { h.targets.drop(node) }

// Suspect has a node avoided that did not answer another question.
func (h *Handler) Suspect(record *roster.Record) {
	h.targets.of(record).failed(clock.Now())
}

// CloseIdle closes idle connections to other nodes: they may have closed them while the
// machine was suspended.
func (h *Handler) CloseIdle() {
	for _, held := range h.targets.all() {
		held.pool.CloseIdle()
	}
}

// Sweep closes idle connections that are too old or broken, and forgets zones of which nothing was
// heard for long.
func (h *Handler) Sweep(now time.Time) {
	for _, held := range h.targets.all() {
		held.pool.Sweep(now)
	}
	h.zoneLoads.sweep(now)
}

// Ahead reports whether a request may be begun before its turn on the caller's
// connection: one that may be repeated, while the node does not stop. A stopping
// node closes connections behind its answers.
func (h *Handler) Ahead(r *http.Request) bool {
	if h.stopping.Load() {
		return false
	}
	matched := match(h.options.Table(), r)
	return matched != nil && matched.Repeatable
}

// Begun notes a request that was begun before its turn: it is under way until its
// answer was given.
func (h *Handler) Begun() (ended func()) {
	h.options.Observer.Overtook()
	h.inFlight.Add(1)
	return func() { h.inFlight.Add(-1) }
}

// match finds the route of a request; nil without a table or a route.
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
		call.reply(failure)
	}
	call.ended()
}
