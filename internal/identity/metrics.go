package identity

import "github.com/prometheus/client_golang/prometheus"

// metrics describes credentials; it is one collector since roots come and go.
type metrics struct {
	credentials    *Credentials
	reloads        prometheus.Counter
	reloadFailures prometheus.Counter
	refusals       prometheus.Counter
	expiry         *prometheus.Desc
	rootExpiry     *prometheus.Desc
	plain          *prometheus.Desc
}

func newMetrics(credentials *Credentials) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	return &metrics{
		credentials:    credentials,
		reloads:        counter("kestrel_identity_reloads_total", "Credentials taken over from changed files."),
		reloadFailures: counter("kestrel_identity_reload_failures_total", "Reloads that failed; the former credentials stayed in force."),
		refusals:       counter("kestrel_identity_refused_peers_total", "Peers refused for their certificate."),
		expiry: prometheus.NewDesc("kestrel_identity_certificate_expiry_timestamp_seconds",
			"When this process's certificate expires, in Unix seconds.", nil, nil),
		rootExpiry: prometheus.NewDesc("kestrel_identity_root_expiry_timestamp_seconds",
			"When a root that is believed expires, in Unix seconds.", []string{"root", "serial"}, nil),
		plain: prometheus.NewDesc("kestrel_identity_plain_http",
			"1 when mutual TLS is switched off.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(descriptions chan<- *prometheus.Desc) {
	m.reloads.Describe(descriptions)
	m.reloadFailures.Describe(descriptions)
	m.refusals.Describe(descriptions)
	descriptions <- m.expiry
	descriptions <- m.rootExpiry
	descriptions <- m.plain
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(collected chan<- prometheus.Metric) {
	m.reloads.Collect(collected)
	m.reloadFailures.Collect(collected)
	m.refusals.Collect(collected)
	held := m.credentials.material.Load()
	if held == nil {
		collected <- prometheus.MustNewConstMetric(m.plain, prometheus.GaugeValue, 1)
		return
	}
	collected <- prometheus.MustNewConstMetric(m.plain, prometheus.GaugeValue, 0)
	collected <- prometheus.MustNewConstMetric(m.expiry, prometheus.GaugeValue, float64(held.notAfter.Unix()))
	seen := map[string]bool{}
	for _, root := range held.roots {
		serial := root.SerialNumber.Text(16)
		if seen[serial] {
			continue
		}
		seen[serial] = true
		collected <- prometheus.MustNewConstMetric(m.rootExpiry, prometheus.GaugeValue,
			float64(root.NotAfter.Unix()), root.Subject.CommonName, serial)
	}
}
