package proxy_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/proxy"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// network is an in-memory network: addresses are names, connections are pipes.
type network struct {
	mutex     sync.Mutex // guards all below
	listeners map[string]*listener
	// dials counts the connections opened to each name.
	dials map[string]int
	// wrap, when set, replaces the server's side of each new connection.
	wrap map[string]func(net.Conn) net.Conn
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, dials: map[string]int{}, wrap: map[string]func(net.Conn) net.Conn{}}
}

// listener is a name on the network.
type listener struct {
	network *network
	name    string
	pending chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (n *network) listen(name string) *listener {
	created := &listener{network: n, name: name, pending: make(chan net.Conn), closed: make(chan struct{})}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners[name] = created
	return created
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.pending:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return name(l.name) }

type name string

func (n name) Network() string { return "memory" }
func (n name) String() string  { return string(n) }

var errRefused = &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	target, wrap := n.listeners[address], n.wrap[address]
	n.dials[address]++
	n.mutex.Unlock()
	if target == nil {
		return nil, errRefused
	}
	client, server := net.Pipe()
	if wrap != nil {
		server = wrap(server)
	}
	select {
	case target.pending <- server:
		return client, nil
	case <-target.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve runs an HTTP server under that name until stop.
func (n *network) serve(name string, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler}
	done := make(chan struct{})
	listening := n.listen(name)
	go func() {
		defer close(done)
		if err := server.Serve(listening); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return func() {
		_ = server.Close()
		<-done
	}
}

// mesh is a caller's proxy and some back ends with their proxies.
type mesh struct {
	network  *network
	caller   *proxy.Proxy
	client   *http.Client
	backends []*backend
	stops    []func()
	version  uint64
	view     projection.Snapshot
}

// backend is a back end, its handler replaceable, and the proxy beside it.
type backend struct {
	name    string
	proxy   *proxy.Proxy
	mutex   sync.Mutex // guards all below
	handler http.HandlerFunc
	// runs counts how often each call was run, by its Test-Call header.
	runs map[string]int
	stop func()
	// stopInbound ends the listener of the proxy beside the back end.
	stopInbound func()
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mutex.Lock()
	b.runs[r.Header.Get("Test-Call")]++
	handler := b.handler
	b.mutex.Unlock()
	handler(w, r)
}

func (b *backend) handle(handler http.HandlerFunc) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.handler = handler
}

func (b *backend) ran(call string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.runs[call]
}

const (
	serviceName = "session-control"
	hostName    = "sessions.example"
	zoneName    = "north"
)

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }

// newMesh returns a running mesh of that many back ends.
func newMesh(backends int, adjust func(*projection.Snapshot)) *mesh {
	created := &mesh{network: newNetwork()}
	created.view = projection.Snapshot{
		Services: map[string]*projection.Service{serviceName: {
			Slots: 4, Connections: 8, Queue: 2,
			Deadline:     resource.Duration(2 * time.Second),
			Retry:        resource.RetryPolicy{Attempts: 3, BudgetPercent: 100},
			ShedMarker:   &resource.ShedMarker{Status: 503, Header: "Shed"},
			AllowedZones: []string{zoneName},
		}},
		Routes: map[string]*resource.RouteSpec{"sessions": {
			Host: hostName, PathPrefix: "/", Service: serviceName, Secret: "token", Consumers: []string{"*"},
		}},
		Secrets: map[string]*resource.SecretSpec{"token": {Header: "Authorization", Value: "Bearer secret"}},
	}
	for index := range backends {
		created.addBackend(string(rune('a' + index)))
	}
	if adjust != nil {
		adjust(&created.view)
	}
	created.caller = proxy.New(proxy.Options{Node: distribution.Node{Name: "caller", Zone: zoneName}, Dial: created.network.dial})
	created.stops = append(created.stops, created.network.serve("outbound:80", created.caller.Outbound()))
	created.apply()
	transport := &http.Transport{DialContext: created.network.dial, DisableCompression: true}
	created.client = &http.Client{Transport: transport}
	created.stops = append(created.stops, transport.CloseIdleConnections)
	return created
}

func (m *mesh) addBackend(name string) {
	added := &backend{name: name, handler: answerOK, runs: map[string]int{}}
	inboundAddress, address := name+"-inbound:80", name+":80"
	added.proxy = proxy.New(proxy.Options{
		Node: distribution.Node{Name: name, Zone: zoneName, Incarnation: 1},
		Dial: m.network.dial,
		Backend: &proxy.Backend{
			Service: serviceName, Endpoint: name, Address: address, InboundAddress: inboundAddress, HealthPath: "/health",
		},
	})
	added.stop = m.network.serve(address, added)
	added.stopInbound = m.network.serve(inboundAddress, added.proxy.Inbound())
	m.stops = append(m.stops, added.stop, added.stopInbound)
	m.backends = append(m.backends, added)
	declared := resource.Endpoint{Name: name, Address: inboundAddress, Zone: zoneName}
	view := m.view.Services[serviceName]
	view.Endpoints = append(view.Endpoints, declared)
}

// apply puts the mesh's view in force at the next version everywhere.
func (m *mesh) apply() {
	m.version++
	snapshot := m.view.WithVersion(m.version)
	snapshot.Digest = snapshot.ComputeDigest()
	for _, target := range m.proxies() {
		if err := target.Apply(snapshot); err != nil {
			panic(err)
		}
	}
}

func (m *mesh) proxies() []*proxy.Proxy {
	all := []*proxy.Proxy{m.caller}
	for _, served := range m.backends {
		all = append(all, served.proxy)
	}
	return all
}

// close ends every connection and server.
func (m *mesh) close() {
	for _, target := range m.proxies() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = target.Drain(ctx)
	}
	for _, stop := range m.stops {
		stop()
	}
}

// request builds a call of that id through the caller's proxy.
func (m *mesh) request(method, call string) *http.Request {
	request, err := http.NewRequest(method, "http://outbound/start", nil)
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set("Test-Call", call)
	return request
}
