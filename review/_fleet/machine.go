package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// restartDelay is the platform's short delay before it starts an ended process again.
	restartDelay = 300 * time.Millisecond
	// The ports of the example settings, alike on all machines. Each machine has an address of its own.
	portInbound, portApp, portReadiness, portOutbound, portControl, portPeer, portMetrics = 8300, 8301, 8302, 8304, 8306, 7620, 9464
)

// The networks that are tried are 127.0.firstNetwork.0 up to 127.0.lastNetwork.0, without the last.
const firstNetwork, lastNetwork = 77, 97

// bounds are the bounds of a deployment, as its sheet names them.
type bounds map[string]float64

// smallBounds are those of Mesh for Municipal EV Charging Sessions.
func smallBounds() bounds {
	return bounds{
		"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000, "grace_s": 6,
		"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, wire["retry ratio"]: 0.2,
		"budget_window_s": 10, wire["budget slack"]: 62, "recovery_s": 15,
	}
}

// machine is one machine: its node, a process of the project, and the upstream beside it.
type machine struct {
	name, ip, zone, service string
	fleet                   *fleet
	up                      *upstream
	settings                string
	// storeAddress is the address of the store that the machine's settings name.
	storeAddress string

	mu sync.Mutex // guards all below
	// process is nil while none runs. held: the platform doesn't start it again.
	process *exec.Cmd
	held    bool
	// disturbed are the times of signals and ends of the process; terms those of SIGTERM.
	disturbed, terms []time.Duration
	// missed counts the questions in a row without a 200.
	missed int
}

// fleet is a small deployment.
type fleet struct {
	log     *record
	dir     string
	command []string
	bounds  bounds
	// network is the beginning of all addresses.
	network  string
	store    *metadataStore
	machines []*machine
	context  context.Context
	cancel   context.CancelFunc
	started  sync.WaitGroup
}

func newFleet(log *record, dir string, command []string, set bounds) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	created := &fleet{log: log, dir: dir, command: command, bounds: set, context: ctx, cancel: cancel}
	var err error
	// Each case has loopback addresses of its own, so that the ports are free on all machines.
	for network := firstNetwork; network < lastNetwork; network++ {
		created.network = fmt.Sprintf("127.0.%d", network)
		if created.store, err = startStore(created.network + ".1:8309"); err == nil {
			return created, nil
		}
	}
	cancel()
	return nil, err
}

// add adds a machine with an upstream of the service.
func (f *fleet) add(zone, service string, work func(*http.Request) time.Duration) *machine {
	number := len(f.machines) + 1
	created := &machine{
		name: fmt.Sprintf("sidecar-%s-%d", zone, number), ip: fmt.Sprintf("%s.%d", f.network, number+10), zone: zone, service: service, fleet: f,
		storeAddress: f.store.address,
	}
	created.up = &upstream{
		id: fmt.Sprintf("i-%02d", number), service: service, version: "v1", zone: zone, address: created.at(portApp), slots: 18, queue: 72, log: f.log, work: work,
	}
	created.settings = filepath.Join(f.dir, created.name+".json")
	f.machines = append(f.machines, created)
	return created
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// writeSettings writes the settings file. bootstrap is true only at the very first start.
func (m *machine) writeSettings(bootstrap bool) error {
	zones := map[string]string{}
	for _, other := range m.fleet.machines {
		zones[other.zone] = "setubal"
	}
	raw, err := json.Marshal(map[string]any{
		"node_name": m.name, "role": "sidecar", "machine_class": "sidecar", "serves": []string{"sidecar"}, "ip": m.ip, "zone": m.zone,
		"region": "setubal", "zones": zones,
		wire["listen"]: map[string]string{
			"inbound": m.at(portInbound), "outbound": m.at(portOutbound), "readiness": m.at(portReadiness), "control": m.at(portControl),
		},
		wire["ports"]: []int{portPeer, portPeer + 15}, "seeds": []string{}, "bootstrap": bootstrap, "in_tolerance": false,
		"limits":   map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "static", "entry": "static", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          m.fleet.bounds, wire["app"]: m.at(portApp), "service": m.service,
		"platform": map[string]any{
			"address": m.storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, raw, 0o644)
}

// start starts all upstreams and processes and waits until every node answers that it is ready.
func (f *fleet) start() error {
	for _, each := range f.machines {
		if err := each.start(true); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
		ready := 0
		for _, each := range f.machines {
			if each.ready() {
				ready++
			}
		}
		if ready == len(f.machines) {
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the nodes were not ready in time")
}

// start starts the machine's upstream and its process.
func (m *machine) start(bootstrap bool) error {
	if err := startUpstream(m.up); err != nil {
		return err
	}
	if err := m.writeSettings(bootstrap); err != nil {
		return err
	}
	if err := m.startProcess(); err != nil {
		return err
	}
	go m.sendHeartbeats()
	go m.askReadiness()
	return nil
}

// startProcess starts the command of the deploy file, and again each time the process has ended.
func (m *machine) startProcess() error {
	output, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	process := exec.Command(m.fleet.command[0], m.fleet.command[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire["settings variable"] + "=" + m.settings}
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		_ = output.Close()
		return err
	}
	m.mu.Lock()
	m.process = process
	m.mu.Unlock()
	m.fleet.log.add("%s starts, pid %d", m.name, process.Process.Pid)
	m.fleet.started.Add(1)
	go func() {
		defer m.fleet.started.Done()
		_ = process.Wait()
		_ = output.Close()
		at := m.fleet.log.add("%s has ended: %v", m.name, process.ProcessState)
		m.mu.Lock()
		m.process = nil
		m.disturbed = append(m.disturbed, at)
		m.mu.Unlock()
		time.Sleep(restartDelay)
		m.mu.Lock()
		held := m.held
		m.mu.Unlock()
		if held || m.fleet.context.Err() != nil || m.writeSettings(false) != nil {
			return
		}
		at = m.fleet.log.now()
		m.mu.Lock()
		m.disturbed = append(m.disturbed, at)
		m.mu.Unlock()
		_ = m.startProcess()
	}()
	return nil
}

// signal sends a signal to the machine's process. A SIGTERM is followed by SIGKILL after grace_s.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	if process == nil {
		return
	}
	at := m.fleet.log.add("%s gets %v", m.name, sig)
	m.mu.Lock()
	m.disturbed = append(m.disturbed, at)
	if sig == syscall.SIGTERM {
		m.terms = append(m.terms, at)
	}
	m.mu.Unlock()
	_ = process.Process.Signal(sig)
	if sig == syscall.SIGTERM {
		grace := time.Duration(m.fleet.bounds["grace_s"] * float64(time.Second))
		time.AfterFunc(grace, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.process == process {
				m.fleet.log.add("%s gets SIGKILL after grace_s", m.name)
				_ = process.Process.Kill()
			}
		})
	}
}

// inTouch reports whether the process ran without a signal or an end in the time before a moment.
func (m *machine) inTouch(at time.Duration) bool {
	contact := time.Duration(m.fleet.bounds["contact_ms"]) * time.Millisecond
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, disturbance := range m.disturbed {
		if disturbance <= at && at-disturbance < contact {
			return false
		}
	}
	return m.process != nil
}

// lastTerm returns the latest SIGTERM not after a moment.
func (m *machine) lastTerm(at time.Duration) (term time.Duration, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, each := range m.terms {
		if each <= at {
			term, found = each, true
		}
	}
	return term, found
}

func (m *machine) sendHeartbeats() {
	for m.fleet.context.Err() == nil {
		m.up.beat(m.at(portControl))
		select {
		case <-time.After(heartbeat):
		case <-m.fleet.context.Done():
		}
	}
}

// ready asks the node's readiness address once.
func (m *machine) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.at(portReadiness)+wire["readiness"], nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// askReadiness asks once a second, as the platform does.
func (m *machine) askReadiness() {
	for m.fleet.context.Err() == nil {
		ready := m.ready()
		m.mu.Lock()
		if ready {
			m.missed = 0
		} else {
			m.missed++
		}
		m.mu.Unlock()
		select {
		case <-time.After(time.Second):
		case <-m.fleet.context.Done():
		}
	}
}

// in reports whether the platform gives new work to the clients on the machine: unless two questions in a row went
// without a 200, or fewer than half of the zone's nodes are in.
func (m *machine) in() bool {
	if !m.out() {
		return true
	}
	in, all := 0, 0
	for _, other := range m.fleet.machines {
		if other.zone != m.zone {
			continue
		}
		all++
		if !other.out() {
			in++
		}
	}
	return 2*in < all
}

func (m *machine) out() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.missed >= 2
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	f.cancel()
	for _, each := range f.machines {
		each.mu.Lock()
		each.held = true
		if each.process != nil {
			_ = each.process.Process.Signal(syscall.SIGCONT)
			_ = each.process.Process.Kill()
		}
		each.mu.Unlock()
	}
	f.started.Wait()
	for _, each := range f.machines {
		if each.up.server != nil {
			each.up.close()
		}
	}
	f.store.close()
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMS, targetMS         int
	priority, attempts          int
}

const host = "jepu9.example"

// configure writes a configuration as the operator does.
func (f *fleet) configure(version int, routes []route) {
	resources := []any{map[string]any{
		wire["kind"]: "limits", "metadata": map[string]any{},
		"spec": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}}
	services := map[string]bool{}
	for _, each := range f.machines {
		services[each.service] = true
	}
	for service := range services {
		resources = append(resources, map[string]any{
			wire["kind"]: "services", "metadata": map[string]any{"name": service},
			"spec": map[string]any{"health_path": "/healthz", "max_connections": 130, "protocol": "h1", "tls": false},
		})
	}
	for _, each := range routes {
		resources = append(resources, map[string]any{
			wire["kind"]: "routes", "metadata": map[string]any{"name": each.name},
			"spec": map[string]any{
				"host": host, wire["prefix"]: each.prefix, wire["type"]: each.kind, "timeout_ms": each.timeoutMS,
				wire["target latency"]: each.targetMS, "priority": each.priority, "service": each.service, wire["attempts"]: each.attempts,
			},
		})
	}
	raw, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources})
	f.store.put(wire["configuration"], raw)
	f.log.add("configuration %08x acknowledged", version)
}

// splitCommand splits the run line of the deploy file.
func splitCommand(line string) []string { return strings.Fields(line) }
