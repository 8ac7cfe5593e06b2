package egress

import (
	"net/http"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// plan returns how a service's requests are split between versions, nil when they are not.
func (h *Handler) plan(service string) *rollout.Plan {
	if h.options.Plan == nil {
		return nil
	}
	return h.options.Plan(service)
}

// hasAvailable reports whether one of the selected back ends accepts work and answers probes.
func (h *Handler) hasAvailable(service string, selection rollout.Selection, allowed regions) bool {
	for _, record := range h.subset(h.options.View(), service, selection, allowed).records {
		if record.AcceptsWork() && !h.targets.forRecord(record).silent.Load() {
			return true
		}
	}
	return false
}

// isCanary reports whether the record's back end runs a version that is being compared with those
// in use.
func (h *Handler) isCanary(service string, record *roster.Record) bool {
	plan := h.plan(service)
	return plan != nil && plan.ComparesVersions() && record.Endpoint.Version == plan.Version
}

// baselineStats returns the statistics that are sent with a request to a canary; nil for all other
// back ends.
func (h *Handler) baselineStats(service, route string, record *roster.Record) *rollout.BaselineRates {
	if !h.isCanary(service, record) {
		return nil
	}
	stats := h.baseline(service).BaselineRates(route, clock.Now())
	return &stats
}

// baseline returns the statistics of a service's versions in use.
func (h *Handler) baseline(service string) *rollout.Baseline {
	if value, found := h.baselines.Load(service); found {
		return value.(*rollout.Baseline)
	}
	value, _ := h.baselines.LoadOrStore(service, &rollout.Baseline{})
	return value.(*rollout.Baseline)
}

// observeBaseline records the result of an attempt at a version in use while a canary is compared
// with it. Refusals and calls that the caller cancelled are not counted.
func (a *attempt) observeBaseline(now time.Time) {
	plan := a.call.handler.plan(a.service)
	if plan == nil || !plan.ComparesVersions() || a.canary || a.call.context.Err() != nil {
		return
	}
	failed := a.response != nil && a.response.StatusCode >= http.StatusInternalServerError
	if a.failure != nil {
		if a.failure.Outcome != outcome.Unknown {
			return
		}
		failed = true
	}
	slow := a.worked > rollout.SlowFactor*a.call.work().Mean(a.call.assumedWork())
	a.call.handler.baseline(a.service).Observe(a.call.route.Name, failed, slow, now)
}

// Load returns the utilization of the slots of a service's back ends, except those of one version,
// from the load that their nodes last reported; above one where requests wait, and one where
// nothing is known.
func (h *Handler) Load(service, excludedVersion string) float64 {
	now := clock.Now()
	origin := location{zone: h.options.Zone, regions: h.options.Regions}
	busy, slots := 0.0, 0
	for _, record := range h.subset(h.options.View(), service, rollout.Without(excludedVersion), regions{}).records {
		peer := h.targets.forRecord(record)
		if !record.AcceptsWork() || peer.reportAge(now) < 0 {
			continue
		}
		seen := peer.candidate(record, origin, 0, now)
		busy += seen.Outstanding
		slots += seen.Slots
	}
	if slots == 0 {
		return 1
	}
	return busy / float64(slots)
}
