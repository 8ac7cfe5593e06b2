package chaos

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/kestrelstream/kestrelstream/internal/load"
)

// Summary is the account of a run under faults.
type Summary struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	// Intended is how many calls were to be sent.
	Intended          int            `json:"intended_calls"`
	ElapsedSeconds    float64        `json:"elapsed_seconds"`
	Events            map[string]int `json:"events"`
	Changes           int            `json:"changes_in_force"`
	Convergence       load.Latency   `json:"convergence"`
	DrainLastWork     load.Latency   `json:"drain_last_work"`
	Latency           load.Latency   `json:"latency"`
	GeneratorLateness load.Latency   `json:"generator_lateness"`
	Account           *load.Account  `json:"account"`
	// Reverted counts proxies seen at an older version than before.
	Reverted int `json:"reverted"`
	// LateChanges took longer than promised to be in force though neither the
	// store nor every daemon was away.
	LateChanges int `json:"late_changes"`
	// LateDrains saw new work later than promised.
	LateDrains int `json:"late_drains"`
	// Failures are events that could not be carried through, such as a stop
	// that cut something.
	Failures []string `json:"failures,omitempty"`
	// Kept says that no promise to callers was broken.
	Kept bool `json:"kept"`
}

// observe takes in what the monitor and the journal saw.
func (r *Summary) observe(watched monitorResult, seen *journal) {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	r.Events, r.Failures = seen.events, append(seen.failures, watched.findings...)
	r.Changes, r.LateChanges, r.LateDrains = seen.changes, seen.lateChanges, seen.lateDrains
	r.Convergence, r.DrainLastWork = seen.convergence.Summary(), seen.drainLastWork.Summary()
	r.Reverted = watched.reverted
}

// stopped takes in what the end of the run had to cut.
func (r *Summary) stopped(err error) {
	if err != nil {
		r.Failures = append(r.Failures, "stop: "+err.Error())
	}
}

// judge decides whether every promise was kept. A run whose calls were mostly
// not answered proves nothing and is not kept.
func (r *Summary) judge() {
	answered := r.Account.Outcomes[load.Answered.String()]
	complete := r.Account.Calls == r.Intended && 2*answered > r.Intended
	r.Kept = complete && r.Account.Broken() == 0 && r.Account.Unverified == 0 && r.Reverted == 0 &&
		r.LateDrains == 0 && r.LateChanges == 0 && len(r.Failures) == 0
}

// Print writes the account for a reader.
func (r *Summary) Print(output io.Writer) error {
	verdict := "every promise was kept"
	if !r.Kept {
		verdict = "A PROMISE WAS BROKEN"
	}
	_, err := fmt.Fprintf(output, "\n%d calls of %d in %.1f s, seed %d, deployment %s\n",
		r.Account.Calls, r.Intended, r.ElapsedSeconds, r.Seed, r.Deployment)
	if err != nil {
		return err
	}
	for _, kind := range slices.Sorted(maps.Keys(r.Events)) {
		if _, err := fmt.Fprintf(output, "  %-22s %d\n", kind, r.Events[kind]); err != nil {
			return err
		}
	}
	if err := r.Account.Print(output, true); err != nil {
		return err
	}
	for _, failure := range r.Failures {
		if _, err := fmt.Fprintln(output, "  "+failure); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(output, `reverted %d, late changes %d of %d (max %.0f ms), late drains %d (max %.0f ms)
latency p50 %.2f ms, p99 %.2f ms; generator late p99 %.2f ms
%s
`, r.Reverted, r.LateChanges, r.Changes, r.Convergence.MaxMS, r.LateDrains, r.DrainLastWork.MaxMS,
		r.Latency.P50MS, r.Latency.P99MS, r.GeneratorLateness.P99MS, verdict)
	return err
}
