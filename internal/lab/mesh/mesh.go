package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/kestrelstream/kestrelstream/internal/identity"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/standin/backend"
	"github.com/kestrelstream/kestrelstream/internal/standin/keyvalue"
)

// Options describe a mesh.
type Options struct {
	Deployment Deployment
	// Resources are applied at the launch; the deployment's examples when nil.
	Resources []*resource.Resource
	// ControlPerZone is the number of control daemons of each zone.
	ControlPerZone int
	// Behaviour of every back end at its start.
	Behaviour backend.Behaviour
	// TuneBehaviour, when set, changes it for one upstream.
	TuneBehaviour func(Upstream, *backend.Behaviour)
	// ColdStart of every back end.
	ColdStart time.Duration
	// LedgerCapacity is how many requests the shared ledger holds.
	LedgerCapacity int
	// Log takes the logs of every node.
	Log io.Writer
	// MutualTLS has every node prove who it is; without it the nodes speak
	// plain HTTP.
	MutualTLS bool
	// TuneDaemon and TuneProxy, when set, change the settings of the nodes.
	TuneDaemon func(*settings.Daemon)
	TuneProxy  func(*settings.Proxy)
}

const (
	defaultControlPerZone = 2
	defaultLedgerCapacity = 1 << 18
	healthInterval        = 100 * time.Millisecond
)

// Mesh is a running mesh.
type Mesh struct {
	options Options
	ledger  *backend.Ledger
	// trust is nil without mutual TLS; operators is the operators' client.
	trust     *trust
	operators *http.Client

	Store   *StoreNode
	Control []*ControlNode
	// Upstreams and Entrances are in the order of the deployment.
	Upstreams []*UpstreamNode
	Entrances []*ProxyNode
}

// New prepares a mesh; nothing runs yet.
func New(options Options) (*Mesh, error) {
	if options.ControlPerZone == 0 {
		options.ControlPerZone = defaultControlPerZone
	}
	if options.LedgerCapacity == 0 {
		options.LedgerCapacity = defaultLedgerCapacity
	}
	if options.Log == nil {
		options.Log = io.Discard
	}
	mesh := &Mesh{options: options, ledger: backend.NewLedger(options.LedgerCapacity)}
	if err := mesh.prepare(newPortAllocator()); err != nil {
		return mesh, errors.Join(err, mesh.trust.remove())
	}
	return mesh, nil
}

// Ledger returns the record of every request at every back end.
func (m *Mesh) Ledger() *backend.Ledger { return m.ledger }

// Deployment returns what the mesh was made for.
func (m *Mesh) Deployment() Deployment { return m.options.Deployment }

func (m *Mesh) prepare(ports *portAllocator) error {
	var err error
	if m.options.MutualTLS {
		if m.trust, err = newTrust(); err != nil {
			return err
		}
	}
	if m.operators, err = m.trust.operators(); err != nil {
		return err
	}
	storeAddress, err := ports.address()
	if err != nil {
		return err
	}
	m.Store = newStoreNode(storeAddress, keyvalue.NewService(keyvalue.Options{}))
	if err := m.prepareControl(ports); err != nil {
		return err
	}
	if err := m.prepareUpstreams(ports); err != nil {
		return err
	}
	return m.prepareEntrances(ports)
}

func (m *Mesh) prepareControl(ports *portAllocator) error {
	for _, zone := range m.options.Deployment.Zones {
		for index := range m.options.ControlPerZone {
			addresses, err := ports.addresses(3)
			if err != nil {
				return err
			}
			name := fmt.Sprintf("control-%s-%d", zone, index+1)
			loaded := settings.DefaultDaemon()
			loaded.Node = settings.Node{Name: name, Zone: zone}
			loaded.Listen = settings.DaemonListen{API: addresses[0], Stream: addresses[1], Admin: addresses[2]}
			loaded.Store.Address = m.Store.address
			subject := identity.Identity{Role: identity.RoleControl, Zone: zone, Machine: name}
			if loaded.Identity, err = m.trust.issue(loaded.Identity, subject); err != nil {
				return err
			}
			loaded.Distribution.BatchWindow = settings.Duration(m.options.Deployment.BatchWindow)
			m.Control = append(m.Control, newControlNode(loaded, m.options))
		}
	}
	seeds := m.seeds()
	for _, control := range m.Control {
		control.settings.Seeds = seeds
		if m.options.TuneDaemon != nil {
			m.options.TuneDaemon(&control.settings)
		}
	}
	return nil
}

func (m *Mesh) seeds() []settings.Seed {
	var seeds []settings.Seed
	for _, control := range m.Control {
		loaded := control.settings
		seeds = append(seeds, settings.Seed{Name: loaded.Node.Name, Zone: loaded.Node.Zone, Address: loaded.Listen.Stream})
	}
	return seeds
}

func (m *Mesh) prepareUpstreams(ports *portAllocator) error {
	for _, upstream := range m.options.Deployment.Upstreams {
		addresses, err := ports.addresses(4)
		if err != nil {
			return err
		}
		loaded, err := m.proxySettings(upstream.Name, upstream.Zone, []string{upstream.Service})
		if err != nil {
			return err
		}
		loaded.Listen = settings.ProxyListen{Outbound: addresses[0], Inbound: addresses[1], Admin: addresses[2]}
		loaded.Backend = &settings.Backend{
			Service: upstream.Service, Endpoint: upstream.Name, Address: addresses[3],
			HealthPath: backend.PathHealth, HealthInterval: settings.Duration(healthInterval),
			Labels: map[string]string{"service": upstream.Service},
		}
		m.Upstreams = append(m.Upstreams, m.newUpstreamNode(upstream, loaded))
	}
	return nil
}

func (m *Mesh) prepareEntrances(ports *portAllocator) error {
	for _, entrance := range m.options.Deployment.Entrances {
		addresses, err := ports.addresses(2)
		if err != nil {
			return err
		}
		loaded, err := m.proxySettings(entrance.Name, entrance.Zone, entrance.Services)
		if err != nil {
			return err
		}
		loaded.Listen = settings.ProxyListen{Outbound: addresses[0], Admin: addresses[1]}
		m.Entrances = append(m.Entrances, newProxyNode(loaded, m.options))
	}
	return nil
}

func (m *Mesh) proxySettings(name, zone string, services []string) (settings.Proxy, error) {
	loaded := settings.DefaultProxy()
	loaded.Node = settings.ProxyNode{Node: settings.Node{Name: name, Zone: zone}, Services: services}
	subject := identity.Identity{Role: identity.RoleProxy, Zone: zone, Machine: name, Services: services}
	secured, err := m.trust.issue(loaded.Identity, subject)
	if err != nil {
		return loaded, err
	}
	loaded.Identity = secured
	loaded.Seeds = m.seeds()
	if m.options.TuneProxy != nil {
		m.options.TuneProxy(&loaded)
	}
	return loaded, nil
}

// Start starts every node.
func (m *Mesh) Start() error {
	if err := m.Store.Start(); err != nil {
		return err
	}
	for _, control := range m.Control {
		if err := control.Start(); err != nil {
			return err
		}
	}
	for _, upstream := range m.Upstreams {
		if err := errors.Join(upstream.Backend.Start(), upstream.Proxy.Start()); err != nil {
			return err
		}
	}
	for _, entrance := range m.Entrances {
		if err := entrance.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends every node as planned, callers' proxies first and the store last,
// and returns what they had to cut.
func (m *Mesh) Stop() error {
	var stopping errgroup.Group
	for _, entrance := range m.Entrances {
		stopping.Go(entrance.Stop)
	}
	failures := []error{stopping.Wait()}
	stopping = errgroup.Group{}
	for _, upstream := range m.Upstreams {
		stopping.Go(upstream.Stop)
	}
	failures = append(failures, stopping.Wait())
	stopping = errgroup.Group{}
	for _, control := range m.Control {
		stopping.Go(control.Stop)
	}
	return errors.Join(append(failures, stopping.Wait(), m.Store.Stop(), m.trust.remove())...)
}

// Proxies returns every proxy that runs.
func (m *Mesh) Proxies() []*ProxyNode {
	var running []*ProxyNode
	for _, upstream := range m.Upstreams {
		if upstream.Proxy.Running() {
			running = append(running, upstream.Proxy)
		}
	}
	for _, entrance := range m.Entrances {
		if entrance.Running() {
			running = append(running, entrance)
		}
	}
	return running
}

// pollInterval is how often WaitInForce looks at the proxies.
const pollInterval = time.Millisecond

// WaitInForce returns once every running proxy enforces the version, and how
// long that took.
func (m *Mesh) WaitInForce(ctx context.Context, version uint64) (time.Duration, error) {
	start := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		behind := m.behind(version)
		if behind == "" {
			return time.Since(start), nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return 0, trace.LimitExceeded("version %d is not in force at %s after %v", version, behind, time.Since(start))
		}
	}
}

// behind names a running proxy that does not enforce the version yet.
func (m *Mesh) behind(version uint64) string {
	for _, proxy := range m.Proxies() {
		if applied := proxy.Version(); applied < version {
			return fmt.Sprintf("%s (at %d)", proxy.Name(), applied)
		}
	}
	return ""
}

// ControlBytes returns the configuration traffic all control daemons sent and
// received so far, in bytes on their connections, requests to the store and
// operators' requests left out.
func (m *Mesh) ControlBytes() uint64 {
	var sum uint64
	for _, control := range m.Control {
		sum += control.controlBytes()
	}
	return sum
}
