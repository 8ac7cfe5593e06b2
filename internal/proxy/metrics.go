package proxy

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// answeredLabel is the outcome label of calls that the back end answered.
const answeredLabel = "answered"

// callBuckets are the histogram buckets of call durations, in seconds.
var callBuckets = []float64{.0005, .001, .002, .004, .008, .016, .032, .064, .128, .256, .512, 1, 2, 4, 8, 16}

// metrics records the calls, retries and ejections of the data path. It
// implements outbound.Observer.
type metrics struct {
	registerer prometheus.Registerer
	calls      *prometheus.CounterVec
	durations  *prometheus.HistogramVec
	retries    *prometheus.CounterVec
	ejections  *prometheus.CounterVec
	requests   *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		registerer: registerer,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_proxy_calls_total",
			Help: "Calls of callers by service, status class and outcome.",
		}, []string{"service", "status", "outcome"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "kestrel_proxy_call_duration_seconds",
			Help:    "Time from a call's arrival to the end of its answer.",
			Buckets: callBuckets,
		}, []string{"service"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_proxy_retries_total",
			Help: "Repeated attempts by service.",
		}, []string{"service"}),
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_proxy_ejections_total",
			Help: "Ejections of endpoints by this proxy.",
		}, []string{"service", "endpoint"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_proxy_inbound_requests_total",
			Help: "Requests for the back end by status class and outcome.",
		}, []string{"status", "outcome"}),
	}
	if registerer != nil {
		registerer.MustRegister(created.calls, created.durations, created.retries, created.ejections, created.requests)
	}
	return created
}

// registerGauges registers the gauges that read their values from the proxy.
func (m *metrics) registerGauges(proxy *Proxy) {
	if m.registerer == nil {
		return
	}
	m.registerGauge("kestrel_proxy_outbound_in_flight", "Calls of callers in flight.", func() int {
		inFlight, _ := proxy.InFlight()
		return inFlight
	})
	m.registerGauge("kestrel_proxy_applied_version", "Configuration version in force.", func() int {
		version, _ := proxy.Version()
		return int(version)
	})
	if proxy.inbound == nil {
		return
	}
	m.registerGauge("kestrel_proxy_inbound_in_flight", "Requests for the back end in flight.", func() int {
		_, inFlight := proxy.InFlight()
		return inFlight
	})
	m.registerGauge("kestrel_proxy_backend_slots_taken", "Slots of the back end taken.", proxy.inbound.InFlight)
	m.registerGauge("kestrel_proxy_backend_queue", "Requests waiting for a slot of the back end.", proxy.inbound.Waiting)
	m.registerGauge("kestrel_proxy_backend_connections", "Connections to the back end.", proxy.inbound.Connections)
}

func (m *metrics) registerGauge(name, help string, read func() int) {
	m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
		func() float64 { return float64(read()) }))
}

// CallEnded implements outbound.Observer.
func (m *metrics) CallEnded(service string, status int, callOutcome outcome.Outcome, elapsed time.Duration) {
	m.calls.WithLabelValues(service, statusClass(status), outcomeLabel(callOutcome)).Inc()
	m.durations.WithLabelValues(service).Observe(elapsed.Seconds())
}

// Retried implements outbound.Observer.
func (m *metrics) Retried(service string) { m.retries.WithLabelValues(service).Inc() }

// Ejected implements outbound.Observer.
func (m *metrics) Ejected(id endpoint.ID) { m.ejections.WithLabelValues(id.Service, id.Name).Inc() }

func outcomeLabel(callOutcome outcome.Outcome) string {
	if callOutcome == "" {
		return answeredLabel
	}
	return string(callOutcome)
}

// statusClass returns the class of an HTTP status, such as "2xx", or "none" if
// no status was sent.
func statusClass(status int) string {
	if status == 0 {
		return "none"
	}
	return strconv.Itoa(status/100) + "xx"
}

// inboundObserver forwards the events of the inbound side to the metrics and the
// announcer. It implements inbound.Observer.
type inboundObserver struct {
	metrics   *metrics
	announcer *announcer
}

// RequestEnded implements inbound.Observer.
func (o *inboundObserver) RequestEnded(status int, callOutcome outcome.Outcome, _ time.Duration) {
	o.metrics.requests.WithLabelValues(statusClass(status), outcomeLabel(callOutcome)).Inc()
}

// BackendAnswered implements inbound.Observer.
func (o *inboundObserver) BackendAnswered() { o.announcer.recordAnswer() }

// BackendUnreachable implements inbound.Observer.
func (o *inboundObserver) BackendUnreachable() { o.announcer.recordUnreachable() }
