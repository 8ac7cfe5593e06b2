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

// Options configure the handler.
type Options struct {
	// Gate counts requests and refuses them once the proxy is leaving.
	Gate *drain.Gate
	// Dial returns the dialer of connections to one endpoint in a zone; nil
	// means TCP.
	Dial func(id endpoint.ID, zone string) forward.Dialer
	// Connections bound the connections to one endpoint; the number itself
	// comes from the service.
	Connections forward.Limits
	// MaximumBodyBytes bounds a request's body.
	MaximumBodyBytes int64
	Logger           *zap.Logger
	Observer         Observer
}

// Observer is told how calls went.
type Observer interface {
	// CallEnded: the caller has its answer, or its connection was aborted.
	CallEnded(service string, status int, outcome outcome.Outcome, elapsed time.Duration)
	// Retried: an attempt is followed by another one.
	Retried(service string)
	// Ejected: an endpoint is left out for a while.
	Ejected(id endpoint.ID)
}

func (o Options) connectionLimits(connections int) forward.Limits {
	limits := o.Connections
	limits.Connections = connections
	return limits
}

func (o Options) dialer(id endpoint.ID, zone string) forward.Dialer {
	if o.Dial == nil {
		return nil
	}
	return o.Dial(id, zone)
}

// Handler serves callers. Its configuration is one atomic pointer.
type Handler struct {
	options Options
	epoch   time.Time
	// callPrefix makes call ids unique among processes.
	callPrefix string
	callCount  atomic.Uint64
	current    atomic.Pointer[configuration]

	mutex    sync.Mutex // guards registry and the replacement of current
	registry *registry
}

// New returns a handler that refuses everything until Apply.
func New(options Options) *Handler {
	return &Handler{
		options:    options,
		epoch:      time.Now(),
		callPrefix: strconv.FormatUint(rand.Uint64(), 36) + "-",
		registry:   newRegistry(options),
	}
}

// now is the time since the handler's epoch.
func (h *Handler) now() time.Duration { return time.Since(h.epoch) }

// Apply puts a snapshot in force that was checked before.
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

// UpdateEndpoints takes in newer states of endpoints.
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

// RenewConnections has every connection to an endpoint opened anew before its
// next exchange. Exchanges under way end on theirs.
func (h *Handler) RenewConnections() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, ep := range h.registry.endpoints {
		ep.Pool.Renew()
	}
}

// Sweep closes idle connections that are too old or broken. It is to be called
// every few seconds.
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

// Close closes idle connections; those in use end with their exchange.
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
