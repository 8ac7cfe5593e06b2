package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
)

// Options configures a Proxy. Zero durations and numbers are replaced by their
// defaults.
type Options struct {
	Node distribution.Node
	// Backend is the local back end; nil if there is none.
	Backend *Backend
	Limits  Limits
	// AnnouncePeriod is how long a draining proxy still accepts requests, so that
	// callers learn of the drain before requests are refused.
	AnnouncePeriod time.Duration
	Logger         *zap.Logger
	// Metrics is where the proxy registers its metrics; nil registers none.
	Metrics prometheus.Registerer
	// Dial opens connections to endpoints and to the back end; nil means plain
	// TCP.
	Dial forward.Dialer
	// PeerDial returns the dialer of connections to the inbound proxy of an
	// endpoint that is expected to be in the given zone; nil means Dial.
	PeerDial func(id endpoint.ID, zone string) forward.Dialer
}

// Backend describes the local back end.
type Backend struct {
	Service  string
	Endpoint string
	// Address is the back end's listening address, host:port.
	Address string
	// InboundAddress is the address at which callers' proxies reach the inbound
	// listener.
	InboundAddress string
	// HealthPath is the path that health polls request; if it is empty, any HTTP
	// response counts as ready.
	HealthPath     string
	HealthInterval time.Duration
	Labels         map[string]string
}

// Limits bounds the resources that a single request or peer may use.
type Limits struct {
	// HeaderBytes is the maximum size of the headers of a request or a response.
	HeaderBytes int
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// HeaderTimeout is the time allowed for reading the headers of a request.
	HeaderTimeout time.Duration
	// CallerIdleTimeout is how long a connection from a caller or another proxy
	// may stay idle before it is closed. It must be longer than PeerIdleTimeout,
	// so that the proxy that opened a connection closes it first.
	CallerIdleTimeout time.Duration
	// PeerIdleTimeout is how long a connection to a peer may stay idle before it
	// is closed.
	PeerIdleTimeout time.Duration
	// DialTimeout is the time allowed for opening a connection.
	DialTimeout time.Duration
	// MinIdleConnections is how many idle connections per peer are opened ahead
	// of need; a negative number opens none.
	MinIdleConnections int
	// RememberedCalls is how many call IDs the inbound side keeps to detect
	// duplicate requests.
	RememberedCalls int
}

// Default values of Options, Backend and Limits.
const (
	DefaultAnnouncePeriod     = 1500 * time.Millisecond
	DefaultHealthInterval     = 500 * time.Millisecond
	DefaultHeaderBytes        = 64 << 10
	DefaultBodyBytes          = 256 << 20
	DefaultHeaderTimeout      = 10 * time.Second
	DefaultCallerIdleTimeout  = 90 * time.Second
	DefaultPeerIdleTimeout    = 45 * time.Second
	DefaultDialTimeout        = time.Second
	DefaultMinIdleConnections = 2
	DefaultRememberedCalls    = 1 << 16
)

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (o Options) withDefaults() Options {
	o.AnnouncePeriod = orDefault(o.AnnouncePeriod, DefaultAnnouncePeriod)
	o.Limits = o.Limits.withDefaults()
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Backend != nil {
		backend := *o.Backend
		backend.HealthInterval = orDefault(backend.HealthInterval, DefaultHealthInterval)
		o.Backend = &backend
	}
	return o
}

// peerDial returns PeerDial, or a function that returns Dial for every endpoint.
func (o Options) peerDial() func(endpoint.ID, string) forward.Dialer {
	if o.PeerDial != nil {
		return o.PeerDial
	}
	return func(endpoint.ID, string) forward.Dialer { return o.Dial }
}

func (l Limits) withDefaults() Limits {
	return Limits{
		HeaderBytes:        orDefault(l.HeaderBytes, DefaultHeaderBytes),
		BodyBytes:          orDefault(l.BodyBytes, DefaultBodyBytes),
		HeaderTimeout:      orDefault(l.HeaderTimeout, DefaultHeaderTimeout),
		CallerIdleTimeout:  orDefault(l.CallerIdleTimeout, DefaultCallerIdleTimeout),
		PeerIdleTimeout:    orDefault(l.PeerIdleTimeout, DefaultPeerIdleTimeout),
		DialTimeout:        orDefault(l.DialTimeout, DefaultDialTimeout),
		MinIdleConnections: orDefault(l.MinIdleConnections, DefaultMinIdleConnections),
		RememberedCalls:    orDefault(l.RememberedCalls, DefaultRememberedCalls),
	}
}

func (l Limits) connections() forward.Limits {
	return forward.Limits{
		WarmIdle:         l.MinIdleConnections,
		IdleTimeout:      l.PeerIdleTimeout,
		DialTimeout:      l.DialTimeout,
		ReplyHeaderBytes: int64(l.HeaderBytes),
	}
}
