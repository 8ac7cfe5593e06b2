package scale

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution/controlhost"

	"github.com/kestrelstream/kestrelstream/internal/lab/slope"
)

func (s *split) processResults(first, second, third splitReading) []ProcessResult {
	idle, changing := second.at.Sub(first.at).Seconds(), third.at.Sub(second.at).Seconds()
	var results []ProcessResult
	for _, name := range s.plan.processes() {
		a, b, c := first.processes[name], second.processes[name], third.processes[name]
		results = append(results, ProcessResult{
			Name: name, Role: s.roleOf(name, third.relays), Children: third.relays[name].Sessions,
			PeakMemory: c.peak, Memory: c.resident,
			IdleCPU: (b.processor - a.processor).Seconds() / idle, CPU: (c.processor - b.processor).Seconds() / changing,
			IdleBytes: float64(second.traffic[name]-first.traffic[name]) / idle,
			Bytes:     float64(third.traffic[name]-second.traffic[name]) / changing,
		})
	}
	return results
}

func (s *split) roleOf(name string, daemons map[string]controlhost.Status) string {
	status, isDaemon := daemons[name]
	switch {
	case name == "store":
		return roleStore
	case isDaemon && status.Reader:
		return roleReader
	case isDaemon && status.Sessions > 0:
		return roleRelay
	case isDaemon:
		return roleDaemon
	case strings.HasPrefix(name, "hollow-part-"):
		return roleHollow
	default:
		return roleProxy
	}
}

func peaks(processes []ProcessResult) Memory {
	var peak Memory
	for _, process := range processes {
		switch process.Role {
		case roleReader:
			peak.Reader = max(peak.Reader, process.PeakMemory)
		case roleRelay:
			peak.Relay = max(peak.Relay, process.PeakMemory)
		case roleProxy:
			peak.Proxy = max(peak.Proxy, process.PeakMemory)
		}
	}
	return peak
}

// memberRate returns the control bytes of a hollow proxy a second.
func memberRate(first, last splitReading) Rate {
	before, after := map[string]uint64{}, map[string]uint64{}
	for _, member := range first.members {
		before[member.Name] = bytesOf(member.Totals)
	}
	for _, member := range last.members {
		after[member.Name] = bytesOf(member.Totals)
	}
	return rate(differences(before, after), last.at.Sub(first.at).Seconds(), func(string) bool { return true })
}

// convergenceOf returns, for each change, the time from the accepted reply
// until the last proxy enforced it. All processes share one machine's clock.
func convergenceOf(changes []change, members []HollowStatus) []time.Duration {
	took := make([]time.Duration, len(changes))
	for _, member := range members {
		next := 0
		for _, applied := range member.Applied {
			for next < len(changes) && changes[next].version <= applied.Version {
				took[next] = max(took[next], applied.At.Sub(changes[next].acceptedAt))
				next++
			}
		}
	}
	return took
}

// processFits draws lines through the daemons' figures over their children.
func processFits(processes []ProcessResult) []slope.Fit {
	var children, memory, idleCPU, cpu, idleBytes []float64
	for _, process := range processes {
		if process.Role == roleRelay || process.Role == roleDaemon {
			children = append(children, float64(process.Children))
			memory = append(memory, float64(process.PeakMemory))
			idleCPU = append(idleCPU, process.IdleCPU*1e6)
			cpu = append(cpu, process.CPU*1e6)
			idleBytes = append(idleBytes, process.IdleBytes)
		}
	}
	if len(children) < slope.MinimumSizes {
		return nil
	}
	return []slope.Fit{
		slope.Draw("daemon: peak resident bytes", "child", children, memory),
		slope.Draw("daemon: idle processor microseconds a second", "child", children, idleCPU),
		slope.Draw("daemon: changing processor microseconds a second", "child", children, cpu),
		slope.Draw("daemon: idle bytes a second", "child", children, idleBytes),
	}
}

func (r *SplitResult) print(output io.Writer) error {
	lines := []string{
		fmt.Sprintf("%d hollow and %d real proxies, %d daemons in processes of their own", r.Topology.Proxies, r.Topology.RealProxies, r.Topology.Zones*r.Topology.DaemonsPerZone),
		fmt.Sprintf("%d cores, load average %.1f at the start, %.1f at the end", r.Machine.Cores, r.Machine.LoadAverageStart, r.Machine.LoadAverageEnd),
		spreadLine("convergence, everywhere", r.Convergence),
		spreadLine("commit", r.Commit),
		fmt.Sprintf("bytes a proxy and second  mean %.0f, max %.0f", r.NodeBytes.Mean, r.NodeBytes.Max),
		fmt.Sprintf("%-8s %5s %9s %9s %10s %10s %10s %10s %10s", "role", "count", "children", "peak MiB", "worst MiB", "idle CPU", "worst", "CPU", "idle B/s"),
	}
	for _, role := range []string{roleStore, roleReader, roleRelay, roleDaemon, roleProxy, roleHollow} {
		lines = append(lines, roleLine(role, r.Processes)...)
	}
	if _, err := fmt.Fprintln(output, strings.Join(lines, "\n")); err != nil {
		return err
	}
	return slope.Print(output, processFits(r.Processes))
}

func roleLine(role string, processes []ProcessResult) []string {
	var count, children, peak, worstPeak, idle, worstIdle, cpu, bytes float64
	for _, process := range processes {
		if process.Role != role {
			continue
		}
		count++
		children += float64(process.Children)
		peak += mebibytes(process.PeakMemory)
		worstPeak = max(worstPeak, mebibytes(process.PeakMemory))
		idle += process.IdleCPU
		worstIdle = max(worstIdle, process.IdleCPU)
		cpu += process.CPU
		bytes += process.IdleBytes
	}
	if count == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%-8s %5.0f %9.1f %9.1f %10.1f %10.4f %10.4f %10.4f %10.0f",
		role, count, children/count, peak/count, worstPeak, idle/count, worstIdle, cpu/count, bytes/count)}
}
