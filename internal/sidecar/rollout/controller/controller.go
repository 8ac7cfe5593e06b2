// Package controller carries out roll-outs on one node: it hears orders, divides the
// requests of each service as the node's plan says, judges the own back end, and, on the
// nodes that read the store, writes how far a move has come. Decisions are those of
// package rollout.
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

// Options configure a controller.
type Options struct {
	Store   Store
	Codec   Codec
	Members *roster.Roster
	Limits  func() rollout.Limits
	// Load returns what part of the slots of a service's back ends of other versions than
	// the given one is taken, above one where requests wait.
	Load func(service, version string) float64
	// Readers returns the nodes that read the store, in any order. They act one after the
	// other, in an order on which all nodes agree.
	Readers func() []*roster.Record
	// Settled reports whether the node has served for some time: it knows the orders given
	// before, and the versions that are in use.
	Settled func() bool
	// Broadcast tells the peers of the moves, BroadcastRecord of the node's own record.
	Broadcast, BroadcastRecord func()
	Logger                     *zap.Logger
	Registry                   prometheus.Registerer
}

const (
	// tickInterval is the time between two looks at the moves that are under way.
	tickInterval = 50 * time.Millisecond
	// holdMost is how long a version that no order names gets nothing: its order may not
	// have been heard. Software that comes without an order is used after that time.
	maxHold = 10 * time.Second
	// settle is how long after all requests have moved the back ends of other versions
	// still take what other nodes send that have not heard yet.
	propagationGrace = 200 * time.Millisecond
)

// Controller carries out roll-outs. It is safe for concurrent use; what a request needs
// takes no lock.
type Controller struct {
	options Options
	metrics *metrics
	wake    chan struct{}
	plans   atomic.Pointer[map[string]*rollout.Plan]
	// judging is of the back end that is judged now; nil while none is.
	evaluation atomic.Pointer[evaluation]

	mu       sync.Mutex // guards all below and the replacement of plans and judging
	rollouts map[string]*activeRollout
	// versions holds the versions of each service that are in use, unheard those that
	// no order names, with when they were first seen.
	versions  map[string]map[string]bool
	withheld  map[string]map[string]time.Time
	splitters map[string]*rollout.Splitter
}

// carried is a move with what the node has done for it. The controller's lock guards it.
type activeRollout struct {
	rollout.State
	// order is the revision of the order that all below concerns.
	orderRevision uint64
	// began is when the node heard of the order, asked how many requests of the service
	// it had divided then.
	startedAt       time.Time
	requestsAtStart int64
	// moved is when all requests went to the version, by this node; zero before.
	promotedAt time.Time
	// due is the phase that waits to be written, dueSince since when.
	due      rollout.Phase
	dueSince time.Time
	// writing: a write is under way. failures counts those that failed in a row, and
	// notBefore is when the next may follow.
	writing   bool
	failures  int
	notBefore time.Time
}

// New returns a controller that Run starts.
func New(options Options) *Controller {
	return &Controller{
		options: options, metrics: newMetrics(options.Registry), wake: make(chan struct{}, 1),
		rollouts: map[string]*activeRollout{}, versions: map[string]map[string]bool{},
		withheld: map[string]map[string]time.Time{}, splitters: map[string]*rollout.Splitter{},
	}
}

// Run carries out moves until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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

// Active reports whether a move is under way or a version is held.
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

// Plan returns how the service's requests are divided, nil when nothing divides them.
func (c *Controller) Plan(service string) *rollout.Plan {
	current := c.plans.Load()
	if current == nil {
		return nil
	}
	return (*current)[service]
}

// Ordered takes in an order that the store has.
func (c *Controller) Ordered(order rollout.Order) {
	now := clock.Now()
	if c.merge(c.initialState(order, now), now) {
		c.options.Logger.Info("roll-out ordered", zap.String("service", order.Service), zap.String("software", order.Version),
			zap.Uint64("revision", order.Revision), zap.Duration("duration", order.Duration))
		c.options.Broadcast()
	}
}

// begin returns the move of an order. A node that has just started does not know yet whether
// other versions are in use.
func (c *Controller) initialState(order rollout.Order, now time.Time) rollout.State {
	if !c.options.Settled() {
		return rollout.NewState(order, now)
	}
	return rollout.Start(order, c.tally(order.Service, order.Version), now)
}

// Restored takes in that the store has come back from an older copy: no status is known to be there.
// The end of a move that was told stays its end, and is written again.
func (c *Controller) Restored() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, active := range c.rollouts {
		active.Recorded = false
		active.failures, active.notBefore = 0, time.Time{}
	}
	c.signal()
}

// Hear takes in what a peer tells of moves and reports whether some of it is news.
func (c *Controller) Hear(received []rollout.WireState) (changed bool) {
	now := clock.Now()
	for _, wire := range received {
		state, valid := wire.Hear(now)
		if !valid {
			c.options.Logger.Warn("a peer tells of a roll-out that cannot be", zap.Any("told", wire))
			continue
		}
		changed = c.merge(state, now) || changed
	}
	return changed
}

// Tell returns the moves as peers are told of them; nil when there are none.
func (c *Controller) Tell() []rollout.WireState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rollouts) == 0 {
		return nil
	}
	now := clock.Now()
	states := make([]rollout.WireState, 0, len(c.rollouts))
	for _, service := range slices.Sorted(maps.Keys(c.rollouts)) {
		states = append(states, c.rollouts[service].Tell(now))
	}
	return states
}

// learn merges a move and reports whether it is news.
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

// use notes that a version is in use, or is known by an order.
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

// entered logs a move's phase and notes when the requests moved; the lock is held.
func (c *Controller) enterPhase(active *activeRollout, now time.Time) {
	if (active.Phase == rollout.Promoting || active.Phase == rollout.Completed) && active.promotedAt.IsZero() {
		active.promotedAt = now
	}
	c.metrics.phase.WithLabelValues(active.Service).Set(float64(active.Phase))
	tally := c.tally(active.Service, active.Version)
	c.options.Logger.Info("roll-out phase", zap.String("service", active.Service), zap.String("software", active.Version),
		zap.Stringer("phase", active.Phase), zap.String("cause", active.Cause), zap.Duration("left", active.Deadline.Sub(now)),
		zap.Int("present", tally.Present), zap.Int("others", tally.Others),
		zap.Int("answered", tally.Answered), zap.Int("faulty", tally.Faulty), zap.Float64("lean", tally.LogOdds), zap.Float64("load", tally.Load))
}

// Follow takes in changed records: a version that no order names is held, since its
// order may not have been heard yet.
func (c *Controller) Follow(changed []*roster.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	settled := c.options.Settled()
	for _, record := range changed {
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

// hold has a version get nothing for a time; the lock is held.
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
		zap.String("service", service), zap.String("software", version), zap.Duration("atMost", maxHold))
	c.updatePlans(now)
	c.signal()
}

// releaseHeld ends holds that have lasted long enough; the lock is held.
func (c *Controller) releaseWithheld(now time.Time) {
	for service, versions := range c.withheld {
		for version, since := range versions {
			if now.Sub(since) >= maxHold {
				c.options.Logger.Warn("software that no order names is used",
					zap.String("service", service), zap.String("software", version))
				c.markInUse(service, version)
			}
		}
	}
}

// tick looks at every move: what its back ends are called, who is on trial, and what is
// due in the store.
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

// tally counts the back ends of a service, and what those of a version show.
func (c *Controller) tally(service, version string) rollout.Tally {
	tally := rollout.Tally{Load: c.options.Load(service, version)}
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
	return tally
}

// candidates returns the nodes whose back ends may be on trial, in an order on which
// all nodes agree, and how many back ends of other versions there are.
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

// publish makes the plans anew; the lock is held.
func (c *Controller) updatePlans(now time.Time) {
	updated := make(map[string]*rollout.Plan, len(c.rollouts)+len(c.withheld))
	for service, active := range c.rollouts {
		candidates, others := c.candidates(active)
		assignment := active.TrialAssignment(candidates, others, c.options.Limits(), c.requestRate(active, now), now)
		onlyVersion := c.options.Settled() && others == 0 && len(candidates) > 0
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

// paceKnown is how long requests are counted before their rate is used.
const minRateWindow = time.Second

// pace is how often requests of a move's service come to this node; the lock is held.
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
