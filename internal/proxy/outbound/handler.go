package outbound

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/proxy/drain"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// Options configures a Handler.
type Options struct {
	// Gate counts requests and refuses new ones once the proxy is draining.
	Gate *drain.Gate
	// Dial returns the dialer for connections to an endpoint in a zone. TCP is used if Dial is nil.
	Dial func(id endpoint.ID, zone string) forward.Dialer
	// Connections holds the limits of the connections to one endpoint. The number of connections is
	// taken from the service instead.
	Connections forward.Limits
	// MaximumBodyBytes is the largest size of a request body.
	MaximumBodyBytes int64
	Logger           *zap.Logger
	Observer         Observer
}

// Observer receives the results of calls, for instance for metrics.
type Observer interface {
	// CallEnded is called when the response was sent to the caller or the caller's connection was
	// aborted.
	CallEnded(service string, status int, outcome outcome.Outcome, elapsed time.Duration)
	// Retried is called before each retry.
	Retried(service string)
	// Ejected is called when an endpoint is ejected from load balancing.
	Ejected(id endpoint.ID)
}

// connectionLimits returns Connections with the given number of connections.
func (o Options) connectionLimits(connections int) forward.Limits {
	limits := o.Connections
	limits.Connections = connections
	return limits
}

// dialer returns the dialer for an endpoint, or nil for TCP.
func (o Options) dialer(id endpoint.ID, zone string) forward.Dialer {
	if o.Dial == nil {
		return nil
	}
	return o.Dial(id, zone)
}

// Handler serves the requests of callers. It loads its configuration atomically, so that requests
// take no lock to read it.
type Handler struct {
	options Options
	epoch   time.Time
	// callPrefix makes call IDs unique across processes.
	callPrefix string
	callCount  atomic.Uint64
	current    atomic.Pointer[configuration]

	mutex    sync.Mutex // guards registry and the replacement of current
	registry *registry
}

// New returns a handler that refuses all requests until Apply is called.
func New(options Options) *Handler {
	return &Handler{
		options:    options,
		epoch:      time.Now(),
		callPrefix: strconv.FormatUint(rand.Uint64(), 36) + "-",
		registry:   newRegistry(options),
	}
}

// now returns the time since the handler's epoch.
func (h *Handler) now() time.Duration { return time.Since(h.epoch) }

// Apply activates a snapshot, which must have been validated.
func (h *Handler) Apply(snapshot *projection.Snapshot) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	compiled := h.registry.compile(snapshot)
	for _, target := range compiled.services {
		h.registry.populate(target, h.now())
	}
	h.current.Store(compiled)
	h.registry.removeUnused(compiled)
}

// UpdateEndpoints applies newer states of endpoints and ignores older ones.
func (h *Handler) UpdateEndpoints(updates []endpoint.Update) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	affected := h.registry.merge(updates, h.now())
	current := h.current.Load()
	if current == nil {
		return
	}
	for name := range affected {
		if target := current.services[name]; target != nil {
			h.registry.populate(target, h.now())
		}
	}
}

// RenewConnections replaces every connection to an endpoint before its next exchange. Exchanges in
// progress complete on the existing connections.
func (h *Handler) RenewConnections() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, ep := range h.registry.endpoints {
		ep.Pool.Renew()
	}
}

// Sweep closes idle connections that are too old or broken, and releases state that is no longer
// used. It must be called every few seconds.
func (h *Handler) Sweep(now time.Time) {
	h.mutex.Lock()
	if current := h.current.Load(); current != nil {
		h.registry.removeUnused(current)
	}
	pools := make([]*forward.Pool, 0, len(h.registry.endpoints))
	for _, ep := range h.registry.endpoints {
		pools = append(pools, ep.Pool)
	}
	h.mutex.Unlock()
	for _, pool := range pools {
		pool.Sweep(now)
	}
}

// Close closes idle connections. Connections in use are closed when their exchange ends.
func (h *Handler) Close() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, ep := range h.registry.endpoints {
		ep.Pool.Close()
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	phase := h.options.Gate.Enter()
	defer h.options.Gate.Leave()
	if phase != drain.Serving {
		w.Header().Set("Connection", "close")
	}
	call := &call{handler: h, writer: w, request: r, started: time.Now()}
	if phase == drain.Refusing {
		call.sendFailure(outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, transientRetryAfter, errDraining))
		return
	}
	if failure := call.serve(); failure != nil {
		call.sendFailure(failure)
	}
}
