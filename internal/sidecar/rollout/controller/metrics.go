package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
)

// metrics are the metrics of rollouts. The service label is limited to services of the
// configuration that had an order, the version label to versions that were on trial beside this
// node.
type metrics struct {
	phase   *prometheus.GaugeVec
	answers *prometheus.CounterVec
	waits   prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		phase: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kestrel_sidecar_rollout_phase",
			Help: "Phase of a service's move: 0 trial, 1 promoting, 2 condemned, 3 completed, 4 rolled back.",
		}, []string{"service"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_sidecar_rollout_answers_total", Help: "Answers of the back end beside this node while its version was judged.",
		}, []string{"version", "result"}),
		waits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kestrel_sidecar_rollout_waits_total", Help: "Results of moves that were due while this node might not know all versions in use.",
		}),
	}
	registry.MustRegister(m.phase, m.answers, m.waits)
	return m
}

func (m *metrics) observe(version string, answer rollout.Answer) {
	result := "good"
	switch {
	case answer.Failed:
		result = "failed"
	case answer.Slow:
		result = "slow"
	}
	m.answers.WithLabelValues(version, result).Inc()
}
