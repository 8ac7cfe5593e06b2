package stream

import (
	"slices"
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// pendingReport combines the reports that wait for a parent. It holds the
// newest of each endpoint and of each summary, so it does not grow while the
// parent is slow, however many reports are put.
type pendingReport struct {
	// available receives when there is something to take.
	available chan struct{}

	// mutex guards report, which is nil while nothing waits.
	mutex  sync.Mutex
	report *distribution.Report
}

func newPendingReport() *pendingReport {
	return &pendingReport{available: make(chan struct{}, 1)}
}

// put adds a report that is later than those put before. It never blocks.
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

// take returns what waits; nil when an earlier take had it already.
func (w *pendingReport) take() *distribution.Report {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	taken := w.report
	w.report = nil
	return taken
}

// combine returns one report that says what both say.
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

// combineZones keeps the later summary of each relay of a zone.
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
