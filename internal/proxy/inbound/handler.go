// Package inbound implements the back end's side of the data path. It limits the requests of
// outbound proxies to the back end's slots, refuses duplicates of a call and forwards requests to
// the local back end.
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

// Options configures a Handler.
type Options struct {
	// Service is the name of the back end's service.
	Service string
	// Endpoint is the name of the back end within the service.
	Endpoint string
	// Address is the host:port on which the back end listens.
	Address string
	// Gate counts requests and refuses new ones once the back end is draining.
	Gate *drain.Gate
	// Dial opens connections to the back end. TCP is used if Dial is nil.
	Dial forward.Dialer
	// Connections holds the limits of the connections to the back end. The number of connections is
	// taken from the service instead.
	Connections forward.Limits
	// MaximumBodyBytes is the largest size of a request body.
	MaximumBodyBytes int64
	// RememberedCalls is the largest number of calls that are recorded at a time.
	RememberedCalls int
	Logger          *zap.Logger
	Observer        Observer
}

// Observer receives the results of requests, for instance for metrics.
type Observer interface {
	// RequestEnded is called when the response was sent to the outbound proxy or the connection was
	// aborted.
	RequestEnded(status int, outcome outcome.Outcome, elapsed time.Duration)
	// BackendAnswered is called when the headers of a response of the back end were received.
	BackendAnswered()
	// BackendUnreachable is called when no connection to the back end could be opened.
	BackendUnreachable()
}

// settings holds what a snapshot declares for the back end's service. It is immutable.
type settings struct {
	slots      int
	deadline   time.Duration
	shedMarker *resource.ShedMarker
}

// Handler serves the requests of outbound proxies.
type Handler struct {
	options     Options
	current     atomic.Pointer[settings]
	limiter     *limit.Limiter
	pool        *forward.Pool
	callRecords *calls.Deduplicator
	reported    reportedLoad
}

// New returns a handler that refuses all requests until Apply is called.
func New(options Options) *Handler {
	created := &Handler{
		options:     options,
		limiter:     limit.New(0, 0),
		callRecords: calls.NewDeduplicator(options.RememberedCalls),
	}
	connections := options.Connections
	connections.OnInvalid = created.logInvalid
	created.pool = forward.NewPool(options.Address, connections, options.Dial)
	return created
}

// logInvalid logs bytes of the back end that were rejected.
func (h *Handler) logInvalid(_ *http.Request, invalid *forward.ReplyError) {
	h.options.Logger.Warn("reply rejected",
		zap.String("peer", h.options.Address),
		zap.String("reason", string(invalid.Reason)),
		zap.Int64("bytes", invalid.Bytes),
		zap.Duration("elapsed", invalid.Elapsed),
	)
}

// Apply activates a snapshot. If the snapshot lacks the back end's service, the handler refuses all
// requests.
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

// InFlight returns the number of requests that hold a slot.
func (h *Handler) InFlight() int { return h.limiter.InFlight() }

// Waiting returns the number of queued requests.
func (h *Handler) Waiting() int { return h.limiter.Waiting() }

// Connections returns the number of open connections to the back end.
func (h *Handler) Connections() int { return h.pool.Open() }

// Sweep closes idle connections that are too old or broken.
func (h *Handler) Sweep(now time.Time) { h.pool.Sweep(now) }

// Close closes idle connections. Connections in use are closed when their exchange ends.
func (h *Handler) Close() { h.pool.Close() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	phase := h.options.Gate.Enter()
	defer h.options.Gate.Leave()
	if phase != drain.Serving {
		w.Header().Set("Connection", "close")
	}
	inboundRequest := &inboundRequest{handler: h, writer: w, request: r, started: time.Now()}
	if phase == drain.Refusing {
		inboundRequest.sendFailure(outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, transientRetryAfter, errDraining))
		return
	}
	if failure := inboundRequest.serve(); failure != nil {
		inboundRequest.sendFailure(failure)
	}
}
