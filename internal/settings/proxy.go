package settings

import "time"

// Proxy is everything kestrel-proxy is told.
type Proxy struct {
	Node   ProxyNode   `json:"node"`
	Listen ProxyListen `json:"listen"`
	// Backend is the back end beside the proxy; without one the proxy only
	// serves callers.
	Backend     *Backend    `json:"backend,omitempty"`
	Seeds       []Seed      `json:"seeds"`
	Stream      ProxyStream `json:"stream"`
	Limits      ProxyLimits `json:"limits"`
	Drain       Drain       `json:"drain"`
	CallerTLS   *CallerTLS  `json:"callerTLS,omitempty"`
	Identity    Identity    `json:"identity"`
	Logging     Logging     `json:"logging"`
	Diagnostics Diagnostics `json:"diagnostics"`
}

// ProxyNode is a node that acts for services.
type ProxyNode struct {
	Node
	// Services are the identities the proxy acts for. With mutual TLS the
	// certificate decides, and these must be the same.
	Services []string `json:"services"`
}

// ProxyListen holds the listeners of a proxy, each an explicit IP:port.
type ProxyListen struct {
	Outbound string `json:"outbound"`
	// Inbound is needed only beside a back end; it is the address other
	// proxies are told.
	Inbound string `json:"inbound,omitempty"`
	Admin   string `json:"admin"`
}

// Backend is the back end beside a proxy.
type Backend struct {
	Service string `json:"service"`
	// Endpoint is the name of this endpoint within the service.
	Endpoint string `json:"endpoint"`
	// Address is IP:port.
	Address    string `json:"address"`
	HealthPath string `json:"healthPath"`
	// HealthInterval is the time between two health checks.
	HealthInterval Duration          `json:"healthInterval"`
	Labels         map[string]string `json:"labels,omitempty"`
}

// ProxyStream tunes the proxy's stream from its relay.
type ProxyStream struct {
	// Heartbeat is the longest silence after which a report is sent.
	Heartbeat Duration `json:"heartbeat"`
	// SilenceTimeout is the silence of a parent after which it is given up.
	SilenceTimeout Duration `json:"silenceTimeout"`
	ReportWindow   Duration `json:"reportWindow"`
	BackoffMinimum Duration `json:"backoffMinimum"`
	BackoffMaximum Duration `json:"backoffMaximum"`
	MessageBytes   int      `json:"messageBytes"`
	// RelaysPerZone is how many daemons of the zone the zone's proxies spread
	// over; the others are taken when those fail. It is the daemons'
	// distribution.relaysPerZone.
	RelaysPerZone int `json:"relaysPerZone"`
}

// ProxyLimits bounds what callers may ask of a proxy.
type ProxyLimits struct {
	HeaderBytes   int      `json:"headerBytes"`
	HeaderTimeout Duration `json:"headerTimeout"`
	IdleTimeout   Duration `json:"idleTimeout"`
	// Connections bounds the callers' connections.
	Connections int `json:"connections"`
	// CallMemory is how many call ids the inbound side remembers.
	CallMemory int `json:"callMemory"`
}

// Drain tunes a planned stop.
type Drain struct {
	// Announce is how long new work is still taken after the announcement.
	Announce Duration `json:"announce"`
	// Timeout is how long requests in flight may take to end.
	Timeout Duration `json:"timeout"`
}

// CallerTLS holds the certificate shown to callers.
type CallerTLS struct {
	CertificateFile string `json:"certificateFile"`
	KeyFile         string `json:"keyFile"`
}

// DefaultProxy returns the settings that hold where a file says nothing.
func DefaultProxy() Proxy {
	return Proxy{
		Stream: ProxyStream{
			Heartbeat:      Duration(20 * time.Second),
			SilenceTimeout: Duration(1800 * time.Millisecond),
			ReportWindow:   Duration(100 * time.Millisecond),
			BackoffMinimum: Duration(50 * time.Millisecond),
			BackoffMaximum: Duration(time.Second),
			MessageBytes:   16 << 20,
			RelaysPerZone:  3,
		},
		Limits: ProxyLimits{
			HeaderBytes:   64 << 10,
			HeaderTimeout: Duration(10 * time.Second),
			IdleTimeout:   Duration(90 * time.Second),
			Connections:   4096,
			CallMemory:    1 << 16,
		},
		Drain: Drain{
			Announce: Duration(1500 * time.Millisecond),
			Timeout:  Duration(30 * time.Second),
		},
		Identity: defaultIdentity(),
		Logging:  defaultLogging(),
	}
}

// setDefaults fills what a declared back end leaves out.
func (b *Backend) setDefaults() {
	if b.HealthPath == "" {
		b.HealthPath = "/health"
	}
	if b.HealthInterval == 0 {
		b.HealthInterval = Duration(time.Second)
	}
}
