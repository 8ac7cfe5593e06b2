package relay

import (
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

// rebuildOwnSummaries reduces the attached proxies to one summary per zone and
// queues the summaries that changed. With forced set, it stamps and queues all
// of them.
func (c *Core) rebuildOwnSummaries(now time.Time, forced bool) {
	c.status.ownAt, c.status.ownAhead = time.Time{}, false
	summaries := map[string]*distribution.ZoneStatus{}
	for _, session := range c.order {
		if session.kind == distribution.ChildProxy {
			c.addToSummary(summaries, session)
		}
	}
	for key := range c.status.held {
		if key.relay == c.node.Name && summaries[key.zone] == nil {
			summaries[key.zone] = &distribution.ZoneStatus{Zone: key.zone, Relay: c.node.Name}
		}
	}
	c.status.stamp = max(c.status.stamp+1, uint64(now.UnixMilli()))
	for zone, summary := range summaries {
		c.replaceOwn(zoneKey{zone, c.node.Name}, *summary, forced)
	}
	if len(c.status.changed) > 0 {
		c.status.schedule(now)
	}
}

// refreshLaggards schedules the summaries anew once children that have not
// reported the newest version count as laggards.
func (c *Core) refreshLaggards(now time.Time) {
	if due(now, c.status.laggardsAt) {
		c.status.laggardsAt = time.Time{}
		c.scheduleOwnSummaries(now)
	}
}

func (c *Core) replaceOwn(key zoneKey, summary distribution.ZoneStatus, forced bool) {
	if held, known := c.status.held[key]; known && !forced && sameSummary(held.summary, summary) {
		return
	}
	summary.Stamp = c.status.stamp
	c.status.held[key] = heldStatus{summary: summary}
	c.status.changed[key] = struct{}{}
	c.status.upward[key] = struct{}{}
	c.raiseFloor(key.zone, summary.Highest)
}

func (c *Core) addToSummary(summaries map[string]*distribution.ZoneStatus, session *session) {
	// A version that the relay has not reached is only a claim and not reported
	// as in force.
	applied := min(session.applied, c.state.Version())
	c.status.ownAhead = c.status.ownAhead || applied < session.applied
	summary := summaries[session.node.Zone]
	if summary == nil {
		summary = &distribution.ZoneStatus{Zone: session.node.Zone, Relay: c.node.Name, Lowest: applied}
		summaries[session.node.Zone] = summary
	}
	summary.Proxies++
	summary.FirstExpiry = summary.FirstExpiry.Earlier(session.expiry)
	summary.Lowest = min(summary.Lowest, applied)
	summary.Highest = max(summary.Highest, applied)
	if applied < c.state.Version() && len(summary.Laggards) < c.config.MaximumLaggards {
		laggard := distribution.Laggard{Node: session.node.Name, Applied: applied, Failure: session.failure}
		summary.Laggards = append(summary.Laggards, laggard)
	}
}

func sameSummary(a, b distribution.ZoneStatus) bool {
	if a.Proxies != b.Proxies || a.Lowest != b.Lowest || a.Highest != b.Highest || !a.FirstExpiry.Same(b.FirstExpiry) {
		return false
	}
	return slices.EqualFunc(a.Laggards, b.Laggards, func(a, b distribution.Laggard) bool {
		return a.Node == b.Node && a.Applied == b.Applied && sameFailure(a.Failure, b.Failure)
	})
}

func sameFailure(a, b *distribution.ApplyFailure) bool {
	return a == b || (a != nil && b != nil && *a == *b)
}

// sourceFor returns the source description that this relay sends to its
// children.
func (c *Core) sourceFor() distribution.Source {
	source := c.source
	if source.Floor <= c.state.Version() {
		source.Floor = 0
	}
	return source
}
