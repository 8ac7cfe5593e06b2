package telemetry

import (
	"cmp"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	dto "github.com/prometheus/client_model/go"

	"github.com/kestrelstream/kestrelstream/internal/build"
)

// NewRegistry returns a registry that already holds the metrics of the
// runtime, the process and the build.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newBuildMetric(build.Read()),
	)
	return registry
}

func newBuildMetric(info build.Info) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "kestrel_build_info",
		Help: "Always 1; the labels tell the build.",
		ConstLabels: prometheus.Labels{
			"version": info.Version, "revision": info.Revision, "go_version": info.GoVersion,
		},
	}, func() float64 { return 1 })
}

// ownPrefix begins the names of the project's own metrics.
const ownPrefix = "kestrel_"

// ownFirst returns the gatherer with another order: the project's own metrics before those of the
// runtime and the process, histograms after the others. Who keeps only the beginning of a page
// has the state of the node in it.
func ownFirst(gatherer prometheus.Gatherer) prometheus.Gatherer {
	return prometheus.GathererFunc(func() ([]*dto.MetricFamily, error) {
		families, err := gatherer.Gather()
		slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int { return cmp.Compare(pageOrder(a), pageOrder(b)) })
		return families, err
	})
}

// pageOrder returns the part of the page in which a family stands.
func pageOrder(family *dto.MetricFamily) int {
	switch {
	case !strings.HasPrefix(family.GetName(), ownPrefix):
		return 2
	case family.GetType() == dto.MetricType_HISTOGRAM:
		return 1
	}
	return 0
}
