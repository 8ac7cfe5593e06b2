package egress

import (
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// choose returns a send, not begun yet, to the node whose back end is to take the
// request; nil when there is none.
func (c *call) choose() *attempt {
	view := c.handler.options.View()
	now := time.Now()
	described := c.candidates(view, now)
	start := 0
	if len(described.candidates) > 0 {
		start = int(c.handler.rotation.Add(1) % uint64(len(described.candidates)))
	}
	best := choice.Best(described.candidates, c.route.TargetLatency, start, c.handler.options.Weights)
	if best < 0 {
		return nil
	}
	chosen := described.targets[best]
	return &attempt{
		call: c, record: described.records[best], target: chosen, service: c.service,
		seen: described.candidates[best], reportAge: chosen.reportAge(now),
	}
}

// candidates are the back ends of a service, each at the same index.
type candidates struct {
	candidates []choice.Candidate
	records    []*roster.Record
	targets    []*target
}

// candidates describes the back ends of the request's service.
func (c *call) candidates(view *roster.View, now time.Time) candidates {
	usual := c.work().Mean(c.assumedWork())
	near := place{zone: c.handler.options.Zone, regions: c.handler.options.Regions}
	var described candidates
	for _, record := range c.handler.subset(view, c.service) {
		found := c.handler.targets.of(record)
		candidate := found.candidate(record, near, usual, now)
		candidate.Tried = c.visited(found)
		described.candidates = append(described.candidates, candidate)
		described.records = append(described.records, record)
		described.targets = append(described.targets, found)
	}
	return described
}

// work returns the estimate of how long requests of the route are worked on.
func (c *call) work() *choice.Work {
	key := c.route.Name
	if held, found := c.handler.work.Load(key); found {
		return held.(*choice.Work)
	}
	held, _ := c.handler.work.LoadOrStore(key, &choice.Work{})
	return held.(*choice.Work)
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
