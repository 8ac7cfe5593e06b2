package sidecar

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// metrics holds the node's counters and histograms. Label sets are bounded: outcomes, steps and
// statuses are few, and services are those of the configuration.
type metrics struct {
	calls          *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	routes         boundedLabels
	hop            prometheus.Histogram
	sends          *prometheus.CounterVec
	arrivals       *prometheus.CounterVec
	notRun         *prometheus.CounterVec
	queueSeconds   prometheus.Histogram
	backendSeconds prometheus.Histogram
	silentProbes   prometheus.Counter
	pipelined      prometheus.Counter
	// crashes counts unplanned ends of the back end's process, crashedRequests the requests that
	// were active at that moment.
	crashes, crashedRequests prometheus.Counter
	// backendSent counts the requests sent to the back end, unreadableNotices its notices that
	// cannot be decoded, foreignAnswers its answers without the id of the request that was sent.
	backendSent, unreadableNotices, foreignAnswers prometheus.Counter
	// refusedHeartbeats counts the heartbeats that do not count, by roster.Refusal.
	refusedHeartbeats *prometheus.CounterVec
	// invalidAnswers counts the rejections of bytes of the back end by reason.
	invalidAnswers *prometheus.CounterVec
	// diverted counts requests that were not sent to a back end because its own limit had no
	// capacity for them in time.
	diverted *prometheus.CounterVec
	// lag is the time from the first report of a newer version until it was in force, fetches
	// counts requests for a configuration.
	lag     prometheus.Histogram
	fetches *prometheus.CounterVec
	// versionAnswers counts the answers of other nodes that were asked for their version,
	// proofAges are the ages of the proofs in these answers.
	versionAnswers *prometheus.CounterVec
	proofAges      prometheus.Histogram
}

// latencyBuckets are the histogram buckets of all latencies, in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4}

// maxRouteLabels is the maximum number of routes with a label of their own. Labels go to the routes
// that are called first, since deployments have many routes that nobody calls.
const maxRouteLabels = 64

// boundedLabels limits the values of a label: the first maxLabels names keep theirs, all others
// share one. It is safe for concurrent use.
type boundedLabels struct {
	maxLabels int

	mu    sync.RWMutex // guards known
	known map[string]struct{}
}

// label returns the name, or "other" beyond the limit.
func (b *boundedLabels) label(name string) string {
	b.mu.RLock()
	_, found := b.known[name]
	full := len(b.known) >= b.maxLabels
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
		routes: boundedLabels{maxLabels: maxRouteLabels},
		hop: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kestrel_sidecar_hop_seconds", Help: "Time that served calls spent outside of the back end.", Buckets: latencyBuckets,
		}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_sidecar_sends_total", Help: "Requests sent to nodes, by service and whether an earlier node was tried.",
		}, []string{"service", "repeat"}),
		arrivals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_sidecar_arrivals_total", Help: "Requests of nodes for the local back end by outcome and step.",
		}, []string{"outcome", "step"}),
		notRun: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_sidecar_not_run_total", Help: "Replies that promise that a request has not run, by side of the node and what that rests on.",
		}, []string{"side", "evidence"}),
		queueSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kestrel_sidecar_queue_seconds", Help: "Time that requests waited for a slot.", Buckets: latencyBuckets,
		}),
		backendSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kestrel_sidecar_backend_seconds", Help: "Time that the back end held requests.", Buckets: latencyBuckets,
		}),
	}
	created.silentProbes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_silent_probes_total", Help: "Probes that a node did not answer.",
	})
	created.pipelined = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_pipelined_total", Help: "Requests begun before the answers to earlier ones on their connection.",
	})
	created.crashes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_backend_ends_total", Help: "Unplanned ends of the back end's process under requests.",
	})
	created.crashedRequests = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_backend_ends_running_total", Help: "Requests at work when the back end's process ended.",
	})
	created.backendSent = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_backend_sends_total", Help: "Requests sent to the local back end.",
	})
	created.diverted = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kestrel_sidecar_limit_diverted_total", Help: "Requests not sent to a back end whose own limit had no room in time, by service and whether they went to another one.",
	}, []string{"service", "elsewhere"})
	created.unreadableNotices = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_backend_notices_unreadable_total", Help: "Answers of the local back end with a limit or a leave that cannot be read.",
	})
	created.lag = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "kestrel_sidecar_configuration_behind_seconds", Help: "Time from the first word of a newer configuration until it was in force.", Buckets: latencyBuckets,
	})
	created.fetches = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kestrel_sidecar_configuration_questions_total", Help: "Questions for a newer configuration by whom was asked and result.",
	}, []string{"asked", "result"})
	created.versionAnswers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kestrel_sidecar_level_answers_total", Help: "Answers of other nodes that were asked for their version, by result.",
	}, []string{"result"})
	created.proofAges = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "kestrel_sidecar_level_proof_seconds", Help: "Age of the proof that came with these answers.", Buckets: latencyBuckets,
	})
	created.foreignAnswers = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_sidecar_backend_foreign_answers_total", Help: "Answers of the local back end without the id of the request that was sent.",
	})
	created.refusedHeartbeats = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kestrel_sidecar_heartbeats_refused_total", Help: "Heartbeats that are not of the local back end, or late, by reason.",
	}, []string{"reason"})
	created.invalidAnswers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kestrel_sidecar_backend_invalid_answers_total", Help: "Rejections of bytes of the local back end that are no valid answer or exceed a limit, by reason.",
	}, []string{"reason"})
	registry.MustRegister(created.notRun, created.refusedHeartbeats, created.invalidAnswers)
	registry.MustRegister(created.diverted, created.backendSent, created.unreadableNotices, created.foreignAnswers, created.versionAnswers, created.proofAges, created.lag, created.fetches, created.crashes, created.crashedRequests, created.silentProbes, created.pipelined, created.calls, created.latency, created.hop, created.sends, created.arrivals, created.queueSeconds, created.backendSeconds)
	return created
}

// CallEnded implements egress.Observer.
func (m *metrics) CallEnded(route string, status int, result outcome.Outcome, step outcome.Step, elapsed time.Duration) {
	m.calls.WithLabelValues(strconv.Itoa(status), string(result), string(step)).Inc()
	m.latency.WithLabelValues(m.routes.label(route)).Observe(elapsed.Seconds())
}

// Pipelined implements egress.Observer.
func (m *metrics) Pipelined() { m.pipelined.Inc() }

// ResponseReceived implements egress.Observer.
func (m *metrics) ResponseReceived(elapsed, worked time.Duration) {
	m.hop.Observe(max(elapsed-worked, 0).Seconds())
}

// Sent implements egress.Observer.
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
	m.queueSeconds.Observe(waited.Seconds())
	m.backendSeconds.Observe((elapsed - waited).Seconds())
}

// CallNotRun implements egress.Observer.
func (m *metrics) CallNotRun(evidence notrun.Evidence) {
	m.notRun.WithLabelValues("outbound", evidence.String()).Inc()
}

// ArrivalNotRun implements ingress.Observer.
func (m *metrics) ArrivalNotRun(evidence notrun.Evidence) {
	m.notRun.WithLabelValues("inbound", evidence.String()).Inc()
}

// BackendCrashed implements ingress.Observer.
func (m *metrics) BackendCrashed(crashedRequests int) {
	m.crashes.Inc()
	m.crashedRequests.Add(float64(crashedRequests))
}

// BackendSent implements ingress.Observer.
func (m *metrics) BackendSent() { m.backendSent.Inc() }

// NoticeUnreadable implements ingress.Observer.
func (m *metrics) NoticeUnreadable() { m.unreadableNotices.Inc() }

// ForeignAnswer implements ingress.Observer.
func (m *metrics) ForeignAnswer() { m.foreignAnswers.Inc() }

// InvalidAnswer implements ingress.Observer.
func (m *metrics) InvalidAnswer(reason forward.Reason) {
	m.invalidAnswers.WithLabelValues(string(reason)).Inc()
}

// CaughtUp implements exchange.Observer.
func (m *metrics) CaughtUp(lag time.Duration) { m.lag.Observe(lag.Seconds()) }

// FetchFinished implements exchange.Observer.
func (m *metrics) FetchFinished(whom string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.fetches.WithLabelValues(whom, result).Inc()
}

// VersionRequestFinished implements exchange.Observer.
func (m *metrics) VersionRequestFinished(result string, age time.Duration) {
	m.versionAnswers.WithLabelValues(result).Inc()
	if age >= 0 {
		m.proofAges.Observe(age.Seconds())
	}
}

// registerGauges registers gauges that read the node's state.
func (s *Sidecar) registerGauges(registry prometheus.Registerer) {
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
		if s.isReader() {
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
		_, reported, _ := s.ingress.Pace()
		return reported
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
	registry.MustRegister(newTenantCollector(s.ingress.Usage))
	gauge("kestrel_sidecar_waiting", "Requests that wait for a slot.", func() float64 { return float64(s.ingress.Load().Waiting) })
	gauge("kestrel_sidecar_calls_in_flight", "Calls under way.", func() float64 { return float64(s.egress.InFlight()) })
	gauge("kestrel_sidecar_retry_budget", "Least repeats left of all services.", s.lowestRetryBudget)
	registry.MustRegister(newZoneCollector(s.egress))
}

func (s *Sidecar) lowestRetryBudget() float64 {
	lowest, found := 0.0, false
	for _, left := range s.repeats.RemainingByService() {
		if !found || left < lowest {
			lowest, found = left, true
		}
	}
	return lowest
}
