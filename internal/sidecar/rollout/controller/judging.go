package controller

import (
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// judging is the judge of one back end.
type evaluation struct {
	incarnation roster.Incarnation
	detector    *rollout.Detector

	mu sync.Mutex // guards all below
	// faulty is what others were last told, published when.
	faulty    bool
	published time.Time
}

// Judges reports whether answers of the own back end are evidence: its version is on
// trial, or all requests have just moved to it.
func (c *Controller) Judges() bool {
	endpoint, plan := c.ownPlan()
	return plan != nil && plan.ComparesVersions() && endpoint.Version == plan.Version
}

// own returns the own back end and the plan of its service; the plan is nil when nothing
// divides the service's requests.
func (c *Controller) ownPlan() (*roster.Endpoint, *rollout.Plan) {
	if c.plans.Load() == nil {
		return nil, nil
	}
	endpoint := c.options.Members.Own().Endpoint
	if endpoint == nil {
		return nil, nil
	}
	return endpoint, c.Plan(endpoint.Service)
}

// Refuses reports whether the own back end is to get nothing: its version was judged bad,
// the back end itself was found faulty in the trial, or all requests have moved away from
// its version.
func (c *Controller) Refuses() bool {
	endpoint, plan := c.ownPlan()
	if plan == nil || plan.Version == "" {
		return false
	}
	if endpoint.Version != plan.Version {
		return plan.Promoted() && !plan.PromotedAt.IsZero() && clock.Since(plan.PromotedAt) >= propagationGrace
	}
	switch plan.Phase {
	case rollout.Condemned, rollout.RolledBack:
		return true
	case rollout.Trial:
		current := c.evaluation.Load()
		return current != nil && current.incarnation == endpoint.Incarnation() && current.detector.Evidence(clock.Now()).Faulty
	}
	return false
}

// Answered takes in what a request showed of the own back end, while Judges holds.
func (c *Controller) Answered(answer rollout.Answer) {
	endpoint, plan := c.ownPlan()
	if plan == nil || !plan.ComparesVersions() || endpoint.Version != plan.Version {
		return
	}
	current := c.evaluationOf(endpoint)
	c.metrics.observe(endpoint.Version, answer)
	now := clock.Now()
	evidence := current.detector.Observe(answer, now)
	if !current.shouldPublish(evidence, now) {
		return
	}
	c.options.Logger.Info("back end judged", zap.String("endpoint", endpoint.ID), zap.String("service", endpoint.Service),
		zap.String("software", endpoint.Version), zap.Bool("faulty", evidence.Faulty), zap.Float64("lean", evidence.LogOdds),
		zap.Int("answers", evidence.Answers), zap.Int("failed", evidence.Failed), zap.Int("slow", evidence.Slow),
		zap.String("route", answer.Route), zap.Float64("usualFailing", answer.BaselineRates.Failing), zap.Float64("usualSlow", answer.BaselineRates.Slow))
	c.options.Members.Update(func(record roster.Record) (roster.Record, bool) {
		record.LastAssessment = &roster.Assessment{
			ID: endpoint.Incarnation().String(), Answers: evidence.Answers, Faulty: evidence.Faulty, LogOdds: math.Round(evidence.LogOdds*logOddsUnits) / logOddsUnits,
		}
		return record, true
	})
	go c.options.BroadcastRecord()
	c.signal()
}

const (
	// publishInterval is the least time between two accounts of the same back end that
	// others are told, but for the one that it is faulty.
	publishInterval = 500 * time.Millisecond
	// leanUnits is how exactly a lean is told: in parts of one.
	logOddsUnits = 10
)

// isDue reports whether others are to be told of the evidence now.
func (e *evaluation) shouldPublish(evidence rollout.Evidence, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if evidence.Faulty == e.faulty && now.Sub(e.published) < publishInterval {
		return false
	}
	e.faulty, e.published = evidence.Faulty, now
	return true
}

// judgeOf returns the judge of the back end, a new one for another back end. A back end is
// of one version all its life, and each version is moved to once.
func (c *Controller) evaluationOf(endpoint *roster.Endpoint) *evaluation {
	current := c.evaluation.Load()
	if current != nil && current.incarnation == endpoint.Incarnation() {
		return current
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if current = c.evaluation.Load(); current == nil || current.incarnation != endpoint.Incarnation() {
		current = &evaluation{incarnation: endpoint.Incarnation(), detector: &rollout.Detector{}}
		c.evaluation.Store(current)
	}
	return current
}
