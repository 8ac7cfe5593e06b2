package api

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/command"
)

// dryRunResult stands in place of a result where nothing was to be written.
const dryRunResult = "dry-run"

// Metrics are the measures of the resource API. They are a
// prometheus.Collector; the caller registers them.
type Metrics struct {
	changes  *prometheus.CounterVec
	duration prometheus.Histogram
	watches  prometheus.Gauge
	refusals *prometheus.CounterVec
}

// Reasons for which a request is refused before it is looked at.
const (
	refusedWatches  = "watches"
	refusedBytes    = "change-bytes"
	refusedStopping = "stopping"
)

// NewMetrics returns measures that start at zero.
func NewMetrics() *Metrics {
	metrics := &Metrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_api_changes_total",
			Help: "Batches by result.",
		}, []string{"result"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "kestrel_api_change_duration_seconds",
			Help:    "Time from reading a batch to its outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
		watches: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kestrel_api_watches",
			Help: "Watches that run.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_api_refusals_total",
			Help: "Requests refused for want of capacity, by what was wanting.",
		}, []string{"reason"}),
	}
	for _, result := range []command.Result{command.Accepted, command.Rejected, command.Conflict, command.Unknown, dryRunResult} {
		metrics.changes.WithLabelValues(string(result))
	}
	return metrics
}

func (m *Metrics) decided(outcome v1.Outcome, took time.Duration) {
	result := string(outcome.Result)
	if outcome.DryRun {
		result = dryRunResult
	}
	m.changes.WithLabelValues(result).Inc()
	m.duration.Observe(took.Seconds())
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(m, descriptions)
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(collected chan<- prometheus.Metric) {
	for _, collector := range []prometheus.Collector{m.changes, m.duration, m.watches, m.refusals} {
		collector.Collect(collected)
	}
}
