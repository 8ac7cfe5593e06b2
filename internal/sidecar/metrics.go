package sidecar

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// metrics counts what the node decides. Label sets are bounded: outcomes, steps
// and statuses are few, services are those of the configuration.
type metrics struct {
	calls    *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	routes   boundedLabels
	hop      prometheus.Histogram
	sends    *prometheus.CounterVec
	arrivals *prometheus.CounterVec
	queued   prometheus.Histogram
	worked   prometheus.Histogram
	silent   prometheus.Counter
	overtook prometheus.Counter
	// ended counts unplanned ends of the back end's process, running the requests that
	// were at work then.
	ended, running prometheus.Counter
	// backendSent counts the requests that went to the back end, unreadable what it asked for that
	// cannot be read.
	backendSent, unreadable prometheus.Counter
	// diverted counts requests that were not sent to a back end whose limit had no room for them.
	diverted *prometheus.CounterVec
	// behind is how long the node was behind a version that it had heard of, asked counts
	// its questions for configurations.
	behind prometheus.Histogram
	asked  *prometheus.CounterVec
	// levelTold counts what other nodes said when they were asked for their version, proofAges
	// are the ages of their proofs.
	levelTold *prometheus.CounterVec
	proofAges prometheus.Histogram
}

// latencyBuckets are in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4}

// labelledRoutes is how many routes have a label of their own. Those that are
// called first do; deployments have many routes that nobody calls.
const labelledRoutes = 64

// boundedLabels gives the first names labels of their own. It is safe for
// concurrent use.
type boundedLabels struct {
	most int

	mu    sync.RWMutex // guards known
	known map[string]struct{}
}

// label returns the name or, beyond the bound, a common one.
func (b *boundedLabels) label(name string) string {
	b.mu.RLock()
	_, found := b.known[name]
	full := len(b.known) >= b.most
	b.mu.RUnlock()
	switch {
	case found:
		return name
	case full:
		return "other"
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known == nil {
		b.known = map[string]struct{}{}
	}
	b.known[name] = struct{}{}
	return name
}

func newMetrics(registry prometheus.Registerer) *metrics {
	created := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_sidecar_calls_total", Help: "Calls of this machine's callers by status, outcome and step.",
		}, []string{"status", "outcome", "step"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kestrel_sidecar_call_seconds", Help: "Time from a call to the end of its answer, by route.", Buckets: latencyBuckets,
		}, []string{"route"}),
		routes: boundedLabels{most: labelledRoutes},
		hop: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kestrel_sidecar_hop_seconds", Help: "Time that served calls spent outside of the back end.", Buckets: latencyBuckets,
		}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_sidecar_sends_total", Help: "Requests sent to nodes, by service and whether an earlier node was tried.",
		}, []string{"service", "repeat"}),
		arrivals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_sidecar_arrivals_total", Help: "Requests of nodes for the local back end by outcome and step.",
		}, []string{"outcome", "step"}),
		queued: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kestrel_sidecar_queue_seconds", Help: "Time that requests waited for a slot.", Buckets: latencyBuckets,
		}),
		worked: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kestrel_sidecar_backend_seconds", Help: "Time that the back end held requests.", Buckets: latencyBuckets,
		}),
	}
	created.silent = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_silent_probes_total", Help: "Probes that a node did not answer.",
	})
	created.overtook = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_pipelined_total", Help: "Requests begun before the answers to earlier ones on their connection.",
	})
	created.ended = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_backend_ends_total", Help: "Unplanned ends of the back end's process under requests.",
	})
	created.running = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_backend_ends_running_total", Help: "Requests at work when the back end's process ended.",
	})
	created.backendSent = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_backend_sends_total", Help: "Requests sent to the local back end.",
	})
	created.diverted = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kestrel_sidecar_limit_diverted_total", Help: "Requests not sent to a back end whose own limit had no room in time, by service and whether they went to another one.",
	}, []string{"service", "elsewhere"})
	created.unreadable = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_backend_notices_unreadable_total", Help: "Answers of the local back end with a limit or a leave that cannot be read.",
	})
	created.behind = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "kestrel_sidecar_configuration_behind_seconds", Help: "Time from the first word of a newer configuration until it was in force.", Buckets: latencyBuckets,
	})
	created.asked = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kestrel_sidecar_configuration_questions_total", Help: "Questions for a newer configuration by whom was asked and result.",
	}, []string{"asked", "result"})
	created.levelTold = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kestrel_sidecar_level_answers_total", Help: "Answers of other nodes that were asked for their version, by result.",
	}, []string{"result"})
	created.proofAges = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "kestrel_sidecar_level_proof_seconds", Help: "Age of the proof that came with these answers.", Buckets: latencyBuckets,
	})
	registry.MustRegister(created.diverted, created.backendSent, created.unreadable, created.levelTold, created.proofAges, created.behind, created.asked, created.ended, created.running, created.silent, created.overtook, created.calls, created.latency, created.hop, created.sends, created.arrivals, created.queued, created.worked)
	return created
}

// CallEnded implements egress.Observer.
func (m *metrics) CallEnded(route string, status int, result outcome.Outcome, step outcome.Step, elapsed time.Duration) {
	m.calls.WithLabelValues(strconv.Itoa(status), string(result), string(step)).Inc()
	m.latency.WithLabelValues(m.routes.label(route)).Observe(elapsed.Seconds())
}

// Pipelined implements egress.Observer.
func (m *metrics) Pipelined() { m.overtook.Inc() }

// ResponseReceived implements egress.Observer.
func (m *metrics) ResponseReceived(elapsed, worked time.Duration) {
	m.hop.Observe(max(elapsed-worked, 0).Seconds())
}

// Sent counts one send.
func (m *metrics) Sent(service string, attempt int) {
	m.sends.WithLabelValues(service, strconv.FormatBool(attempt > 1)).Inc()
}

// Diverted implements egress.Observer.
func (m *metrics) Diverted(service string, elsewhere bool) {
	m.diverted.WithLabelValues(service, strconv.FormatBool(elsewhere)).Inc()
}

// RequestCompleted implements ingress.Observer.
func (m *metrics) RequestCompleted(result outcome.Outcome, step outcome.Step, elapsed, waited time.Duration) {
	m.arrivals.WithLabelValues(string(result), string(step)).Inc()
	m.queued.Observe(waited.Seconds())
	m.worked.Observe((elapsed - waited).Seconds())
}

// BackendCrashed implements ingress.Observer.
func (m *metrics) BackendCrashed(running int) {
	m.ended.Inc()
	m.running.Add(float64(running))
}

// BackendSent implements ingress.Observer.
func (m *metrics) BackendSent() { m.backendSent.Inc() }

// NoticeUnreadable implements ingress.Observer.
func (m *metrics) NoticeUnreadable() { m.unreadable.Inc() }

// CaughtUp implements exchange.Observer.
func (m *metrics) CaughtUp(behind time.Duration) { m.behind.Observe(behind.Seconds()) }

// FetchFinished implements exchange.Observer.
func (m *metrics) FetchFinished(whom string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.asked.WithLabelValues(whom, result).Inc()
}

// VersionRequestFinished implements exchange.Observer.
func (m *metrics) VersionRequestFinished(result string, age time.Duration) {
	m.levelTold.WithLabelValues(result).Inc()
	if age >= 0 {
		m.proofAges.Observe(age.Seconds())
	}
}

// watch adds gauges that read the node's state.
func (s *Sidecar) watch(registry prometheus.Registerer) {
	gauge := func(name, help string, read func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	gauge("kestrel_sidecar_configuration_version", "Version in force, 0 before the first.", func() float64 {
		return float64(s.keeper.Version())
	})
	gauge("kestrel_sidecar_configuration_age_seconds", "Time since the version came into force.", func() float64 {
		return s.keeper.Age().Seconds()
	})
	gauge("kestrel_sidecar_configuration_proof_age_seconds", "Time since the node is known to have held the newest configuration, below zero before that.", func() float64 {
		age, proven := s.keeper.ProofAge()
		if !proven {
			return -1
		}
		return age.Seconds()
	})
	gauge("kestrel_sidecar_heartbeat_age_seconds", "Time since the back end's last heartbeat, below zero before the first.", s.heartbeatAge)
	gauge("kestrel_sidecar_reads_store", "1 while this node is one of those of its zone that read the store.", func() float64 {
		if s.reads() {
			return 1
		}
		return 0
	})
	gauge("kestrel_sidecar_members", "Nodes in the roster.", func() float64 { return float64(s.members.View().Count()) })
	gauge("kestrel_sidecar_pace", "How much longer the local back end works than others of its service do.", func() float64 {
		factor, _, _ := s.ingress.Pace()
		return factor
	})
	gauge("kestrel_sidecar_pace_told", "How much longer work takes at the local back end by its own last report, 0 without one.", func() float64 {
		_, told, _ := s.ingress.Pace()
		return told
	})
	gauge("kestrel_sidecar_pace_told_age_seconds", "Age of that report.", func() float64 {
		_, _, age := s.ingress.Pace()
		return age.Seconds()
	})
	gauge("kestrel_sidecar_backend_limit", "Requests a second that the local back end takes by its own word, below zero without one.", func() float64 {
		limit := s.ingress.Limit()
		if !limit.HasLimit {
			return -1
		}
		return limit.PerSecond
	})
	gauge("kestrel_sidecar_backend_limit_age_seconds", "Time since the local back end named that limit, or ended it.", func() float64 {
		return s.ingress.Limit().Age.Seconds()
	})
	gauge("kestrel_sidecar_backend_recent", "Requests sent to the local back end in the last four seconds.", func() float64 {
		return float64(s.ingress.Limit().Recent)
	})
	gauge("kestrel_sidecar_running", "Requests at the local back end.", func() float64 { return float64(s.ingress.Load().Running) })
	registry.MustRegister(newTenantTimes(s.ingress.Usage))
	gauge("kestrel_sidecar_waiting", "Requests that wait for a slot.", func() float64 { return float64(s.ingress.Load().Waiting) })
	gauge("kestrel_sidecar_calls_in_flight", "Calls under way.", func() float64 { return float64(s.egress.InFlight()) })
	gauge("kestrel_sidecar_retry_budget", "Least repeats left of all services.", s.leastBudget)
	registry.MustRegister(newZoneCollector(s.egress))
}

func (s *Sidecar) leastBudget() float64 {
	least, found := 0.0, false
	for _, left := range s.repeats.RemainingByService() {
		if !found || left < least {
			least, found = left, true
		}
	}
	return least
}
