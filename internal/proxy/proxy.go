// Package proxy assembles the data path of one machine: the outbound side, which
// serves local callers, the inbound side, which serves other proxies in front of
// the local back end, and the state that both share: the current configuration,
// the state of the back end and the progress of a drain.
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

// sweepInterval is how often stale idle connections are closed.
const sweepInterval = 5 * time.Second

// Proxy is the data path of one machine. It is safe for concurrent use.
type Proxy struct {
	options      Options
	outbound     *outbound.Handler
	outboundGate *drain.Gate
	// inbound, inboundGate and announcer are nil without a back end.
	inbound     *inbound.Handler
	inboundGate *drain.Gate
	announcer   *announcer
	applied     atomic.Pointer[projection.Snapshot]

	mutex sync.Mutex // serializes Apply
}

// New returns a proxy that refuses all requests until the first Apply.
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
	metrics.registerGauges(created)
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
	p.announcer.observe(p.followBackendState)
}

// StaleVersionError reports that an offered snapshot is not newer than the
// current one.
type StaleVersionError struct {
	Current, Offered uint64
}

// Error implements the error interface.
func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("version %d is not above version %d, which is in force", e.Offered, e.Current)
}

// Apply verifies the snapshot and makes it the current configuration. If it
// returns an error, the previous configuration stays in use unchanged. Requests
// in flight keep the configuration they started with.
func (p *Proxy) Apply(snapshot *projection.Snapshot) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if current, _ := p.Version(); snapshot.Version <= current {
		return trace.Wrap(&StaleVersionError{Current: current, Offered: snapshot.Version}, "apply snapshot")
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

// Version returns the version and digest of the current configuration. They are
// zero and empty before the first Apply.
func (p *Proxy) Version() (version uint64, digest string) {
	if current := p.applied.Load(); current != nil {
		return current.Version, current.Digest
	}
	return 0, ""
}

// Snapshot returns the current snapshot, or nil before the first Apply. It
// contains secrets and must not be modified.
func (p *Proxy) Snapshot() *projection.Snapshot { return p.applied.Load() }

// UpdateEndpoints applies state updates of endpoints.
func (p *Proxy) UpdateEndpoints(updates []endpoint.Update) { p.outbound.UpdateEndpoints(updates) }

// RenewConnections replaces every connection to another proxy before its next
// exchange, as needed after this proxy's certificate has changed.
func (p *Proxy) RenewConnections() { p.outbound.RenewConnections() }

// Outbound returns the handler of the listener for local callers.
func (p *Proxy) Outbound() http.Handler { return p.outbound }

// Inbound returns the handler of the listener for other proxies. Without a back
// end it refuses all requests.
func (p *Proxy) Inbound() http.Handler {
	if p.inbound == nil {
		return http.HandlerFunc(refuseWithoutBackend)
	}
	return p.inbound
}

// ObserveBackend calls observer with the current state of the back end and again
// after each change. Without a back end, observer is never called.
func (p *Proxy) ObserveBackend(observer func(endpoint.Update)) {
	if p.announcer != nil {
		p.announcer.observe(observer)
	}
}

// Run polls the back end's health and closes stale idle connections until the
// context ends.
func (p *Proxy) Run(ctx context.Context) {
	if p.announcer != nil {
		announcerDone := make(chan struct{})
		go func() {
			defer close(announcerDone)
			p.announcer.run(ctx)
		}()
		defer func() { <-announcerDone }()
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
