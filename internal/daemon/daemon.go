// Package daemon assembles kestreld: the resource API, the relay of the
// distribution tree and, while this daemon holds a reader slot, the store
// reader. Every daemon is a candidate for every role.
package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution/controlhost"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/httpserver"
	"github.com/kestrelstream/kestrelstream/internal/identity"
	"github.com/kestrelstream/kestrelstream/internal/lifecycle"
	"github.com/kestrelstream/kestrelstream/internal/membership/machines"
	"github.com/kestrelstream/kestrelstream/internal/process"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

const (
	// drainTimeout bounds the orderly stop.
	drainTimeout = 10 * time.Second
	// childrenGrace is how long children may take to move to other parents.
	childrenGrace = 2 * time.Second
)

// Options are what a process passes beside its settings.
type Options = process.Options[Listeners]

// Daemon is one kestreld.
type Daemon struct {
	listeners *Listeners
	force     forceContext
	logger    *zap.Logger
	host      *controlhost.Host
	traffic   *stream.Traffic
	admin     *telemetry.Admin
	api       apiHandler
	stream    *stream.Server
	// credentials prove this daemon to others and others to it.
	credentials *identity.Credentials
	maintainer  *maintainer
	// machines reads the platform's list of machines; nil without one.
	machines *machines.Poller
}

// New assembles a daemon from checked settings and binds its listeners.
func New(loaded settings.Daemon, options Options) (*Daemon, error) {
	options = options.WithDefaults()
	listeners, err := options.Bound(func() (*Listeners, error) { return Listen(loaded.Listen) })
	if err != nil {
		return nil, trace.Wrap(err)
	}
	assembled, err := assemble(loaded, options, listeners)
	if err != nil {
		listeners.Close()
		return nil, trace.Wrap(err, "assemble daemon")
	}
	return assembled, nil
}

// Addresses returns the bound addresses.
func (d *Daemon) Addresses() Addresses { return d.listeners.Addresses() }

// Traffic returns the control traffic counted since the start.
func (d *Daemon) Traffic() *stream.Traffic { return d.traffic }

// Host returns the daemon's relay.
func (d *Daemon) Host() *controlhost.Host { return d.host }

// Run serves until ctx ends, then stops in order: children are asked to move,
// requests of operators end, streams close. It returns nil after an orderly
// stop, and an error saying what was cut after a forced one.
func (d *Daemon) Run(ctx context.Context) error {
	servers := d.servers()
	d.logger.Info("serving", zap.Any("addresses", d.Addresses()))
	return lifecycle.Serve(ctx, d.tasks(servers), func() error { return d.drain(servers) })
}

func (d *Daemon) tasks(servers []*httpserver.Server) []lifecycle.Task {
	tasks := []lifecycle.Task{
		func(ctx context.Context) error { return d.admin.Serve(ctx, d.listeners.Admin) },
		func(ctx context.Context) error { d.credentials.Run(ctx); return nil },
		func(ctx context.Context) error { d.maintainer.run(ctx); return nil },
		d.host.Run,
	}
	if d.machines != nil {
		tasks = append(tasks, d.machines.Run)
	}
	for _, server := range servers {
		tasks = append(tasks, func(context.Context) error { return server.Serve() })
	}
	return tasks
}

func (d *Daemon) servers() []*httpserver.Server {
	limits := httpserver.ControlLimits()
	operators := identity.AcceptRoles(identity.RoleOperator)
	nodes := identity.AcceptRoles(identity.RoleProxy, identity.RoleControl)
	api := d.credentials.Listen(d.listeners.API, operators)
	// Bytes are counted below TLS.
	streams := d.credentials.Listen(d.traffic.Listener(stream.DetectDeadPeers(d.listeners.Stream)), nodes)
	resources := httpserver.New("api", api, d.api, limits, d.logger)
	resources.OnStop(d.api.endWatches)
	return []*httpserver.Server{
		resources,
		httpserver.New("stream", streams, d.credentials.Authenticate(nodes, d.stream.Handler()), limits, d.logger),
	}
}

// drain stops in order and returns what had to be cut.
func (d *Daemon) drain(servers []*httpserver.Server) error {
	ctx, cancel := context.WithTimeout(d.force.Context, drainTimeout)
	defer cancel()
	d.logger.Info("draining")
	if err := d.host.Stop(ctx, childrenGrace); err != nil {
		d.logger.Warn("children were not asked to move", telemetry.Error(err))
	}
	var cut []error
	for _, server := range servers {
		cut = append(cut, server.Stop(ctx))
	}
	return errors.Join(cut...)
}
