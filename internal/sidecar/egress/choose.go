package egress

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// choose returns a send, not begun yet, to the node whose back end is to take the
// request, or why there is none.
func (c *call) choose() (*attempt, *outcome.Failure) {
	considered := c.considered(clock.Now(), c.selected())
	index, seen := considered.draw()
	if plan := c.handler.plan(c.service); seen.Excluded && plan != nil && !plan.Moves() {
		// That back ends on trial have no room is no reason to refuse a request.
		considered = c.considered(considered.now, plan.Otherwise())
		index, seen = considered.draw()
	}
	if considered.full {
		c.handler.options.Observer.Diverted(c.service, index >= 0 && !seen.Excluded)
	}
	switch {
	case index < 0:
		return nil, outcome.Refusal(http.StatusServiceUnavailable, outcome.StepChoose, defaultRetryAfter, errNoEndpoint)
	case seen.Excluded:
		return nil, considered.closed()
	}
	record := considered.records[index]
	chosen := c.handler.targets.of(record)
	if limit := chosen.limitOf(record); limit != nil {
		limit.Consume(c.class(), considered.now)
	}
	if considered.competes {
		c.handler.zoneLoads.of(record).sent.Add(1)
	}
	return &attempt{
		call: c, record: record, target: chosen, service: c.service,
		seen: seen, reportAge: chosen.reportAge(considered.now),
		sends: len(c.visits), candidates: considered.ready,
		compared: c.handler.compares(c.service, record),
		repeated: c.repeat(), crashed: c.crashes > 0,
	}, nil
}

// considered are the back ends that may take a call, as they are seen at one
// moment.
type considered struct {
	*subset
	call *call
	near place
	// usual is how long back ends of the service work on such a request.
	usual time.Duration
	now   time.Time
	// competes: requests compete for room.
	competes bool
	// full: a back end that was described has a limit without room for the call in time.
	full bool
}

// draw returns the index of the back end that is to take the request, and what is known of it.
func (s *considered) draw() (index int, seen choice.Candidate) {
	draw := choice.Select
	if s.competes {
		draw = choice.SelectBalanced
	}
	return draw(s.pool(), s.call.route.TargetLatency, rand.IntN, s.call.handler.options.Weights)
}

// selected returns which back ends may take the next send. A send beyond the first is
// not for a trial.
func (c *call) selected() rollout.Selection {
	plan := c.handler.plan(c.service)
	if plan == nil {
		return rollout.Every()
	}
	selected := plan.Select(len(c.visits) > 0)
	if !c.handler.serves(c.service, selected, c.regions()) {
		return plan.Otherwise()
	}
	return selected
}

// considered returns those back ends of the request's service that are selected.
func (c *call) considered(now time.Time, selected rollout.Selection) *considered {
	options := &c.handler.options
	return &considered{
		subset: c.handler.subset(options.View(), c.service, selected, c.regions()),
		call:   c,
		near:   place{zone: options.Zone, regions: options.Regions},
		usual:  c.work().Mean(c.assumedWork()),
		now:    now,

		competes: c.handler.contended(),
	}
}

// describe returns what is known of one of them.
func (s *considered) describe(index int) choice.Candidate {
	record := s.records[index]
	found := s.call.handler.targets.of(record)
	described := found.candidate(record, s.near, s.usual, s.now)
	if s.competes {
		described.RoundTrip += s.call.transfer(record)
		described.Outstanding += s.call.handler.zoneLoads.others(record, s.now) * found.unheard(record, s.now)
	}
	s.judgeNotices(&described, found, record)
	described.Tried = s.call.visited(found)
	return described
}

// transfer is how long the link of the record's machine works on the request's body, where it is one
// that the arriving node receives before it has a slot; at most as long as the request may take.
func (c *call) transfer(record *roster.Record) time.Duration {
	if !c.large() {
		return 0
	}
	const (
		bytesPerMegabit = 1000 * 1000 / 8
		assumedMbps     = 1000
	)
	link := record.Link
	if link <= 0 {
		link = assumedMbps
	}
	seconds := float64(c.request.ContentLength) / (float64(link) * bytesPerMegabit)
	return time.Duration(min(seconds, mostTransfer.Seconds()) * float64(time.Second))
}

// pool returns them for the choice.
func (s *considered) pool() choice.Pool {
	return choice.Pool{Local: s.subset.near, Remote: len(s.records) - s.subset.near, Describe: s.describe}
}

// worthwhile reports whether another back end is left for a request that was
// refused.
func (s *considered) worthwhile() bool {
	for index := range s.records {
		if s.describe(index).EligibleForRetry() {
			return true
		}
	}
	return false
}

// mostTransfer bounds what is expected of a transfer: beyond it no answer comes in time.
const mostTransfer = 10 * time.Second

// work returns the estimate of how long requests of the route are worked on.
func (c *call) work() *choice.ServiceTime {
	key := c.route.Name
	if held, found := c.handler.work.Load(key); found {
		return held.(*choice.ServiceTime)
	}
	held, _ := c.handler.work.LoadOrStore(key, &choice.ServiceTime{})
	return held.(*choice.ServiceTime)
}

// assumedWork stands in for the time a route's requests take before any was
// measured.
func (c *call) assumedWork() time.Duration {
	const aimShare = 0.35
	if c.route.TargetLatency > 0 {
		return time.Duration(float64(c.route.TargetLatency) * aimShare)
	}
	const unknown = 50 * time.Millisecond
	return unknown
}

func (c *call) visited(candidate *target) bool {
	return slices.ContainsFunc(c.visits, func(seen visit) bool { return seen.target == candidate })
}
