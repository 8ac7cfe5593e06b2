package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is one machine with a node, started with the command of the deploy file.
type machine struct {
	name, zone, service, ip, settings string
	document                          map[string]any
	process                           *exec.Cmd
	ended                             chan struct{}
}

const (
	portInbound, portApp, portReady, portOutbound, portControl, portPeer = 8300, 8301, 8302, 8304, 8306, 7620
)

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// freeNetwork returns the first two numbers of loopback addresses that nobody listens at.
func freeNetwork() string {
	for attempt := range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+attempt)%200, 1+os.Getpid()%250)
		free := true
		for last := 1; last <= 12 && free; last++ {
			for _, port := range []int{portInbound, portApp, portReady, portOutbound, portControl, portPeer, 9464} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, last, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return network
		}
	}
	cannotRun("no free loopback addresses")
	return ""
}

func (b *bed) newMachine(name, zone, service, storeAddress string, bounds map[string]any) *machine {
	b.machines++
	m := &machine{name: name, zone: zone, service: service, ip: fmt.Sprintf("%s.%d", b.network, b.machines)}
	m.settings = filepath.Join(b.folder, name+".json")
	m.document = map[string]any{
		"node_name": name, "role": "sidecar", "machine_class": "sidecar", "serves": []string{"sidecar"}, "ip": m.ip,
		"zone": zone, "region": "khomas", "zones": map[string]string{"hall-a": "khomas", "hall-b": "khomas", "hall-c": "khomas"},
		wire["listen"]: map[string]string{
			"inbound": m.address(portInbound), "outbound": m.address(portOutbound), "readiness": m.address(portReady), "control": m.address(portControl),
		},
		wire["ports"]: []int{portPeer, portPeer + 15}, "seeds": []string{}, "bootstrap": true, "in_tolerance": false,
		"limits":   map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "static", "entry": "static", "heartbeat_ms": 1500,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          bounds, wire["app"]: m.address(portApp), "service": service,
		"platform": map[string]any{"address": storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	m.write()
	return m
}

// bounds are those of the site.
func bounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000, "grace_s": 6,
		"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, wire["retry ratio"]: 0.2,
		"budget_window_s": 10, wire["retry slack"]: 62, "recovery_s": 15,
	}
}

// write writes the settings file as a whole.
func (m *machine) write() {
	raw, err := json.MarshalIndent(m.document, "", "  ")
	if err == nil {
		err = os.WriteFile(m.settings+".new", raw, 0o600)
	}
	if err == nil {
		err = os.Rename(m.settings+".new", m.settings)
	}
	if err != nil {
		cannotRun("settings: %v", err)
	}
}

// start starts the node's process.
func (b *bed) start(m *machine) {
	words := strings.Fields(b.run)
	m.process = exec.Command(words[0], words[1:]...)
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.folder, wire["settings variable"] + "=" + m.settings}
	log, err := os.OpenFile(filepath.Join(b.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		cannotRun("node: %v", err)
	}
	b.track(m.process)
	ended := make(chan struct{})
	m.ended = ended
	process := m.process
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
}

func (m *machine) signal(signal syscall.Signal) { _ = m.process.Process.Signal(signal) }

// awaitReady waits until the node answers that it is ready.
func (m *machine) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(portReady)+wire["readiness"], nil)
		response, err := http.DefaultClient.Do(request)
		cancel()
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}
