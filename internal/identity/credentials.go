package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// plainWarning is logged at the start and again in every plainWarningInterval
// while mutual TLS is off.
const (
	plainWarning         = "MUTUAL TLS IS OFF: peers are not authenticated and secrets travel in the clear"
	plainWarningInterval = time.Hour
)

// applicationProtocol is the only protocol spoken between own processes.
const applicationProtocol = "http/1.1"

// Credentials are what a process proves itself by and believes others by.
// They are reloaded while it runs; connections that stand are not touched. It
// is safe for concurrent use.
type Credentials struct {
	files    settings.Identity
	logger   *zap.Logger
	metrics  *metrics
	material atomic.Pointer[material]

	// mutex guards all below.
	mutex    sync.Mutex
	running  map[*runningRequest]struct{}
	onReload []func()
}

// Load reads the credentials the settings name.
func Load(files settings.Identity, logger *zap.Logger, registry prometheus.Registerer) (*Credentials, error) {
	credentials := &Credentials{files: files, logger: logger, running: map[*runningRequest]struct{}{}}
	if files.PlainHTTP {
		logger.Warn(plainWarning)
	} else {
		read, err := readMaterial(files)
		if err != nil {
			return nil, trace.Wrap(err, "loading credentials")
		}
		credentials.material.Store(read)
	}
	credentials.metrics = newMetrics(credentials)
	if err := registry.Register(credentials.metrics); err != nil {
		return nil, trace.Wrap(err, "registering identity metrics")
	}
	return credentials, nil
}

// Plain reports whether mutual TLS is switched off.
func (c *Credentials) Plain() bool { return c.files.PlainHTTP }

// Scheme returns the URL scheme to reach own processes by.
func (c *Credentials) Scheme() string {
	if c.Plain() {
		return "http"
	}
	return "https"
}

// Self returns who this process is by its certificate; zero without TLS.
func (c *Credentials) Self() Identity {
	if held := c.material.Load(); held != nil {
		return held.self
	}
	return Identity{}
}

// Reload reads the files again and reports whether they changed. When they
// cannot be used, the error says why and what was held stays in force.
func (c *Credentials) Reload() (bool, error) {
	if c.Plain() {
		return false, nil
	}
	read, err := readMaterial(c.files)
	if err == nil && read.self.String() != c.Self().String() {
		err = trace.BadParameter("the new certificate is for %s, this process is %s", read.self, c.Self())
	}
	if err != nil {
		c.metrics.reloadFailures.Inc()
		return false, trace.Wrap(err, "reloading credentials")
	}
	if read.equal(c.material.Load()) {
		return false, nil
	}
	c.material.Store(read)
	c.metrics.reloads.Inc()
	c.reloaded()
	return true, nil
}

// OnReload has a function called after each reload that changed something, as
// to close idle connections that were opened with the former certificate.
func (c *Credentials) OnReload(call func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.onReload = append(c.onReload, call)
}

// reloaded ends requests of peers that are no longer believed and tells those
// who asked to be told.
func (c *Credentials) reloaded() {
	c.mutex.Lock()
	running := slices.Collect(maps.Keys(c.running))
	calls := slices.Clone(c.onReload)
	c.mutex.Unlock()
	for _, request := range running {
		if _, err := c.material.Load().verifyAgain(request.chain, x509.ExtKeyUsageClientAuth, time.Now()); err != nil {
			c.metrics.refusals.Inc()
			c.logger.Warn("request ended, its peer is no longer believed",
				zap.String(telemetry.PeerField, request.peer.Name()), telemetry.Error(err))
			request.end()
		}
	}
	for _, call := range calls {
		call()
	}
}

// Run reloads in every ReloadInterval until the context ends.
func (c *Credentials) Run(ctx context.Context) {
	interval := time.Duration(c.files.ReloadInterval)
	if c.Plain() {
		interval = plainWarningInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick()
		}
	}
}

func (c *Credentials) tick() {
	if c.Plain() {
		c.logger.Warn(plainWarning)
		return
	}
	changed, err := c.Reload()
	switch {
	case err != nil:
		c.logger.Error("credentials not reloaded, the former stay in force", telemetry.Error(err))
	case changed:
		c.logger.Info("credentials reloaded", zap.Time("expires", c.Status().Expires))
	}
}

// Listen returns the listener with mutual TLS that takes accepted peers only,
// or as it is when TLS is off.
func (c *Credentials) Listen(listener net.Listener, accept Accept) net.Listener {
	if c.Plain() {
		return listener
	}
	return tls.NewListener(listener, c.ServerConfig(accept))
}

// ServerConfig returns the configuration of a server that takes accepted
// peers only; nil when TLS is off.
func (c *Credentials) ServerConfig(accept Accept) *tls.Config {
	if c.Plain() {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{applicationProtocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.material.Load().certificate, nil
		},
		// The chain is verified in VerifyConnection against the roots held
		// then, so that a reload needs no other configuration.
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: c.verifier(x509.ExtKeyUsageClientAuth, accept),
	}
}

// ClientConfig returns the configuration of a client that goes on only with
// servers that are accepted; nil when TLS is off. Servers are known by the
// identity in their certificate, not by the address they were reached at.
func (c *Credentials) ClientConfig(accept Accept) *tls.Config {
	if c.Plain() {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{applicationProtocol},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.material.Load().certificate, nil
		},
		// Host names are not compared, since nodes have only addresses that
		// change hands; VerifyConnection verifies the chain and the identity.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifier(x509.ExtKeyUsageServerAuth, accept),
	}
}

// Dialer opens network connections.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dialer of connections to accepted peers over those of
// another dialer. A connection it returns has ended its handshake, so that
// the first byte written to it is the caller's. With TLS off it returns the
// other dialer.
func (c *Credentials) Dialer(accept Accept, dial Dialer) Dialer {
	if c.Plain() {
		return dial
	}
	config := c.ClientConfig(accept)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(plain, config)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, trace.Wrap(err, "handshake with %s", address)
		}
		return secured, nil
	}
}

// AcceptEndpoint accepts the proxy beside an endpoint of a service: one whose
// certificate is for that zone and names that service.
func AcceptEndpoint(service, zone string) Accept {
	return func(peer Identity) error {
		switch {
		case peer.Role != RoleProxy:
			return refusal(peer, "role: is not %s", RoleProxy)
		case peer.Zone != zone:
			return refusal(peer, "zone: is not %q", zone)
		case !slices.Contains(peer.Services, service):
			return refusal(peer, "service: does not act for %q", service)
		default:
			return nil
		}
	}
}

func (c *Credentials) verifier(usage x509.ExtKeyUsage, accept Accept) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		peer, err := c.material.Load().verify(state.PeerCertificates, usage, time.Now())
		if err == nil {
			err = accept(peer)
		}
		if err != nil {
			c.metrics.refusals.Inc()
		}
		return err
	}
}

// RootStatus describes one root that is believed.
type RootStatus struct {
	Name    string    `json:"name"`
	Expires time.Time `json:"expires"`
}

// Status describes the credentials for operators.
type Status struct {
	PlainHTTP bool         `json:"plainHTTP"`
	Identity  string       `json:"identity,omitempty"`
	Expires   time.Time    `json:"expires,omitzero"`
	Roots     []RootStatus `json:"roots,omitempty"`
}

// Status returns what is in force.
func (c *Credentials) Status() Status {
	held := c.material.Load()
	if held == nil {
		return Status{PlainHTTP: true}
	}
	status := Status{Identity: held.self.String(), Expires: held.notAfter}
	for _, root := range held.roots {
		status.Roots = append(status.Roots, RootStatus{Name: root.Subject.CommonName, Expires: root.NotAfter})
	}
	return status
}
