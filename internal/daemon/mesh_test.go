package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/agent"
	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/command"
	"github.com/kestrelstream/kestrelstream/internal/daemon"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/standin/keyvalue"
)

const storeAddress = "10.0.0.1:1"

// process is one running daemon or proxy.
type process struct {
	cancel context.CancelFunc
	force  context.CancelFunc
	done   chan error
	// listening are the addresses that die with it.
	listening []string
}

// mesh is a store with daemons and proxies, all real but for the network and,
// in a synctest bubble, the clock.
type mesh struct {
	t       *testing.T
	g       Gomega
	network *network
	store   *keyvalue.Service
	client  *http.Client
	seeds   []settings.Seed

	running map[string]*process
	daemons map[string]*daemon.Daemon
	proxies map[string]*agent.Agent
	// highest is the highest version seen in force at each proxy.
	highest map[string]uint64
}

func newMesh(t *testing.T) *mesh {
	m := &mesh{
		t: t, g: NewWithT(t), network: newNetwork(), store: keyvalue.NewService(keyvalue.Options{}),
		running: map[string]*process{}, daemons: map[string]*daemon.Daemon{},
		proxies: map[string]*agent.Agent{}, highest: map[string]uint64{},
	}
	m.client = &http.Client{Transport: &http.Transport{DialContext: m.network.dial, DisableKeepAlives: true}}
	server := &http.Server{Handler: keyvalue.NewHandler(m.store)}
	listener := m.network.listen(storeAddress)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		m.stopAll()
		m.network.cut(storeAddress)
		_ = server.Close()
		// Virtual time in which closed connections and waits end.
		time.Sleep(time.Minute)
	})
	return m
}

// addSeeds names the daemons of the mesh: count in each zone.
func (m *mesh) addSeeds(zones, count int) {
	for zone := range zones {
		for number := range count {
			m.seeds = append(m.seeds, settings.Seed{
				Name: fmt.Sprintf("daemon-%d-%d", zone, number), Zone: fmt.Sprintf("zone-%d", zone),
				Address: fmt.Sprintf("10.1.%d.%d:2", zone, number),
			})
		}
	}
}

func (m *mesh) startDaemons() {
	for _, seed := range m.seeds {
		m.startDaemon(seed)
	}
}

func (m *mesh) startDaemon(seed settings.Seed) {
	loaded := settings.DefaultDaemon()
	loaded.Node = settings.Node{Name: seed.Name, Zone: seed.Zone}
	loaded.Store.Address = storeAddress
	loaded.Seeds = m.seeds
	loaded.Identity.PlainHTTP = true
	api, admin := apiAddress(seed.Name), "admin-"+seed.Name
	listeners := &daemon.Listeners{API: m.network.listen(api), Stream: m.network.listen(seed.Address), Admin: m.network.listen(admin)}
	force, forceNow := context.WithCancel(context.Background())
	started, err := daemon.New(loaded, daemon.Options{Listeners: listeners, LogOutput: io.Discard, Force: force, Dial: m.network.dial})
	m.g.Expect(err).NotTo(HaveOccurred())
	m.daemons[seed.Name] = started
	m.run(seed.Name, started.Run, forceNow, api, seed.Address, admin)
}

func apiAddress(daemon string) string { return "api-" + daemon + ":1" }

func (m *mesh) startProxy(name, zone string) { m.startProxyBeside(name, zone, nil) }

// startProxyBeside starts a proxy, beside a back end unless that is nil.
func (m *mesh) startProxyBeside(name, zone string, beside *backend) {
	loaded := settings.DefaultProxy()
	loaded.Node = settings.ProxyNode{Node: settings.Node{Name: name, Zone: zone}, Services: []string{"caller"}}
	loaded.Seeds = m.seeds
	loaded.Identity.PlainHTTP = true
	listeners := &agent.Listeners{Outbound: m.network.listen(name + ":1"), Admin: m.network.listen("admin-" + name)}
	if beside != nil {
		loaded.Node.Services = []string{"tariffs"}
		loaded.Backend = &settings.Backend{
			Service: "tariffs", Endpoint: name, Address: beside.address, HealthPath: "/health",
			HealthInterval: settings.Duration(200 * time.Millisecond), Labels: map[string]string{"app": "tariffs"},
		}
		listeners.Inbound = m.network.listen("inbound-" + name + ":1")
	}
	force, forceNow := context.WithCancel(context.Background())
	started, err := agent.New(loaded, agent.Options{Listeners: listeners, LogOutput: io.Discard, Force: force, Dial: m.network.dial})
	m.g.Expect(err).NotTo(HaveOccurred())
	m.proxies[name] = started
	m.run(name, started.Run, forceNow, name+":1", "admin-"+name, "inbound-"+name+":1")
}

// backend answers each request after its work and counts them.
type backend struct {
	address string
	work    time.Duration
	served  atomic.Int64
	// lastArrival is the latest arrival, in Unix nanoseconds.
	lastArrival atomic.Int64
}

func (b *backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		return
	}
	b.lastArrival.Store(time.Now().UnixNano())
	time.Sleep(b.work)
	b.served.Add(1)
	_, _ = io.WriteString(writer, "whole")
}

func (m *mesh) startBackend(address string, work time.Duration) *backend {
	started := &backend{address: address, work: work}
	server := &http.Server{Handler: started}
	listener := m.network.listen(address)
	go func() { _ = server.Serve(listener) }()
	m.t.Cleanup(func() {
		m.network.cut(address)
		_ = server.Close()
	})
	return started
}

// call sends one request through a caller's proxy and returns the status, the
// outcome marker and the body.
func (m *mesh) call(proxy, method string) (status int, header http.Header, body string, err error) {
	request, err := http.NewRequest(method, "http://"+proxy+":1/session", nil)
	if err != nil {
		return 0, nil, "", err
	}
	request.Host = "tariffs.example"
	response, err := m.client.Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(content), err
}

func (m *mesh) run(name string, run func(context.Context) error, force context.CancelFunc, listening ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	started := &process{cancel: cancel, force: force, done: make(chan error, 1), listening: listening}
	m.running[name] = started
	go func() { started.done <- run(ctx) }()
}

// crash ends a process without any farewell.
func (m *mesh) crash(name string) {
	dying := m.running[name]
	for _, address := range dying.listening {
		m.network.cut(address)
	}
	dying.force()
	dying.cancel()
	<-dying.done
	m.forget(name)
}

// crashZoneOf ends every process of a daemon's zone without any farewell and
// returns their names.
func (m *mesh) crashZoneOf(daemon string) map[string]bool {
	zone := strings.Split(daemon, "-")[1]
	crashed := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(m.running)) {
		if strings.Split(name, "-")[1] == zone {
			m.crash(name)
			crashed[name] = true
		}
	}
	return crashed
}

// stop ends a process in order and returns what it said.
func (m *mesh) stop(name string) error {
	stopping := m.running[name]
	stopping.cancel()
	err := <-stopping.done
	stopping.force()
	m.forget(name)
	return err
}

func (m *mesh) forget(name string) {
	delete(m.running, name)
	delete(m.daemons, name)
	delete(m.proxies, name)
}

func (m *mesh) stopAll() {
	for name := range m.running {
		m.crash(name)
	}
}

// apply sends a change of the service's slots to a daemon's resource API.
func (m *mesh) apply(daemon string, slots int) uint64 {
	m.t.Helper()
	service := &resource.Resource{Kind: resource.KindService, Metadata: resource.Metadata{Name: "tariffs"}, Service: &resource.ServiceSpec{
		Selector: &resource.EndpointSelector{Labels: map[string]string{"app": "tariffs"}},
		Slots:    slots, Queue: 100, Connections: 100, Deadline: resource.Duration(time.Second),
		Retry: resource.RetryPolicy{Attempts: 3, BudgetPercent: 20},
	}}
	route := &resource.Resource{Kind: resource.KindRoute, Metadata: resource.Metadata{Name: "tariffs"}, Route: &resource.RouteSpec{
		Host: "tariffs.example", PathPrefix: "/", Service: "tariffs", Consumers: []string{resource.AnyConsumer},
	}}
	outcome := m.post(daemon, v1.Batch{Changes: []resource.Change{
		{Action: resource.ActionPut, Resource: service}, {Action: resource.ActionPut, Resource: route},
	}})
	m.g.ExpectWithOffset(1, outcome.Result).To(Equal(command.Accepted), outcome.Reason)
	return outcome.Version
}

// firstInForce has the first version accepted and put in force by every proxy.
func (m *mesh) firstInForce() {
	m.t.Helper()
	m.daemonWith(bound, isReader)
	m.inForce(m.apply("daemon-0-0", 1), herdBound)
}

func (m *mesh) post(daemon string, batch v1.Batch) command.Outcome {
	body, err := json.Marshal(batch)
	m.g.Expect(err).NotTo(HaveOccurred())
	response, err := m.client.Post("http://"+apiAddress(daemon)+v1.PathBatch, "application/json", bytes.NewReader(body))
	m.g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var outcome command.Outcome
	m.g.Expect(json.NewDecoder(response.Body).Decode(&outcome)).To(Succeed())
	return outcome
}

// inForce waits in virtual time until every proxy has the version in force and
// returns how long that took. No proxy may go back on the way.
func (m *mesh) inForce(version uint64, within time.Duration) time.Duration {
	m.t.Helper()
	const step = 5 * time.Millisecond
	start := time.Now()
	for !m.reached(version) {
		if time.Since(start) > within {
			m.t.Fatalf("version %d is not in force everywhere after %s: %v", version, within, m.highest)
		}
		time.Sleep(step)
	}
	return time.Since(start)
}

func (m *mesh) reached(version uint64) bool {
	everywhere := true
	for name, proxy := range m.proxies {
		held, _ := proxy.Proxy().Version()
		m.g.Expect(held).To(BeNumerically(">=", m.highest[name]), "proxy %s went back", name)
		m.highest[name] = held
		everywhere = everywhere && held >= version
	}
	return everywhere
}

// daemonWith returns a daemon whose status fits, waiting for one to.
func (m *mesh) daemonWith(within time.Duration, fits func(*daemon.Daemon) bool) string {
	m.t.Helper()
	const step = 20 * time.Millisecond
	for start := time.Now(); time.Since(start) < within; time.Sleep(step) {
		for _, name := range slices.Sorted(maps.Keys(m.daemons)) {
			if fits(m.daemons[name]) {
				return name
			}
		}
	}
	m.t.Fatal("no daemon fits")
	return ""
}

func isReader(d *daemon.Daemon) bool { return d.Host().Status().Reader }

// anyDaemon returns the first daemon by name.
func (m *mesh) anyDaemon() string { return slices.Sorted(maps.Keys(m.daemons))[0] }

// readerWithProxies returns a store reader that proxies are attached to.
func (m *mesh) readerWithProxies() string {
	m.t.Helper()
	for _, zone := range m.daemons[m.anyDaemon()].Host().Zones() {
		if running := m.daemons[zone.Relay]; running != nil && zone.Proxies > 0 && isReader(running) {
			return zone.Relay
		}
	}
	m.t.Fatal("no reader has proxies")
	return ""
}

// known waits in virtual time until every daemon knows of every proxy that the
// version is in force there. The bound runs from the latest move of a proxy to
// another parent: a return to the preferred one is planned work of the proxies'
// own, comes at a drawn time, and takes a report of both parents to be known.
func (m *mesh) known(version uint64, within time.Duration) {
	m.t.Helper()
	const (
		step = 50 * time.Millisecond
		// settled is when every proxy has returned to its preferred parent.
		settled = 2 * time.Minute
	)
	begun := time.Now()
	moved, parents := begun, m.parents()
	for ; ; time.Sleep(step) {
		unaware := m.unaware(version)
		if unaware == "" {
			return
		}
		if now := m.parents(); !maps.Equal(parents, now) {
			moved, parents = time.Now(), now
		}
		if time.Since(moved) > within || time.Since(begun) > settled {
			m.t.Fatalf("after %s, %s after the latest move: %s", time.Since(begun), time.Since(moved), unaware)
		}
	}
}

// parents returns the parent that each proxy is attached to.
func (m *mesh) parents() map[string]string {
	parents := map[string]string{}
	for name, proxy := range m.proxies {
		parents[name] = proxy.Subscription().Parent
	}
	return parents
}

// unaware describes a daemon that does not know a version to be in force
// everywhere, or returns nothing.
func (m *mesh) unaware(version uint64) string {
	for name, running := range m.daemons {
		proxies := 0
		for _, zone := range running.Host().Zones() {
			proxies += zone.Proxies
			if zone.Lowest < version {
				return fmt.Sprintf("%s has %+v", name, zone)
			}
		}
		if proxies != len(m.proxies) {
			return fmt.Sprintf("%s knows of %d proxies: %+v", name, proxies, running.Host().Zones())
		}
	}
	return ""
}

func hasChildren(d *daemon.Daemon) bool { return d.Host().Status().Sessions > 0 }

func isRelayOnly(d *daemon.Daemon) bool {
	status := d.Host().Status()
	return !status.Reader && status.Sessions > 0
}

// readers counts the daemons that believe to hold a slot.
func (m *mesh) readers() int {
	count := 0
	for _, running := range m.daemons {
		if isReader(running) {
			count++
		}
	}
	return count
}
