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

// ForcedStopError reports that a drain ended while requests were in flight.
type ForcedStopError struct {
	// Outbound and Inbound are the numbers of requests still in flight.
	Outbound, Inbound int
}

// Error implements the error interface.
func (e *ForcedStopError) Error() string {
	return fmt.Sprintf("stop forced with %d outbound and %d inbound requests in flight", e.Outbound, e.Inbound)
}

// Drain prepares the proxy for shutdown. It announces the local back end as
// draining, accepts new requests for the announce period, in which callers learn
// of the drain, then refuses them as not run and returns once no request is in
// flight. If the context ends first, it returns a ForcedStopError. Close the
// listeners only after Drain has returned.
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

// DrainBackend drains only the local back end, for use before the back end is
// stopped. Local callers are still served.
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

// ResumeBackend accepts requests for the back end again after DrainBackend.
func (p *Proxy) ResumeBackend() {
	if p.inbound != nil {
		p.announcer.endDrain()
	}
}

// followBackendState starts a drain of the inbound side when the back end is
// draining, so that new requests are refused after the announce period, and
// accepts requests again when the back end is in any other state.
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

// InFlight returns the number of requests in flight on each side.
func (p *Proxy) InFlight() (outbound, inbound int) {
	outbound = p.outboundGate.InFlight()
	if p.inboundGate != nil {
		inbound = p.inboundGate.InFlight()
	}
	return outbound, inbound
}

// Draining reports whether the whole proxy is draining, rather than only its
// back end.
func (p *Proxy) Draining() bool { return p.outboundGate.Phase() != drain.Serving }

// ConfigureServer sets the timeouts and the header size limit of a server that
// listens for the proxy.
func (p *Proxy) ConfigureServer(server *http.Server) {
	limits := p.options.Limits
	server.ReadHeaderTimeout = limits.HeaderTimeout
	server.IdleTimeout = limits.CallerIdleTimeout
	server.MaxHeaderBytes = limits.HeaderBytes
}

func refuseWithoutBackend(w http.ResponseWriter, _ *http.Request) {
	outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, time.Second, nil).WriteTo(w)
}
