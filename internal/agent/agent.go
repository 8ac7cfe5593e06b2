// Package agent assembles kestrel-proxy: the data path and the subscription
// that brings its configuration and reports its back end's state.
package agent

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/agent/attachment"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscription"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/httpserver"
	"github.com/kestrelstream/kestrelstream/internal/identity"
	"github.com/kestrelstream/kestrelstream/internal/lifecycle"
	"github.com/kestrelstream/kestrelstream/internal/process"
	"github.com/kestrelstream/kestrelstream/internal/proxy"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

const (
	// closeTimeout bounds the closing of the listeners once nothing is in
	// flight.
	closeTimeout = 3 * time.Second
	// linger is how long idle connections are left to their callers then. It
	// is spent only while there are some.
	linger = time.Second
)

// Options are what a process passes beside its settings.
type Options = process.Options[Listeners]

// Agent is one kestrel-proxy.
type Agent struct {
	settings     settings.Proxy
	listeners    *Listeners
	force        forceContext
	logger       *zap.Logger
	proxy        *proxy.Proxy
	announcer    *attachment.Announcer
	subscription *subscription.Subscription
	parents      *parentList
	traffic      *stream.Traffic
	admin        *telemetry.Admin
	credentials  *identity.Credentials
	// callerCertificate is nil when callers speak plain HTTP.
	callerCertificate *identity.ServerCertificate
}

// New assembles a proxy from checked settings and binds its listeners.
func New(loaded settings.Proxy, options Options) (*Agent, error) {
	options = options.WithDefaults()
	listeners, err := options.Bound(func() (*Listeners, error) { return Listen(loaded.Listen) })
	if err != nil {
		return nil, trace.Wrap(err)
	}
	assembled, err := assemble(loaded, options, listeners)
	if err != nil {
		listeners.Close()
		return nil, trace.Wrap(err, "assemble proxy")
	}
	return assembled, nil
}

// Addresses returns the bound addresses.
func (a *Agent) Addresses() Addresses { return a.listeners.Addresses() }

// Traffic returns the control traffic counted since the start.
func (a *Agent) Traffic() *stream.Traffic { return a.traffic }

// Proxy returns the data path.
func (a *Agent) Proxy() *proxy.Proxy { return a.proxy }

// Subscription returns the state of the subscription to a parent.
func (a *Agent) Subscription() subscription.Status { return a.subscription.Status() }

// Run serves until ctx ends, then stops in order: the back end is announced as
// draining, requests in flight end, the listeners close, the subscription ends.
// It returns nil after an orderly stop, and an error saying what was cut after
// a forced one.
func (a *Agent) Run(ctx context.Context) error {
	servers := a.servers()
	a.subscription.SetRankFunc(a.parents.rank)
	a.logger.Info("serving", zap.Any("addresses", a.Addresses()))
	return lifecycle.Serve(ctx, a.tasks(servers), func() error { return a.drain(servers) })
}

func (a *Agent) tasks(servers []*httpserver.Server) []lifecycle.Task {
	tasks := []lifecycle.Task{
		func(ctx context.Context) error { return a.admin.Serve(ctx, a.listeners.Admin) },
		func(ctx context.Context) error { a.proxy.Run(ctx); return nil },
		a.subscription.Run,
		a.subscribe,
		a.reloadCertificates,
	}
	for _, server := range servers {
		tasks = append(tasks, func(context.Context) error { return server.Serve() })
	}
	return tasks
}

// subscribe gives the running subscription its parents and what it reports.
func (a *Agent) subscribe(ctx context.Context) error {
	a.proxy.ObserveBackend(func(update endpoint.Update) { a.announcer.Set(update.State) })
	if err := a.subscription.Parents(ctx, a.parents.rank(nil)); err != nil {
		a.logger.Error("parents not set", telemetry.Error(err))
	}
	return nil
}

// drain stops in order and returns what had to be cut.
func (a *Agent) drain(servers []*httpserver.Server) error {
	bound := time.Duration(a.settings.Drain.Announce) + time.Duration(a.settings.Drain.Timeout)
	ctx, cancel := context.WithTimeout(a.force.Context, bound)
	defer cancel()
	a.logger.Info("draining")
	cut := []error{a.proxy.Drain(ctx)}
	closing, cancelClosing := context.WithTimeout(a.force.Context, closeTimeout)
	defer cancelClosing()
	for _, server := range servers {
		cut = append(cut, server.Stop(closing))
	}
	return errors.Join(cut...)
}

func (a *Agent) servers() []*httpserver.Server {
	limits := httpserver.Limits{
		HeaderTimeout: time.Duration(a.settings.Limits.HeaderTimeout),
		IdleTimeout:   time.Duration(a.settings.Limits.IdleTimeout),
		HeaderBytes:   a.settings.Limits.HeaderBytes,
		Linger:        linger,
	}
	servers := []*httpserver.Server{httpserver.New("outbound", a.callers(), a.proxy.Outbound(), limits, a.logger)}
	if a.listeners.Inbound != nil {
		inbound := a.credentials.Listen(a.listeners.Inbound, identity.AcceptRoles(identity.RoleProxy))
		servers = append(servers, httpserver.New("inbound", inbound, a.inboundHandler(), limits, a.logger))
	}
	return servers
}
