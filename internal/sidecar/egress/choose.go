package egress

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// choose selects the back end and returns an attempt that is not started yet, or the reason why
// there is none.
func (c *call) choose() (*attempt, *outcome.Failure) {
	if forward.CallerDisconnected(c.context) {
		return nil, outcome.Refusal(http.StatusServiceUnavailable, outcome.StepChoose, 0, forward.ErrCallerDisconnected)
	}
	candidateSet := c.candidateSet(clock.Now(), c.selection())
	index, seen := candidateSet.draw()
	if plan := c.handler.plan(c.service); seen.Excluded && plan != nil && !plan.Promoted() {
		// The canary back ends have no capacity. That is no reason to refuse the request: fall back
		// to the versions in use.
		candidateSet = c.candidateSet(candidateSet.now, plan.Fallback())
		index, seen = candidateSet.draw()
	}
	limitExceeded := candidateSet.limitExceeded
	for further := candidateSet; (seen.Excluded || seen.Tried) && further.next != nil; {
		further = further.following()
		if found, described := further.draw(); found >= 0 && !described.Excluded {
			candidateSet, index, seen = further, found, described
		}
	}
	if limitExceeded {
		c.handler.options.Observer.Diverted(c.service, index >= 0 && !seen.Excluded)
	}
	switch {
	case index < 0:
		return nil, outcome.Refusal(http.StatusServiceUnavailable, outcome.StepChoose, defaultRetryAfter, errNoEndpoint)
	case seen.Excluded:
		return nil, candidateSet.closedFailure()
	}
	record := candidateSet.records[index]
	chosen := c.handler.targets.forRecord(record)
	if limit := chosen.limitOf(record); limit != nil {
		limit.Consume(c.class(), candidateSet.now)
	}
	if candidateSet.contention {
		c.handler.zoneLoads.forRecord(record).sent.Add(1)
	}
	return &attempt{
		call: c, record: record, target: chosen, service: c.service,
		seen: seen, reportAge: chosen.reportAge(candidateSet.now),
		sends: len(c.attempts), candidates: candidateSet.ready,
		canary:   c.handler.isCanary(c.service, record),
		repeated: c.isRetry(), crashed: c.crashes > 0,
	}, nil
}

// candidateSet holds the back ends that may take a call, as seen at one moment.
type candidateSet struct {
	*subset
	call   *call
	origin location
	// expectedWork is the time that back ends of the service take to process such a request.
	expectedWork time.Duration
	now          time.Time
	// contention: overload control is active.
	contention bool
	// limitExceeded: the rate limit of a described back end has no capacity for the call in time.
	limitExceeded bool
}

// draw returns the index of the chosen back end and its description.
func (s *candidateSet) draw() (index int, seen choice.Candidate) {
	draw := choice.Select
	if s.contention {
		draw = choice.SelectBalanced
	}
	return draw(s.pool(), s.call.route.TargetLatency, rand.IntN, s.call.handler.options.Weights)
}

// selection returns which back ends may take the next attempt. Only first attempts go to the canary
// of a trial.
func (c *call) selection() rollout.Selection {
	plan := c.handler.plan(c.service)
	if plan == nil {
		return rollout.All()
	}
	selection := plan.Select(len(c.attempts) > 0)
	if !c.handler.hasAvailable(c.service, selection, c.regions()) {
		return plan.Fallback()
	}
	return selection
}

// candidateSet returns the selected back ends of the request's service.
func (c *call) candidateSet(now time.Time, selection rollout.Selection) *candidateSet {
	options := &c.handler.options
	return &candidateSet{
		subset:       c.handler.subset(options.View(), c.service, selection, c.regions()),
		call:         c,
		origin:       location{zone: options.Zone, regions: options.Regions},
		expectedWork: c.work().Mean(c.assumedWork()),
		now:          now,

		contention: c.handler.contended(),
	}
}

// following returns the back ends that are considered only where none of this set is left.
func (s *candidateSet) following() *candidateSet {
	following := *s
	following.subset, following.limitExceeded = s.next, false
	return &following
}

// describe returns the candidate with that index.
func (s *candidateSet) describe(index int) choice.Candidate {
	record := s.records[index]
	peer := s.call.handler.targets.forRecord(record)
	described := peer.candidate(record, s.origin, s.expectedWork, s.now)
	if s.contention {
		described.RoundTrip += s.call.transferTime(record)
		described.Outstanding += s.call.handler.zoneLoads.others(record, s.now) * peer.unreportedWeight(record, s.now)
	}
	s.applyNotices(&described, peer, record)
	described.Tried = s.call.attempted(peer)
	return described
}

// transferTime returns how long the link of the record's machine needs for the request's body, if
// it is one that the peer receives before it has a slot; at most maxTransferTime.
func (c *call) transferTime(record *roster.Record) time.Duration {
	if !c.hasLargeBody() {
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
	return time.Duration(min(seconds, maxTransferTime.Seconds()) * float64(time.Second))
}

// pool returns the candidates for the choice.
func (s *candidateSet) pool() choice.Pool {
	return choice.Pool{Local: s.subset.near, Remote: len(s.records) - s.subset.near, Describe: s.describe}
}

// hasAlternative reports whether another back end is left for a request that was refused.
func (s *candidateSet) hasAlternative() bool {
	return s.containsEligible(func(*roster.Record) bool { return true })
}

// hasUnlimited reports whether a back end without a known rate limit is left for a request that was
// refused.
func (s *candidateSet) hasUnlimited() bool {
	return s.containsEligible(func(record *roster.Record) bool {
		return s.call.handler.targets.forRecord(record).limitOf(record) == nil
	})
}

// containsEligible reports whether a back end that a refused request may be sent to meets the
// condition.
func (s *candidateSet) containsEligible(condition func(*roster.Record) bool) bool {
	for index, record := range s.records {
		if condition(record) && s.describe(index).EligibleForRetry() {
			return true
		}
	}
	return s.next != nil && s.following().containsEligible(condition)
}

// maxTransferTime bounds the estimate of a transfer: beyond it no response comes in time.
const maxTransferTime = 10 * time.Second

// work returns the estimate of the processing time of the route's requests.
func (c *call) work() *choice.ServiceTime {
	key := c.route.Name
	if value, found := c.handler.work.Load(key); found {
		return value.(*choice.ServiceTime)
	}
	value, _ := c.handler.work.LoadOrStore(key, &choice.ServiceTime{})
	return value.(*choice.ServiceTime)
}

// assumedWork is the estimate of a route's processing time before anything was measured.
func (c *call) assumedWork() time.Duration {
	const targetFraction = 0.35
	if c.route.TargetLatency > 0 {
		return time.Duration(float64(c.route.TargetLatency) * targetFraction)
	}
	const unknown = 50 * time.Millisecond
	return unknown
}

func (c *call) attempted(candidate *target) bool {
	return slices.ContainsFunc(c.attempts, func(seen attemptRecord) bool { return seen.target == candidate })
}
