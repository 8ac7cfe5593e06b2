package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/kestrelstream/kestrelstream/platform/standin"
)

const (
	// host is the host of every route.
	host = "mesh.example"
	// heartbeatInterval is the interval of heartbeats, as in the settings of a small deployment.
	heartbeatInterval = 1500 * time.Millisecond
	// program and metricsPort are those of deploy/system.toml.
	program     = "target/kestrel-sidecar"
	metricsPort = "9464"
)

// run is one run of a case.
type run struct {
	trouble bool
	started time.Time
	// prefix is the loopback network of the run, as in "127.7.9.".
	prefix string
	folder string
	store  *standin.Store
	// storeAddress is the address of the store.
	storeAddress string
	nodes        []*node
	lastID       atomic.Int64

	mu     sync.Mutex // guards record
	record *os.File
}

// newRun opens the record and starts the store.
func newRun(record string, trouble bool) (*run, error) {
	created := &run{trouble: trouble, started: time.Now()}
	var err error
	if created.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if created.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if err := created.choosePrefix(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", created.prefix+"2:8309")
	if err != nil {
		return nil, err
	}
	created.store = standin.NewStore()
	created.storeAddress = created.store.NewEndpointAt(listener).Address()
	created.note("trouble: %v", trouble)
	return created, nil
}

// choosePrefix chooses a loopback network that no other run uses.
func (r *run) choosePrefix() error {
	const attempts = 50
	for range attempts {
		r.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.N(250), 1+rand.N(250))
		listener, err := net.Listen("tcp", r.prefix+"2:8309")
		if err == nil {
			return listener.Close()
		}
	}
	return fmt.Errorf("no free loopback network")
}

// note writes a line to the record.
func (r *run) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// nextID returns a new request id.
func (r *run) nextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+r.lastID.Add(1)) }

// close ends everything that the run started.
func (r *run) close() {
	for _, started := range r.nodes {
		started.kill()
		if started.upstream != nil {
			started.upstream.stop()
		}
	}
	r.store.Close()
	_ = os.RemoveAll(r.folder)
	_ = r.record.Close()
}

// route is one route of the configuration.
type route struct {
	path, kind, service string
	timeout             time.Duration
}

// configure writes a configuration to the store.
func (r *run) configure(version int, services []string, routes []route) error {
	type resource struct {
		Kind     string            `json:"resource_kind"`
		Metadata map[string]string `json:"metadata"`
		Spec     map[string]any    `json:"spec"`
	}
	var resources []resource
	for i, each := range routes {
		resources = append(resources, resource{"routes", map[string]string{"name": fmt.Sprint("r-", i)}, map[string]any{
			"host": host, "path_prefix": each.path, "route_type": each.kind, "service": each.service,
			"timeout_ms": each.timeout.Milliseconds(), "target_latency_ms": 400, "priority": 1, "retry_attempts": 2,
		}})
	}
	for _, service := range services {
		resources = append(resources, resource{"services", map[string]string{"name": service}, map[string]any{
			"health_path": "/healthz", "max_connections": 120, "protocol": "h1", "tls": false,
		}})
	}
	resources = append(resources, resource{"limits", map[string]string{}, map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}})
	raw, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources})
	if err != nil {
		return err
	}
	r.store.Put("op/config", raw)
	return nil
}

// node is a machine: a sidecar process and an upstream.
type node struct {
	run      *run
	name, ip string
	zone     string
	service  string
	upstream *upstream
	process  *exec.Cmd
}

// addNode adds a machine in a zone at an address of its own; its process is not started yet.
func (r *run) addNode(zone, service string) *node {
	return r.addNodeAt(fmt.Sprint(r.prefix, 11+len(r.nodes)), zone, service)
}

// addNodeAt adds a machine at an address.
func (r *run) addNodeAt(ip, zone, service string) *node {
	created := &node{run: r, name: fmt.Sprintf("sidecar-%s-%d", zone, len(r.nodes)+1), ip: ip, zone: zone, service: service}
	r.nodes = append(r.nodes, created)
	return created
}

func (n *node) inbound() string   { return n.ip + ":8300" }
func (n *node) backend() string   { return n.ip + ":8301" }
func (n *node) readiness() string { return n.ip + ":8302" }
func (n *node) outbound() string  { return n.ip + ":8304" }
func (n *node) control() string   { return n.ip + ":8306" }

// settings writes the settings file, as DEPLOY.md shows it for a small deployment.
func (n *node) settings(bootstrap bool) (string, error) {
	raw, err := json.MarshalIndent(map[string]any{
		"node_name": n.name, "role": "sidecar", "machine_class": "sidecar", "serves": []string{"sidecar"},
		"ip": n.ip, "zone": n.zone, "region": "lagos",
		"zones": map[string]string{"apapa": "lagos", "ikeja": "lagos", "lekki": "lagos"},
		"listen_addrs": map[string]string{
			"inbound": n.inbound(), "outbound": n.outbound(), "readiness": n.readiness(), "control": n.control(),
		},
		"port_range": []int{7620, 7635}, "seeds": []string{}, "bootstrap": bootstrap, "in_tolerance": false,
		"limits":   map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 244, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "static", "entry": "static", "heartbeat_ms": heartbeatInterval.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 60, "recovery_s": 15,
		},
		"app_addr": n.backend(), "service": n.service,
		"platform": map[string]any{
			"address": n.run.storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(n.run.folder, n.name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start(bootstrap bool) error {
	path, err := n.settings(bootstrap)
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(n.run.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	process := exec.Command(program, "--metrics-port", metricsPort)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KESTRELSTREAM_SETTINGS=" + path}
	process.Stdout, process.Stderr = output, output
	// The process ends with this one, however that ends.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	n.process = process
	n.run.note("process of %s starts", n.name)
	return nil
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
	n.process = nil
}

// startAll starts all processes and waits until each is ready.
func (r *run) startAll(bootstrap bool) error {
	for _, each := range r.nodes {
		if err := each.start(bootstrap); err != nil {
			return err
		}
	}
	const limit = 20 * time.Second
	for until := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, each := range r.nodes {
			if each.ready() {
				ready++
			}
		}
		if ready == len(r.nodes) {
			r.note("all processes are ready")
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d processes are ready after %s", ready, len(r.nodes), limit)
		}
	}
}

// ready asks the readiness address.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.readiness() + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// heartbeat sends one heartbeat of an upstream to the control address of its machine.
func (n *node) heartbeat(ctx context.Context, id string, slots int, sequence int64) error {
	return n.heartbeatTo(ctx, n.control(), id, slots, sequence)
}

// heartbeatTo sends one heartbeat to an address.
func (n *node) heartbeatTo(ctx context.Context, address, id string, slots int, sequence int64) error {
	raw, err := json.Marshal(map[string]any{
		"address": n.backend(),
		"info":    map[string]any{"service": n.service, "version": "v1", "zone": n.zone, "slots": slots},
		"status":  map[string]any{"state": "ready", "seq": sequence, "warmup_left_ms": 0},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/api/instances/"+id, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("heartbeat: status %d", response.StatusCode)
	}
	return nil
}
