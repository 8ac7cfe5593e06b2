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

// network is an in-memory network in which addresses are names and connections
// are pipes.
type network struct {
	mutex     sync.Mutex // guards the fields below
	listeners map[string]*listener
	// dials counts the dial attempts per address.
	dials map[string]int
	// wrapServer, when set, replaces the server side of each new connection
	// to an address.
	wrapServer map[string]func(net.Conn) net.Conn
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, dials: map[string]int{}, wrapServer: map[string]func(net.Conn) net.Conn{}}
}

// listener is a net.Listener for one address of the network.
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
	target, wrapServer := n.listeners[address], n.wrapServer[address]
	n.dials[address]++
	n.mutex.Unlock()
	if target == nil {
		return nil, errRefused
	}
	client, server := net.Pipe()
	if wrapServer != nil {
		server = wrapServer(server)
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

// serve runs an HTTP server at the given address until stop is called.
func (n *network) serve(name string, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler}
	done := make(chan struct{})
	listener := n.listen(name)
	go func() {
		defer close(done)
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return func() {
		_ = server.Close()
		<-done
	}
}

// mesh consists of a caller's proxy and a number of back ends with their proxies.
type mesh struct {
	network  *network
	caller   *proxy.Proxy
	client   *http.Client
	backends []*backend
	stops    []func()
	version  uint64
	config   projection.Snapshot
}

// backend is a back end with a replaceable handler, and its proxy.
type backend struct {
	name    string
	proxy   *proxy.Proxy
	mutex   sync.Mutex // guards handler and runs
	handler http.HandlerFunc
	// runs counts how often each call was run, keyed by its Test-Call header.
	runs map[string]int
	stop func()
	// stopInbound stops the inbound listener of the back end's proxy.
	stopInbound func()
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mutex.Lock()
	b.runs[r.Header.Get("Test-Call")]++
	handler := b.handler
	b.mutex.Unlock()
	handler(w, r)
}

func (b *backend) setHandler(handler http.HandlerFunc) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.handler = handler
}

func (b *backend) runCount(call string) int {
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

// newMesh starts a mesh with the given number of back ends.
func newMesh(backends int, adjust func(*projection.Snapshot)) *mesh {
	created := &mesh{network: newNetwork()}
	created.config = projection.Snapshot{
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
		adjust(&created.config)
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
	endpoint := resource.Endpoint{Name: name, Address: inboundAddress, Zone: zoneName}
	config := m.config.Services[serviceName]
	config.Endpoints = append(config.Endpoints, endpoint)
}

// apply applies the configuration to all proxies under the next version number.
func (m *mesh) apply() {
	m.version++
	snapshot := m.config.WithVersion(m.version)
	snapshot.Digest = snapshot.ComputeDigest()
	for _, target := range m.proxies() {
		if err := target.Apply(snapshot); err != nil {
			panic(err)
		}
	}
}

func (m *mesh) proxies() []*proxy.Proxy {
	all := []*proxy.Proxy{m.caller}
	for _, backend := range m.backends {
		all = append(all, backend.proxy)
	}
	return all
}

// close closes every connection and stops every server.
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

// request builds a request to the caller's proxy, with call in its Test-Call
// header.
func (m *mesh) request(method, call string) *http.Request {
	request, err := http.NewRequest(method, "http://outbound/start", nil)
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set("Test-Call", call)
	return request
}
