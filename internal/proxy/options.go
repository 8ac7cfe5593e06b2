package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
)

// Options configure a proxy. Zero durations and numbers take the defaults.
type Options struct {
	Node distribution.Node
	// Backend is the back end beside the proxy; nil when there is none.
	Backend *Backend
	Limits  Limits
	// AnnouncePeriod is how long a draining proxy goes on taking work, so that
	// callers learn of the drain first.
	AnnouncePeriod time.Duration
	Logger         *zap.Logger
	// Metrics receives the proxy's metrics; nil registers none.
	Metrics prometheus.Registerer
	// Dial opens connections to endpoints and to the back end; nil means TCP.
	Dial forward.Dialer
	// PeerDial returns the dialer of connections to the inbound proxy of one
	// endpoint, which is to be in the zone; nil means Dial.
	PeerDial func(id endpoint.ID, zone string) forward.Dialer
}

// Backend describes the back end beside the proxy.
type Backend struct {
	Service  string
	Endpoint string
	// Address is the back end's own listener, host:port.
	Address string
	// InboundAddress is the proxy's inbound listener as callers reach it.
	InboundAddress string
	// HealthPath is polled; empty means that only connections are tried.
	HealthPath     string
	HealthInterval time.Duration
	Labels         map[string]string
}

// Limits bound what one request or peer may cost.
type Limits struct {
	// HeaderBytes bounds the headers of a request and of a reply.
	HeaderBytes int
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// HeaderTimeout bounds the reading of a request's headers.
	HeaderTimeout time.Duration
	// CallerIdleTimeout closes callers' connections unused for so long. It is
	// longer than PeerIdleTimeout, so that proxies close their own side first.
	CallerIdleTimeout time.Duration
	// PeerIdleTimeout closes connections to peers unused for so long.
	PeerIdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MinIdleConnections is how many idle connections are kept per peer.
	MinIdleConnections int
	// RememberedCalls is how many call ids the inbound side remembers.
	RememberedCalls int
}

// Defaults of Options and Limits.
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

// peerDial returns the dialer of connections to inbound proxies.
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
