package mesh

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/agent"
	"github.com/kestrelstream/kestrelstream/internal/daemon"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/standin/backend"
	"github.com/kestrelstream/kestrelstream/internal/standin/keyvalue"
)

// StoreNode is the stand-in store. Its content outlives its stops, as that of
// a replicated service does.
type StoreNode struct {
	node
	address string
	service *keyvalue.Service
}

func newStoreNode(address string, service *keyvalue.Service) *StoreNode {
	created := &StoreNode{address: address, service: service}
	created.node = node{name: "store", start: func(_ context.Context, tracked *tracker) (runner, error) {
		listener, err := tracked.listen(address)
		if err != nil {
			return nil, err
		}
		return &serverRunner{server: &http.Server{Handler: keyvalue.NewHandler(service)}, listener: listener}, nil
	}}
	return created
}

// Statistics counts the store's requests.
func (s *StoreNode) Statistics() keyvalue.Statistics { return s.service.Statistics() }

// Faults returns the switches of the store's faults.
func (s *StoreNode) Faults() *keyvalue.Faults { return s.service.Faults() }

// serverRunner runs a plain HTTP server.
type serverRunner struct {
	server   *http.Server
	listener net.Listener
}

// Run serves until the context ends.
func (r *serverRunner) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = r.server.Close() })
	defer stop()
	if err := r.server.Serve(r.listener); err != http.ErrServerClosed {
		return trace.Wrap(err, "serve on %s", r.listener.Addr())
	}
	return nil
}

// ControlNode is a control daemon.
type ControlNode struct {
	node
	settings settings.Daemon
	current  atomic.Pointer[daemon.Daemon]
	// earlier is the traffic of earlier starts.
	earlier atomic.Uint64
}

func newControlNode(loaded settings.Daemon, options Options) *ControlNode {
	created := &ControlNode{settings: loaded}
	created.node = node{name: loaded.Node.Name, start: func(force context.Context, tracked *tracker) (runner, error) {
		listeners, err := created.listen(tracked)
		if err != nil {
			return nil, err
		}
		started, err := daemon.New(created.settings, daemon.Options{
			Listeners: listeners, LogOutput: options.Log, Force: force, Dial: tracked.dial,
		})
		if err != nil {
			return nil, err
		}
		if before := created.current.Swap(started); before != nil {
			created.earlier.Add(trafficOf(before))
		}
		return started, nil
	}}
	return created
}

func (c *ControlNode) listen(tracked *tracker) (*daemon.Listeners, error) {
	listeners := &daemon.Listeners{}
	var err error
	if listeners.API, err = tracked.listen(c.settings.Listen.API); err != nil {
		return nil, err
	}
	if listeners.Stream, err = tracked.listen(c.settings.Listen.Stream); err != nil {
		return nil, err
	}
	listeners.Admin, err = tracked.listen(c.settings.Listen.Admin)
	return listeners, err
}

// APIAddress is the address of the resource API.
func (c *ControlNode) APIAddress() string { return c.settings.Listen.API }

// StreamAddress is the address children attach to.
func (c *ControlNode) StreamAddress() string { return c.settings.Listen.Stream }

// Region is the region of the daemon.
func (c *ControlNode) Region() string { return c.settings.Node.Region }

// Daemon returns the code of the newest start; nil before the first.
func (c *ControlNode) Daemon() *daemon.Daemon { return c.current.Load() }

// ControlBytes is what the daemon sent to and received from others so far, in
// bytes on its control connections.
func (c *ControlNode) ControlBytes() uint64 { return c.controlBytes() }

// Zone is the zone of the daemon.
func (c *ControlNode) Zone() string { return c.settings.Node.Zone }

func (c *ControlNode) controlBytes() uint64 {
	sum := c.earlier.Load()
	if current := c.current.Load(); current != nil {
		sum += trafficOf(current)
	}
	return sum
}

// trafficOf sums what a daemon sent to and received from its children: every
// byte of the tree is counted once, at the parent's end.
func trafficOf(running *daemon.Daemon) uint64 {
	totals := running.Traffic().Totals()
	return totals.ConnectionBytesSent + totals.ConnectionBytesReceived
}

// ProxyNode is a proxy.
type ProxyNode struct {
	node
	settings settings.Proxy
	current  atomic.Pointer[agent.Agent]
}

func newProxyNode(loaded settings.Proxy, options Options) *ProxyNode {
	created := &ProxyNode{settings: loaded}
	created.node = node{name: loaded.Node.Name, start: func(force context.Context, tracked *tracker) (runner, error) {
		listeners, err := created.listen(tracked)
		if err != nil {
			return nil, err
		}
		started, err := agent.New(created.settings, agent.Options{
			Listeners: listeners, LogOutput: options.Log, Force: force, Dial: tracked.dial,
		})
		if err != nil {
			return nil, err
		}
		created.current.Store(started)
		return started, nil
	}}
	return created
}

func (p *ProxyNode) listen(tracked *tracker) (*agent.Listeners, error) {
	listeners := &agent.Listeners{}
	var err error
	if listeners.Outbound, err = tracked.listen(p.settings.Listen.Outbound); err != nil {
		return nil, err
	}
	if p.settings.Listen.Inbound != "" {
		if listeners.Inbound, err = tracked.listen(p.settings.Listen.Inbound); err != nil {
			return nil, err
		}
	}
	listeners.Admin, err = tracked.listen(p.settings.Listen.Admin)
	return listeners, err
}

// OutboundAddress is the address callers use.
func (p *ProxyNode) OutboundAddress() string { return p.settings.Listen.Outbound }

// Zone is the zone of the proxy.
func (p *ProxyNode) Zone() string { return p.settings.Node.Zone }

// Version is the configuration version in force.
func (p *ProxyNode) Version() uint64 {
	current := p.current.Load()
	if current == nil {
		return 0
	}
	version, _ := current.Proxy().Version()
	return version
}

// UpstreamNode is a back end with the proxy beside it.
type UpstreamNode struct {
	Upstream
	Backend *node
	Proxy   *ProxyNode
	current atomic.Pointer[backend.Backend]
}

func (m *Mesh) newUpstreamNode(upstream Upstream, loaded settings.Proxy) *UpstreamNode {
	created := &UpstreamNode{Upstream: upstream, Proxy: newProxyNode(loaded, m.options)}
	created.Backend = &node{name: upstream.Name + "-backend", start: func(force context.Context, tracked *tracker) (runner, error) {
		listener, err := tracked.listen(loaded.Backend.Address)
		if err != nil {
			return nil, err
		}
		behaviour := m.options.Behaviour
		if m.options.TuneBehaviour != nil {
			m.options.TuneBehaviour(upstream, &behaviour)
		}
		standin := backend.New(backend.Options{
			Name: upstream.Name, Service: upstream.Service, Zone: upstream.Zone,
			Slots: m.options.Deployment.Slots, ColdStart: m.options.ColdStart,
			Behaviour: behaviour, Ledger: m.ledger,
		})
		created.current.Store(standin)
		return &backendRunner{standin: standin, listener: listener, force: force}, nil
	}}
	return created
}

// Standin returns the back end of the newest start.
func (u *UpstreamNode) Standin() *backend.Backend { return u.current.Load() }

// BackendAddress is the address of the back end itself.
func (u *UpstreamNode) BackendAddress() string { return u.Proxy.settings.Backend.Address }

// Stop ends the proxy, which drains, and then the back end.
func (u *UpstreamNode) Stop() error {
	if err := u.Proxy.Stop(); err != nil {
		return err
	}
	return u.Backend.Stop()
}

// backendStopTimeout bounds the planned stop of a back end.
const backendStopTimeout = 10 * time.Second

// backendRunner runs a stand-in back end.
type backendRunner struct {
	standin  *backend.Backend
	listener net.Listener
	force    context.Context
}

// Run serves until the context ends, then lets requests finish.
func (r *backendRunner) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- r.standin.Serve(r.listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(r.force, backendStopTimeout)
	defer cancel()
	if err := r.standin.Stop(stopping); err != nil {
		_ = r.standin.Kill()
		return err
	}
	return nil
}
