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

// evaluation is the detector of one back end with what was last published.
type evaluation struct {
	incarnation roster.Incarnation
	detector    *rollout.Detector

	mu sync.Mutex // guards all below
	// faulty is the verdict last published, published the time at which it was.
	faulty    bool
	published time.Time
}

// Judges reports whether answers of the local back end are evidence: its version is on trial or
// has just been promoted.
func (c *Controller) Judges() bool {
	endpoint, plan := c.ownPlan()
	return plan != nil && plan.ComparesVersions() && endpoint.Version == plan.Version
}

// ownPlan returns the local back end and the plan of its service. The plan is nil if the
// requests of the service are not divided.
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

// Refuses reports whether the local back end must not get requests: its version was condemned,
// the back end was found faulty in the trial, or another version was promoted.
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

// Answered records an answer of the local back end as evidence. It has no effect unless Judges
// is true.
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
	// publishInterval is the minimum interval between two published assessments of a back end,
	// unless its being faulty changes.
	publishInterval = 500 * time.Millisecond
	// logOddsUnits is the precision of published log odds, in units per 1.
	logOddsUnits = 10
)

// shouldPublish reports whether the evidence is to be published now.
func (e *evaluation) shouldPublish(evidence rollout.Evidence, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if evidence.Faulty == e.faulty && now.Sub(e.published) < publishInterval {
		return false
	}
	e.faulty, e.published = evidence.Faulty, now
	return true
}

// evaluationOf returns the evaluation of the back end, and starts a new one for a new back end.
// A back end has one version all its life, and each version is rolled out once.
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
