package assembly

import (
	"context"
	"errors"
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/build"
	"github.com/kestrelstream/kestrelstream/internal/httpserver"
	"github.com/kestrelstream/kestrelstream/internal/lifecycle"
	"github.com/kestrelstream/kestrelstream/internal/sidecar"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/dial"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
	"github.com/kestrelstream/kestrelstream/platform"
)

// Process is a sidecar with its listeners.
type Process struct {
	settings  *sidecar.Settings
	node      *sidecar.Sidecar
	store     *platform.Store
	listeners *listeners
	admin     *telemetry.Admin
	logger    *zap.Logger
	ring      *telemetry.Ring
}

// memoryLimitShare is the fraction of the allowed memory that is set as the runtime's soft
// memory limit.
const memoryLimitShare = 0.6

// New binds the listeners on the network and assembles the process.
func New(loaded *sidecar.Settings, flags Flags, network dial.Network) (*Process, error) {
	return assemble(loaded, flags, network)
}

// Run serves until the context ends and the node has drained.
func (p *Process) Run(ctx context.Context) error {
	if p.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(p.settings.MemoryBytes) * memoryLimitShare))
	}
	p.logger.Info("start", zap.Any("build", build.Read()), zap.Any("settings", p.settings))
	servers := p.servers()
	tasks := make([]lifecycle.Task, 0, len(servers)+2)
	for _, server := range servers {
		tasks = append(tasks, func(context.Context) error { return server.Serve() })
	}
	tasks = append(tasks, func(running context.Context) error {
		p.node.Run(running)
		return nil
	})
	if p.listeners.metrics != nil {
		tasks = append(tasks, func(running context.Context) error { return p.admin.Serve(running, p.listeners.metrics) })
	}
	defer p.ring.Close()
	return lifecycle.Serve(ctx, tasks, func() error { return p.stop(servers) })
}

// CaptureStandardLog passes what is written to the standard logger to that of the process. It is for
// programs that run one process.
func (p *Process) CaptureStandardLog() (restore func()) {
	return telemetry.CaptureStandardLog(p.logger)
}

// LogReloadError logs why newer settings were not applied.
func (p *Process) LogReloadError(err error) {
	p.logger.Error("settings refused", telemetry.Error(err))
}

// Reload applies newer settings as far as a running process can.
func (p *Process) Reload(next *sidecar.Settings) {
	if p.settings.StoreAddress != next.StoreAddress {
		p.store.SetAddress(next.StoreAddress)
	}
	p.node.Reload(*next)
}

func (p *Process) servers() []*httpserver.Server {
	callers := httpserver.Limits{
		HeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, HeaderBytes: headerBytes, CloseGently: p.node.Stopping,
		Pipelining: p.node.Pipelining(),
	}
	peers := httpserver.Limits{HeaderTimeout: headerTimeout, IdleTimeout: peerIdleTimeout, HeaderBytes: 2 * headerBytes}
	control := httpserver.Limits{HeaderTimeout: headerTimeout, IdleTimeout: controlIdleTimeout, HeaderBytes: headerBytes}
	return []*httpserver.Server{
		httpserver.New("outbound", p.listeners.outbound, p.node.Outbound(), callers, p.logger),
		httpserver.New("inbound", p.listeners.inbound, p.node.Inbound(), peers, p.logger),
		httpserver.New("peer", p.listeners.peer, container(p.node.Exchanger().Service()), peers, p.logger),
		httpserver.New("readiness", p.listeners.readiness, container(platform.NewReadinessService(p.node.Ready)), control, p.logger),
		httpserver.New("control", p.listeners.control, container(platform.NewHeartbeatService(p.node)), control, p.logger),
	}
}

// stop drains the node, then closes the listeners.
func (p *Process) stop(servers []*httpserver.Server) error {
	closeBy := p.node.Drain()
	ctx, cancel := clock.WithDeadline(context.Background(), closeBy)
	defer cancel()
	var errs []error
	for _, server := range servers {
		errs = append(errs, server.Stop(ctx))
	}
	return errors.Join(errs...)
}
