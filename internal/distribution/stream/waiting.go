package stream

import (
	"slices"
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// pendingReport combines the reports that wait to be sent to a parent. It keeps
// only the newest update of each endpoint and the newest status of each zone and
// relay, so it does not grow with the number of reports while the parent is slow.
type pendingReport struct {
	// available receives a value when there is a report to take.
	available chan struct{}

	// mutex guards report, which is nil while no report is pending.
	mutex  sync.Mutex
	report *distribution.Report
}

func newPendingReport() *pendingReport {
	return &pendingReport{available: make(chan struct{}, 1)}
}

// put adds a report, which must be later than those added before. It never
// blocks.
func (w *pendingReport) put(report distribution.Report) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.report != nil {
		report = combine(*w.report, report)
	}
	w.report = &report
	select {
	case w.available <- struct{}{}:
	default:
	}
}

// take returns the pending report and clears it. It returns nil when an earlier
// call has already taken it.
func (w *pendingReport) take() *distribution.Report {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	taken := w.report
	w.report = nil
	return taken
}

// combine merges two reports. The result has the newest update of each endpoint
// and the newest status of each zone and relay; all other fields are those of the
// later report.
func combine(earlier, later distribution.Report) distribution.Report {
	combined := later
	newest := endpoint.NewTable()
	for _, update := range slices.Concat(earlier.Endpoints, later.Endpoints) {
		newest.Merge(update)
	}
	if newest.Len() > 0 {
		combined.Endpoints = newest.All()
	}
	combined.Zones = combineZones(earlier.Zones, later.Zones)
	return combined
}

// combineZones merges zone statuses and keeps the later one of each zone and
// relay.
func combineZones(earlier, later []distribution.ZoneStatus) []distribution.ZoneStatus {
	combined := slices.Clone(earlier)
	for _, status := range later {
		index := slices.IndexFunc(combined, func(existing distribution.ZoneStatus) bool {
			return existing.Zone == status.Zone && existing.Relay == status.Relay
		})
		if index < 0 {
			combined = append(combined, status)
			continue
		}
		combined[index] = status
	}
	return combined
}
