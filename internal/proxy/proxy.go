// Package proxy assembles the data path of one machine: the outbound side for
// callers, the inbound side beside a back end, and what both share: the
// configuration in force, the back end's state and the drain.
package proxy

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/proxy/drain"
	"github.com/kestrelstream/kestrelstream/internal/proxy/inbound"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outbound"
)

// sweepInterval is the time between two looks at idle connections.
const sweepInterval = 5 * time.Second

// Proxy is the data path of one machine. It is safe for concurrent use.
type Proxy struct {
	options      Options
	outbound     *outbound.Handler
	outboundGate *drain.Gate
	// inbound and inboundGate are nil without a back end.
	inbound     *inbound.Handler
	inboundGate *drain.Gate
	announcer   *announcer
	applied     atomic.Pointer[projection.Snapshot]

	mutex sync.Mutex // serializes Apply
}

// New returns a proxy that serves nobody before the first Apply.
func New(options Options) *Proxy {
	options = options.withDefaults()
	metrics := newMetrics(options.Metrics)
	created := &Proxy{options: options, outboundGate: drain.NewGate()}
	created.outbound = outbound.New(outbound.Options{
		Gate:             created.outboundGate,
		Dial:             options.peerDial(),
		Connections:      options.Limits.connections(),
		MaximumBodyBytes: options.Limits.BodyBytes,
		Logger:           options.Logger.Named("outbound"),
		Observer:         metrics,
	})
	if options.Backend != nil {
		created.addBackend(metrics)
	}
	metrics.watch(created)
	return created
}

func (p *Proxy) addBackend(metrics *metrics) {
	p.announcer = newAnnouncer(p.options)
	p.inboundGate = drain.NewGate()
	p.inbound = inbound.New(inbound.Options{
		Service:          p.options.Backend.Service,
		Endpoint:         p.options.Backend.Endpoint,
		Address:          p.options.Backend.Address,
		Gate:             p.inboundGate,
		Dial:             p.options.Dial,
		Connections:      p.options.Limits.connections(),
		MaximumBodyBytes: p.options.Limits.BodyBytes,
		RememberedCalls:  p.options.Limits.RememberedCalls,
		Logger:           p.options.Logger.Named("inbound"),
		Observer:         &inboundObserver{metrics: metrics, announcer: p.announcer},
	})
	p.announcer.observe(p.followState)
}

// VersionError says that a snapshot is not newer than the one in force.
type VersionError struct {
	Held, Offered uint64
}

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d is not above version %d, which is in force", e.Offered, e.Held)
}

// Apply checks and compiles the whole snapshot and puts it in force at once.
// On an error the one before stays in force, whole. Requests that run keep the
// configuration they began with.
func (p *Proxy) Apply(snapshot *projection.Snapshot) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if held, _ := p.Version(); snapshot.Version <= held {
		return trace.Wrap(&VersionError{Held: held, Offered: snapshot.Version}, "apply snapshot")
	}
	if err := snapshot.Verify(); err != nil {
		return trace.Wrap(err, "apply snapshot: check digest")
	}
	if err := snapshot.CheckReferences(); err != nil {
		return trace.Wrap(err, "apply snapshot: check references")
	}
	p.outbound.Apply(snapshot)
	if p.inbound != nil {
		p.inbound.Apply(snapshot)
	}
	p.applied.Store(snapshot)
	return nil
}

// Version returns the version and digest in force, zero and empty before the
// first Apply.
func (p *Proxy) Version() (version uint64, digest string) {
	if held := p.applied.Load(); held != nil {
		return held.Version, held.Digest
	}
	return 0, ""
}

// Snapshot returns the snapshot in force, or nil. It must not be changed and
// holds secrets.
func (p *Proxy) Snapshot() *projection.Snapshot { return p.applied.Load() }

// UpdateEndpoints takes in newer states of endpoints.
func (p *Proxy) UpdateEndpoints(updates []endpoint.Update) { p.outbound.UpdateEndpoints(updates) }

// RenewConnections has connections to other proxies opened anew before their
// next exchange, as after a change of this proxy's certificate.
func (p *Proxy) RenewConnections() { p.outbound.RenewConnections() }

// Outbound returns the handler of the callers' listener.
func (p *Proxy) Outbound() http.Handler { return p.outbound }

// Inbound returns the handler of the listener for other proxies. Without a
// back end it refuses everything.
func (p *Proxy) Inbound() http.Handler {
	if p.inbound == nil {
		return http.HandlerFunc(refuseWithoutBackend)
	}
	return p.inbound
}

// Observe calls the function with the state of the back end now and at each
// change. Without a back end it never does.
func (p *Proxy) Observe(observer func(endpoint.Update)) {
	if p.announcer != nil {
		p.announcer.observe(observer)
	}
}

// Run does the proxy's work in the background until the context ends: it
// watches the back end's health and closes idle connections.
func (p *Proxy) Run(ctx context.Context) {
	if p.announcer != nil {
		watching := make(chan struct{})
		go func() {
			defer close(watching)
			p.announcer.run(ctx)
		}()
		defer func() { <-watching }()
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

func (p *Proxy) sweep(now time.Time) {
	p.outbound.Sweep(now)
	if p.inbound != nil {
		p.inbound.Sweep(now)
	}
}
