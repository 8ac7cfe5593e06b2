// Package controller runs rollouts on one node: it receives orders, maintains the plan that
// divides the requests of each service, evaluates the local back end and, on nodes that read
// the store, records the progress of a rollout there. The decisions are made by package
// rollout.
package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// Options configures a Controller.
type Options struct {
	Store   Store
	Codec   Codec
	Members *roster.Roster
	Limits  func() rollout.Limits
	// Load returns the fraction of the slots in use at a service's back ends of versions other
	// than the given one; above 1 while requests wait.
	Load func(service, version string) float64
	// Readers returns the nodes that read the store, in any order. They act one after the
	// other, in an order that is the same on all nodes.
	Readers func() []*roster.Record
	// Settled reports whether the node has known the other nodes for long enough to know earlier
	// orders and the versions in use.
	Settled func() bool
	// Broadcast sends the rollout states to all peers, BroadcastRecord the node's own record.
	Broadcast, BroadcastRecord func()
	Logger                     *zap.Logger
	Registry                   prometheus.Registerer
}

const (
	// tickInterval is the interval at which rollouts in progress are evaluated.
	tickInterval = 50 * time.Millisecond
	// maxWithhold is the maximum time for which a version without an order gets no requests, since
	// its order may not have arrived yet. After that the version is taken as deployed without an
	// order and is used.
	maxWithhold = 10 * time.Second
	// propagationGrace is the time after promotion for which the back ends of other versions still
	// accept requests from nodes that have not learned of it.
	propagationGrace = 200 * time.Millisecond
)

// Controller runs the rollouts of a node. It is safe for concurrent use. The request path takes
// no lock.
type Controller struct {
	options Options
	metrics *metrics
	wake    chan struct{}
	plans   atomic.Pointer[map[string]*rollout.Plan]
	// evaluation is that of the local back end; nil while none is evaluated.
	evaluation atomic.Pointer[evaluation]

	mu       sync.Mutex // guards all below and the replacement of plans and evaluation
	rollouts map[string]*activeRollout
	// versions holds the versions in use by service. withheld holds the versions without an
	// order, with the time at which each was first seen.
	versions  map[string]map[string]bool
	withheld  map[string]map[string]time.Time
	splitters map[string]*rollout.Splitter
	absences  absences
}

// activeRollout is the state of a rollout and the node's progress with it. The controller's
// lock guards it.
type activeRollout struct {
	rollout.State
	// orderRevision is the revision of the order that all fields below refer to.
	orderRevision uint64
	// startedAt is the time at which the node received the order, requestsAtStart the number of
	// requests of the service that it had divided by then.
	startedAt       time.Time
	requestsAtStart int64
	// promotedAt is the time at which this node began to send all requests to the version; zero
	// before.
	promotedAt time.Time
	// due is the phase to be written, dueSince the time since which it is due.
	due      rollout.Phase
	dueSince time.Time
	// writing means that a write is in progress. failures counts consecutive failed writes, and
	// notBefore is the earliest time of the next one.
	writing   bool
	failures  int
	notBefore time.Time
	// waits means that the result is due but the versions in use are not known.
	waits bool
}

// New returns a controller. Run starts it.
func New(options Options) *Controller {
	return &Controller{
		options: options, metrics: newMetrics(options.Registry), wake: make(chan struct{}, 1),
		rollouts: map[string]*activeRollout{}, versions: map[string]map[string]bool{},
		withheld: map[string]map[string]time.Time{}, splitters: map[string]*rollout.Splitter{},
		absences: newAbsences(),
	}
}

// Run processes rollouts until the context is done.
func (c *Controller) Run(ctx context.Context) {
	ticker := clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var ticks <-chan time.Time
		if c.Active() {
			ticks = ticker.C
		}
		select {
		case <-ticks:
		case <-c.wake:
		case <-ctx.Done():
			return
		}
		_ = contain.Run("roll-out", c.options.Logger, func() { c.tick(ctx, clock.Now()) })
	}
}

// Active reports whether a rollout is in progress or a version is withheld.
func (c *Controller) Active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.withheld) > 0 {
		return true
	}
	for _, active := range c.rollouts {
		if !active.Phase.Final() || !active.Recorded {
			return true
		}
	}
	return false
}

func (c *Controller) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Plan returns the plan of a service; nil if its requests are not divided.
func (c *Controller) Plan(service string) *rollout.Plan {
	current := c.plans.Load()
	if current == nil {
		return nil
	}
	return (*current)[service]
}

// ApplyOrder handles an order read from the store.
func (c *Controller) ApplyOrder(order rollout.Order) {
	now := clock.Now()
	c.mu.Lock()
	state := rollout.Start(order, c.tally(order.Service, order.Version), now)
	c.mu.Unlock()
	if c.merge(state, now) {
		c.options.Logger.Info("roll-out ordered", zap.String("service", order.Service), zap.String("software", order.Version),
			zap.Uint64("revision", order.Revision), zap.Duration("duration", order.Duration))
		c.options.Broadcast()
	}
}

// Restored handles a store that was restored from an older copy: no status is known to be
// recorded there. A known result of a rollout is kept and written again.
func (c *Controller) Restored() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, active := range c.rollouts {
		active.Recorded = false
		active.failures, active.notBefore = 0, time.Time{}
	}
	c.signal()
}

// Import merges rollout states received from a peer and reports whether any of it was new.
func (c *Controller) Import(received []rollout.SharedState) (changed bool) {
	now := clock.Now()
	for _, wire := range received {
		state, valid := wire.Import(now)
		if !valid {
			c.options.Logger.Warn("a peer tells of a roll-out that cannot be", zap.Any("told", wire))
			continue
		}
		changed = c.merge(state, now) || changed
	}
	return changed
}

// Export returns the rollout states to send to peers; nil if there are none.
func (c *Controller) Export() []rollout.SharedState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rollouts) == 0 {
		return nil
	}
	now := clock.Now()
	states := make([]rollout.SharedState, 0, len(c.rollouts))
	for _, service := range slices.Sorted(maps.Keys(c.rollouts)) {
		states = append(states, c.rollouts[service].Export(now))
	}
	return states
}

// merge merges a state and reports whether it changed anything.
func (c *Controller) merge(state rollout.State, now time.Time) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := c.rollouts[state.Service]
	if active == nil {
		active = &activeRollout{}
		c.rollouts[state.Service] = active
	}
	reissued := active.ReissuedBy(state)
	merged, changed := active.Merge(state)
	active.State = merged
	if !changed {
		return false
	}
	switch {
	case reissued:
		active.orderRevision = merged.Revision
	case merged.Revision != active.orderRevision:
		*active = activeRollout{State: merged, orderRevision: merged.Revision, startedAt: now, requestsAtStart: c.splitter(state.Service).Requests()}
	}
	c.markInUse(state.Service, state.Version)
	c.enterPhase(active, now)
	c.updatePlans(now)
	c.signal()
	return true
}

// markInUse marks a version as in use or as named by an order.
func (c *Controller) markInUse(service, version string) {
	if c.versions[service] == nil {
		c.versions[service] = map[string]bool{}
	}
	c.versions[service][version] = true
	delete(c.withheld[service], version)
	if len(c.withheld[service]) == 0 {
		delete(c.withheld, service)
	}
}

// enterPhase logs the new phase and sets the time of promotion. The lock must be held.
func (c *Controller) enterPhase(active *activeRollout, now time.Time) {
	if (active.Phase == rollout.Promoting || active.Phase == rollout.Completed) && active.promotedAt.IsZero() {
		active.promotedAt = now
	}
	c.metrics.phase.WithLabelValues(active.Service).Set(float64(active.Phase))
	tally := c.tally(active.Service, active.Version)
	c.options.Logger.Info("roll-out phase", zap.String("service", active.Service), zap.String("software", active.Version),
		zap.Stringer("phase", active.Phase), zap.String("cause", active.Cause), zap.Duration("left", active.Deadline.Sub(now)),
		zap.Int("present", tally.Present), zap.Int("others", tally.Others), zap.Int("absent", tally.Absent),
		zap.Int("answered", tally.Answered), zap.Int("faulty", tally.Faulty), zap.Float64("lean", tally.LogOdds), zap.Float64("load", tally.Load))
}

// Follow handles changed records. A version without an order is withheld, since its order may
// not have arrived yet.
func (c *Controller) Follow(changed []*roster.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	settled, now := c.options.Settled(), clock.Now()
	for _, record := range changed {
		c.absences.follow(record, now)
		endpoint := record.Endpoint
		if endpoint == nil || endpoint.Version == "" || c.versions[endpoint.Service][endpoint.Version] {
			continue
		}
		if !settled || len(c.versions[endpoint.Service]) == 0 {
			c.markInUse(endpoint.Service, endpoint.Version)
			continue
		}
		c.withhold(endpoint.Service, endpoint.Version)
	}
}

// withhold keeps requests from a version for a time. The lock must be held.
func (c *Controller) withhold(service, version string) {
	if c.withheld[service] == nil {
		c.withheld[service] = map[string]time.Time{}
	}
	if _, known := c.withheld[service][version]; known {
		return
	}
	now := clock.Now()
	c.withheld[service][version] = now
	c.options.Logger.Warn("software that no order names gets no requests yet",
		zap.String("service", service), zap.String("software", version), zap.Duration("atMost", maxWithhold))
	c.updatePlans(now)
	c.signal()
}

// releaseWithheld releases versions that have been withheld for maxWithhold. The lock must be held.
func (c *Controller) releaseWithheld(now time.Time) {
	for service, versions := range c.withheld {
		for version, since := range versions {
			if now.Sub(since) >= maxWithhold {
				c.options.Logger.Warn("software that no order names is used",
					zap.String("service", service), zap.String("software", version))
				c.markInUse(service, version)
			}
		}
	}
}

// tick processes every rollout: it evaluates the evidence, updates the trial assignment and
// starts writes that are due.
func (c *Controller) tick(ctx context.Context, now time.Time) {
	c.mu.Lock()
	c.releaseWithheld(now)
	anyChanged := false
	for _, active := range c.rollouts {
		tally := c.tally(active.Service, active.Version)
		evaluated, changed := active.Evaluate(tally, now)
		if changed {
			active.State = evaluated
			c.enterPhase(active, now)
			anyChanged = true
		}
		c.writeDue(ctx, active, tally, now)
	}
	c.updatePlans(now)
	c.mu.Unlock()
	if anyChanged {
		c.options.Broadcast()
	}
}

// tally returns the number of back ends of a service and the evidence about those of a version. The
// lock must be held.
func (c *Controller) tally(service, version string) rollout.Tally {
	tally := rollout.Tally{Load: c.options.Load(service, version), Incomplete: !c.options.Settled()}
	for _, record := range c.options.Members.View().Service(service) {
		switch {
		case record.Endpoint.Version != version:
			if record.AcceptsWork() {
				tally.Others++
			}
			continue
		case record.AcceptsWork():
			tally.Present++
		}
		if assessment := record.Assessment(); assessment != nil {
			tally.Add(assessment.Answers, assessment.Faulty, assessment.LogOdds)
		}
	}
	tally.Absent = c.absences.count(service, version, clock.Now())
	return tally
}

// candidates returns the nodes whose back ends may be on trial, in an order that is the same on
// all nodes, and the number of back ends of other versions.
func (c *Controller) candidates(active *activeRollout) (nodes []string, others int) {
	for _, record := range c.options.Members.View().Service(active.Service) {
		assessment := record.Assessment()
		switch {
		case !record.AcceptsWork():
		case record.Endpoint.Version != active.Version:
			others++
		case assessment == nil || !assessment.Faulty:
			nodes = append(nodes, record.Node)
		}
	}
	slices.SortFunc(nodes, func(a, b string) int {
		return compareHashes(active.Version, a, b)
	})
	return nodes, others
}

func compareHashes(salt, a, b string) int {
	hashA, hashB := xxhash.Sum64String(salt+"\x00"+a), xxhash.Sum64String(salt+"\x00"+b)
	switch {
	case hashA < hashB:
		return -1
	case hashA > hashB:
		return 1
	}
	return 0
}

// updatePlans rebuilds the plans. The lock must be held.
func (c *Controller) updatePlans(now time.Time) {
	updated := make(map[string]*rollout.Plan, len(c.rollouts)+len(c.withheld))
	for service, active := range c.rollouts {
		candidates, others := c.candidates(active)
		assignment := active.TrialAssignment(candidates, others, c.options.Limits(), c.requestRate(active, now), now)
		onlyVersion := len(candidates) > 0 && c.tally(service, active.Version).OnlyVersion()
		plan := rollout.NewPlan(active.State, assignment, slices.Sorted(maps.Keys(c.withheld[service])), onlyVersion, c.splitter(service))
		plan.PromotedAt = active.promotedAt
		updated[service] = plan
	}
	for service, versions := range c.withheld {
		if updated[service] == nil {
			updated[service] = rollout.NewPlan(rollout.State{}, rollout.TrialAssignment{}, slices.Sorted(maps.Keys(versions)), false, c.splitter(service))
		}
	}
	if len(updated) == 0 {
		c.plans.Store(nil)
		return
	}
	c.plans.Store(&updated)
}

// minRateWindow is the minimum time for which requests are counted before their rate is used.
const minRateWindow = time.Second

// requestRate returns the rate of a rollout's requests at this node. The lock must be held.
func (c *Controller) requestRate(active *activeRollout, now time.Time) rollout.RequestRate {
	requestRate := rollout.RequestRate{Members: c.options.Members.View().LiveCount()}
	if elapsed := now.Sub(active.startedAt); elapsed >= minRateWindow {
		requestRate.PerSecond = float64(c.splitter(active.Service).Requests()-active.requestsAtStart) / elapsed.Seconds()
	}
	return requestRate
}

func (c *Controller) splitter(service string) *rollout.Splitter {
	if c.splitters[service] == nil {
		c.splitters[service] = rollout.NewSplitter()
	}
	return c.splitters[service]
}
