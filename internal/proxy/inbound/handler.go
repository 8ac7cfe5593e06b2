// Package inbound is the back end's side of the data path: it admits requests
// of callers' proxies up to the back end's slots, refuses a second arrival of
// a call and forwards to the local back end.
package inbound

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/proxy/calls"
	"github.com/kestrelstream/kestrelstream/internal/proxy/drain"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/limit"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Options configure the handler.
type Options struct {
	// Service is the service that the back end belongs to.
	Service string
	// Endpoint is the back end's name within the service.
	Endpoint string
	// Address is the back end's own listener, host:port.
	Address string
	// Gate counts requests and refuses them once the back end is leaving.
	Gate *drain.Gate
	// Dial opens connections to the back end; nil means TCP.
	Dial forward.Dialer
	// Connections bound the connections to the back end; the number itself
	// comes from the service.
	Connections forward.Limits
	// MaximumBodyBytes bounds a request's body.
	MaximumBodyBytes int64
	// RememberedCalls is how many calls are remembered at once.
	RememberedCalls int
	Logger          *zap.Logger
	Observer        Observer
}

// Observer is told how requests went at the back end.
type Observer interface {
	// RequestEnded: the caller's proxy has its answer, or was cut off.
	RequestEnded(status int, outcome outcome.Outcome, elapsed time.Duration)
	// BackendAnswered: the back end sent the headers of a reply.
	BackendAnswered()
	// BackendUnreachable: no connection to the back end could be opened.
	BackendUnreachable()
}

// settings are what a snapshot says about the back end's service. They are
// immutable.
type settings struct {
	slots      int
	deadline   time.Duration
	shedMarker *resource.ShedMarker
}

// Handler serves callers' proxies.
type Handler struct {
	options Options
	current atomic.Pointer[settings]
	limiter *limit.Limiter
	pool    *forward.Pool
	memory  *calls.Deduplicator
	claimed claimedLoad
}

// New returns a handler that refuses everything until Apply.
func New(options Options) *Handler {
	return &Handler{
		options: options,
		limiter: limit.New(0, 0),
		pool:    forward.NewPool(options.Address, options.Connections, options.Dial),
		memory:  calls.NewDeduplicator(options.RememberedCalls),
	}
}

// Apply puts a snapshot in force. A snapshot without the back end's service
// makes the handler refuse everything.
func (h *Handler) Apply(snapshot *projection.Snapshot) {
	view := snapshot.Services[h.options.Service]
	if view == nil {
		h.current.Store(nil)
		return
	}
	limits := h.options.Connections
	limits.Connections = view.Connections
	h.pool.SetLimits(limits)
	h.limiter.Resize(view.Slots, view.Queue)
	h.current.Store(&settings{
		slots:      view.Slots,
		deadline:   time.Duration(view.Deadline),
		shedMarker: view.ShedMarker,
	})
	h.pool.Warm()
}

// InFlight returns how many requests hold a slot of the back end.
func (h *Handler) InFlight() int { return h.limiter.InFlight() }

// Waiting returns how many requests are queued for a slot.
func (h *Handler) Waiting() int { return h.limiter.Waiting() }

// Connections returns how many connections to the back end are open.
func (h *Handler) Connections() int { return h.pool.Open() }

// Sweep closes idle connections that are too old or broken.
func (h *Handler) Sweep(now time.Time) { h.pool.Sweep(now) }

// Close closes idle connections; those in use end with their exchange.
func (h *Handler) Close() { h.pool.Close() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	phase := h.options.Gate.Enter()
	defer h.options.Gate.Leave()
	if phase != drain.Serving {
		w.Header().Set("Connection", "close")
	}
	arrival := &arrival{handler: h, writer: w, request: r, started: time.Now()}
	if phase == drain.Refusing {
		arrival.reply(outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, retrySoon, errDraining))
		return
	}
	if failure := arrival.serve(); failure != nil {
		arrival.reply(failure)
	}
}
