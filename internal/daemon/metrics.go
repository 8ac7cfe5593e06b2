package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/kestrelstream/kestrelstream/internal/distribution/controlhost"
)

// statusMetrics shows the state of the daemon's place in the tree. One look at
// the host serves all of them.
type statusMetrics struct {
	host     *controlhost.Host
	version  *prometheus.Desc
	children *prometheus.Desc
	reader   *prometheus.Desc
	detached *prometheus.Desc
}

func newStatusMetrics(host *controlhost.Host) *statusMetrics {
	describe := func(name, help string) *prometheus.Desc { return prometheus.NewDesc(name, help, nil, nil) }
	return &statusMetrics{
		host:     host,
		version:  describe("kestrel_control_version", "Newest configuration version this daemon holds."),
		children: describe("kestrel_control_children", "Proxies and daemons attached to this daemon."),
		reader:   describe("kestrel_control_reader", "1 while this daemon believes to hold a store reader slot."),
		detached: describe("kestrel_control_detached", "1 while this daemon has no path to a store reader."),
	}
}

// Describe implements prometheus.Collector.
func (m *statusMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{m.version, m.children, m.reader, m.detached} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (m *statusMetrics) Collect(collected chan<- prometheus.Metric) {
	status := m.host.Status()
	gauge := func(description *prometheus.Desc, value float64) {
		collected <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value)
	}
	gauge(m.version, float64(status.Version))
	gauge(m.children, float64(status.Sessions))
	gauge(m.reader, oneIf(status.Reader))
	gauge(m.detached, oneIf(status.Source.Detached))
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
