package simulatecommand

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/kestrelstream/kestrelstream/internal/simulation"
)

// printLine prints one run of many.
func printLine(out io.Writer, result simulation.Result) error {
	_, err := fmt.Fprintf(out, "seed %-5d digest %s  changes %-4d faults %-4d convergence p99 %.3f s max %.3f s  broken %d\n",
		result.Seed, result.TraceDigest, result.Changes, result.Faults, result.Convergence.P99, result.Convergence.Max, len(result.Broken))
	if err != nil {
		return err
	}
	for _, breach := range result.Broken {
		if _, err := fmt.Fprintf(out, "  BROKEN %s\n", breach); err != nil {
			return err
		}
	}
	return nil
}

// printResult prints one run in full.
func printResult(out io.Writer, r simulation.Result) error {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	row := func(name, format string, arguments ...any) {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, arguments...))
	}
	row("scenario", "%s, seed %d, trace digest %s, %.1f s of wall time", r.Scenario, r.Seed, r.TraceDigest, r.WallSeconds)
	row("changes", "%d accepted, %d commit conflicts, %d faults", r.Changes, r.Conflicts, r.Faults)
	row("convergence", "p50 %.4f s, p99 %.4f s, max %.4f s over %d changes", r.Convergence.P50, r.Convergence.P99, r.Convergence.Max, r.Convergence.Count)
	row("drain known", "p50 %.4f s, p99 %.4f s, max %.4f s over %d", r.Drain.P50, r.Drain.P99, r.Drain.Max, r.Drain.Count)
	row("control bytes", "%.1f B/s per node (up %.1f, down %.1f), worst second %.0f B at %s %v", r.NodeRate.Mean, r.NodeRate.Up, r.NodeRate.Down, r.NodeRate.Max, r.NodeRate.MaxNode, r.NodeRate.MaxKinds)
	row("", "%.0f B per change, %.1f B to a proxy whose view did not change", r.ChangeBytes, r.UnchangedB)
	row("store", "%.2f requests/s, worst second %d, worst of start-up %d, watches at most %d", r.StoreRate, r.StoreWorst, r.StartUpWorst, r.StoreWatches)
	row("snapshots", "%d sent, %d attaches refused, %d refutations", r.Snapshots, r.Refusals, r.Refutations)
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		if traffic := r.Kinds[kind]; traffic.Messages > 0 {
			row("  "+kind, "%d messages, %d B, %.1f B each", traffic.Messages, traffic.Bytes, float64(traffic.Bytes)/float64(traffic.Messages))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Roles)) {
		role := r.Roles[name]
		row("  role "+name, "%d nodes, %.2f messages/s, %.1f B/s each, worst second %d B %v", role.Nodes, role.MessagesPerSecond, role.BytesPerSecond, role.WorstSecond, role.WorstKinds)
	}
	for _, verdict := range r.Promises {
		if verdict.Held {
			row("held", "%s", verdict.Promise)
			continue
		}
		row("BROKEN", "%s", verdict.Breach)
	}
	return table.Flush()
}
