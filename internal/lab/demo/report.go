package demo

import (
	"fmt"
	"io"

	"github.com/kestrelstream/kestrelstream/internal/load"
)

// Bounds that the demo holds the mesh to, in milliseconds.
const (
	convergenceBound = 3000
	drainBound       = 2000
)

// Change is one accepted change of configuration.
type Change struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// ConvergenceMS is the time from sending the change until every proxy
	// enforced the version.
	ConvergenceMS float64 `json:"convergence_ms"`
	// ControlBytes is the configuration traffic of all proxies and daemons
	// from the change until it was in force.
	ControlBytes uint64 `json:"control_bytes"`
}

// Summary is the account of the demo.
type Summary struct {
	Deployment string `json:"deployment"`
	Zones      int    `json:"zones"`
	Daemons    int    `json:"control_daemons"`
	Proxies    int    `json:"proxies"`
	Backends   int    `json:"backends"`
	// StartMS is the time from the first accepted change until proxies that
	// had held nothing enforced it and answered every kind of call.
	StartMS float64  `json:"start_ms"`
	Changes []Change `json:"changes"`
	// ConvergenceMaxMS is the longest convergence of the changes.
	ConvergenceMaxMS float64 `json:"convergence_max_ms"`
	// ControlBytes is all configuration traffic of the demo.
	ControlBytes uint64 `json:"control_bytes"`
	// Misplaced calls were served in a zone that the placement in force
	// before they were sent does not allow.
	Misplaced int `json:"misplaced"`
	// DrainLastWorkMS is how long after the start of the drain the back end
	// received its last new work.
	DrainLastWorkMS float64       `json:"drain_last_work_ms"`
	Latency         load.Latency  `json:"latency"`
	Account         *load.Account `json:"account"`
	ElapsedSeconds  float64       `json:"elapsed_seconds"`
	// Kept says that no promise was broken.
	Kept bool `json:"kept"`
}

// judge decides whether every promise was kept; untimed leaves out those whose
// bound is a time.
func (r *Summary) judge(untimed bool) {
	for _, change := range r.Changes {
		r.ConvergenceMaxMS = max(r.ConvergenceMaxMS, change.ConvergenceMS)
	}
	r.Kept = r.Account.Broken() == 0 && r.Account.Unverified == 0 && r.Misplaced == 0 &&
		r.Account.Outcomes[load.Answered.String()] > 0 && (untimed || r.inTime())
}

func (r *Summary) inTime() bool {
	return r.ConvergenceMaxMS <= convergenceBound && r.DrainLastWorkMS <= drainBound
}

// Print writes the account for a reader.
func (r *Summary) Print(output io.Writer) error {
	verdict := "every promise was kept"
	if !r.Kept {
		verdict = "A PROMISE WAS BROKEN"
	}
	_, err := fmt.Fprintf(output, `
start             %.0f ms from the first change until every call was answered
convergence       at most %.1f ms over %d changes
control bytes     %d
drain             last new work %.0f ms after its start
misplaced         %d
calls made        %d, latency p50 %.2f ms, p99 %.2f ms
`, r.StartMS, r.ConvergenceMaxMS, len(r.Changes), r.ControlBytes, r.DrainLastWorkMS, r.Misplaced,
		r.Account.Calls, r.Latency.P50MS, r.Latency.P99MS)
	if err != nil {
		return err
	}
	if err := r.Account.Print(output, true); err != nil {
		return err
	}
	_, err = fmt.Fprintf(output, "%s (%.1f s)\n", verdict, r.ElapsedSeconds)
	return err
}
