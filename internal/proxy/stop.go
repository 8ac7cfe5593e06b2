package proxy

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/proxy/drain"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// ForcedStopError says what a forced stop cuts off.
type ForcedStopError struct {
	// Outbound and Inbound count the requests still in flight.
	Outbound, Inbound int
}

// Error names the counts.
func (e *ForcedStopError) Error() string {
	return fmt.Sprintf("stop forced with %d outbound and %d inbound requests in flight", e.Outbound, e.Inbound)
}

// Drain brings the whole proxy to its planned stop: the back end beside it is
// announced as draining, new work is still taken until the announcement must
// have arrived, then refused as not run, and Drain returns when nothing is in
// flight. When the context ends first it returns a CutOffError. The listeners
// are to be closed only after that.
func (p *Proxy) Drain(ctx context.Context) error {
	var group errgroup.Group
	p.outboundGate.Begin(p.options.AnnouncePeriod)
	group.Go(func() error { return p.outboundGate.Wait(ctx) })
	group.Go(func() error { return p.DrainBackend(ctx) })
	if err := group.Wait(); err != nil {
		return p.forcedStopError()
	}
	p.outbound.Close()
	if p.inbound != nil {
		p.inbound.Close()
	}
	return nil
}

// DrainBackend drains only the back end beside the proxy, before the back end
// is stopped: callers of this machine are still served.
func (p *Proxy) DrainBackend(ctx context.Context) error {
	if p.inbound == nil {
		return nil
	}
	p.announcer.beginDrain()
	p.inboundGate.Begin(p.options.AnnouncePeriod)
	if err := p.inboundGate.Wait(ctx); err != nil {
		return p.forcedStopError()
	}
	return nil
}

// ResumeBackend takes work for the back end again after DrainBackend.
func (p *Proxy) ResumeBackend() {
	if p.inbound != nil {
		p.announcer.endDrain()
	}
}

// followBackendState lets the inbound side refuse new work once a back end that says
// it is leaving must have been heard by every caller, and take it again when
// the back end says so no longer.
func (p *Proxy) followBackendState(update endpoint.Update) {
	if update.State == endpoint.Draining {
		p.inboundGate.Begin(p.options.AnnouncePeriod)
	} else {
		p.inboundGate.Resume()
	}
}

func (p *Proxy) forcedStopError() error {
	stopped := &ForcedStopError{Outbound: p.outboundGate.InFlight()}
	if p.inboundGate != nil {
		stopped.Inbound = p.inboundGate.InFlight()
	}
	return stopped
}

// InFlight returns how many requests each side has in flight.
func (p *Proxy) InFlight() (outbound, inbound int) {
	outbound = p.outboundGate.InFlight()
	if p.inboundGate != nil {
		inbound = p.inboundGate.InFlight()
	}
	return outbound, inbound
}

// Draining reports whether the proxy as a whole is leaving.
func (p *Proxy) Draining() bool { return p.outboundGate.Phase() != drain.Serving }

// ConfigureServer sets the limits that protect a listener of the proxy.
func (p *Proxy) ConfigureServer(server *http.Server) {
	limits := p.options.Limits
	server.ReadHeaderTimeout = limits.HeaderTimeout
	server.IdleTimeout = limits.CallerIdleTimeout
	server.MaxHeaderBytes = limits.HeaderBytes
}

func refuseWithoutBackend(w http.ResponseWriter, _ *http.Request) {
	failure := &outcome.Failure{
		Outcome:    outcome.NotRun,
		Status:     http.StatusServiceUnavailable,
		Step:       outcome.StepAdmit,
		RetryAfter: time.Second,
	}
	failure.WriteTo(w)
}
