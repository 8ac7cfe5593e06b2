package scale

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Spread sums up durations in seconds.
type Spread struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func spreadOf(samples []time.Duration) Spread {
	if len(samples) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(samples))
	at := func(share float64) float64 { return sorted[int(share*float64(len(sorted)-1)+0.5)].Seconds() }
	return Spread{P50: at(0.50), P99: at(0.99), Max: at(1)}
}

// Memory holds bytes per process of each role.
type Memory struct {
	Proxy  uint64 `json:"proxy,omitempty"`
	Relay  uint64 `json:"relay,omitempty"`
	Reader uint64 `json:"reader,omitempty"`
}

// Machine is what the figures were measured on.
type Machine struct {
	Cores int `json:"cores"`
	// LoadAverage is that of the last minute at the start and at the end.
	LoadAverageStart float64 `json:"load_average_start"`
	LoadAverageEnd   float64 `json:"load_average_end"`
}

func loadAverage() float64 {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(content), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

func newMachine() Machine {
	return Machine{Cores: runtime.NumCPU(), LoadAverageStart: loadAverage()}
}

// Result is what `kestrel-lab scale` prints.
type Result struct {
	Topology topology `json:"topology"`
	Seed     uint64   `json:"seed"`
	Machine  Machine  `json:"machine"`
	Changes  int      `json:"changes"`
	// StartSeconds is how long the whole system took to come up, herd of all.
	StartSeconds float64 `json:"start_seconds"`
	// Convergence is, over the changes, the time from the accepted reply until
	// every proxy enforced the change.
	Convergence Spread `json:"convergence_seconds"`
	// ProxyConvergence is the same over all pairs of a change and a proxy.
	ProxyConvergence Spread `json:"proxy_convergence_seconds"`
	// Commit is the time from an operator's request to its reply.
	Commit Spread `json:"commit_seconds"`
	// NodeBytes are the control bytes, sent and received, of a node that has
	// no role, over the windows without and with changes together.
	NodeBytes Rate `json:"control_bytes_per_node_second"`
	// BytesPerChange are the bytes on all control connections that one change
	// adds to those of an idle system.
	BytesPerChange float64 `json:"control_bytes_per_change"`
	// NodeCPU is the processor time of everything, the store and the
	// measurement included, per node and second, as a part of one core.
	NodeCPU float64 `json:"control_cpu_fraction_per_node"`
	// PeakMemory of a process of each role; only a run split over processes
	// can tell them apart.
	PeakMemory *Memory `json:"peak_memory_bytes,omitempty"`
	// ProcessPeakMemory is that of this one process, everything included.
	ProcessPeakMemory uint64 `json:"process_peak_memory_bytes"`
	// HollowMemory is the live memory that one hollow proxy adds, its session
	// at the relay included.
	HollowMemory uint64 `json:"hollow_proxy_memory_bytes"`

	Idle      Window       `json:"idle"`
	Changing  Window       `json:"changing"`
	Storm     *StormReport `json:"reconnect_storm,omitempty"`
	StormTime float64      `json:"reconnect_storm_seconds"`
	// ReadersLost is the same for the loss of all store readers at once.
	ReadersLost *StormReport `json:"readers_lost,omitempty"`
	Herd        *HerdReport  `json:"herd_restart,omitempty"`
	Prediction  *Prediction  `json:"simulator,omitempty"`
}

// print writes the report as text.
func (r *Result) print(output io.Writer) error {
	t := r.Topology
	lines := []string{
		fmt.Sprintf("%d hollow and %d real proxies, %d zones, %d regions, %d daemons, %d services; seed %d",
			t.Proxies, t.RealProxies, t.Zones, t.Regions, t.Zones*t.DaemonsPerZone, t.Services, r.Seed),
		fmt.Sprintf("%d cores, load average %.1f at the start, %.1f at the end", r.Machine.Cores, r.Machine.LoadAverageStart, r.Machine.LoadAverageEnd),
		fmt.Sprintf("start                     %.2f s", r.StartSeconds),
		spreadLine("convergence, everywhere", r.Convergence),
		spreadLine("convergence, one proxy", r.ProxyConvergence),
		spreadLine("commit", r.Commit),
		fmt.Sprintf("bytes a node and second   mean %.0f, max %.0f", r.NodeBytes.Mean, r.NodeBytes.Max),
		fmt.Sprintf("  idle: proxy %.0f, relay %.0f, reader %.0f, other daemon %.0f", r.Idle.Proxy.Mean, r.Idle.Relay.Mean, r.Idle.Reader.Mean, r.Idle.Daemon.Mean),
		fmt.Sprintf("bytes a change            %.0f", r.BytesPerChange),
		fmt.Sprintf("store                     %.1f requests a second idle, %.1f with changes, %d watches",
			float64(r.Idle.StoreRequests)/r.Idle.Seconds, float64(r.Changing.StoreRequests)/r.Changing.Seconds, r.Changing.StoreWatches),
		fmt.Sprintf("processor a node          %.5f of a core (idle %.5f)", r.NodeCPU, r.Idle.CPUSeconds/r.Idle.Seconds/float64(t.Proxies)),
		fmt.Sprintf("memory                    %.1f MiB peak of the process, %.1f KiB a hollow proxy", mebibytes(r.ProcessPeakMemory), float64(r.HollowMemory)/1024),
	}
	lines = append(lines, r.Storm.lines("half of the relays killed")...)
	lines = append(lines, r.ReadersLost.lines("all readers killed")...)
	if herd := r.Herd; herd != nil {
		lines = append(lines, fmt.Sprintf("herd restart of %s        %d proxies, %d daemons, in force after %.2f s; elsewhere %d moved, a change took %.3f s",
			herd.Zone, herd.Proxies, herd.Daemons, herd.InForceSeconds, herd.OthersMoved, herd.OthersConvergenceSeconds))
	}
	lines = append(lines, r.Prediction.lines()...)
	_, err := fmt.Fprintln(output, strings.Join(lines, "\n"))
	return err
}

func (s *StormReport) lines(name string) []string {
	if s == nil {
		return nil
	}
	return []string{fmt.Sprintf("%-25s %d daemons, %d proxies cut off, attached after %.2f s, a change in force after %.2f s",
		name, s.Killed, s.Orphans, s.AttachedSeconds, s.InForceSeconds)}
}

func spreadLine(name string, spread Spread) string {
	return fmt.Sprintf("%-25s p50 %.4f s, p99 %.4f s, max %.4f s", name, spread.P50, spread.P99, spread.Max)
}

func mebibytes(bytes uint64) float64 { return float64(bytes) / (1 << 20) }
