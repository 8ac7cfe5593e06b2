package subscriber

import (
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// Applied says that a version is in force. For what Apply handed out it must
// follow before the next Received. Control children do not acknowledge: nothing
// is enforced there.
func (c *Core) Applied(now time.Time, version uint64) Outputs {
	delay := c.ackDelay()
	if c.offered != nil && c.offered.Version == version {
		if c.active != nil && c.active.Digest == c.offered.Digest {
			delay = c.lazyAckDelay()
		}
		c.active, c.offered = c.offered, nil
	}
	if version > c.version {
		c.version = version
		c.failure = nil
		if c.kind == distribution.ChildProxy {
			c.scheduleReport(now.Add(delay))
		}
	}
	return c.takeOutputs(now)
}

// ackDelay draws the wait of an acknowledgement of new content.
func (c *Core) ackDelay() time.Duration {
	return time.Duration(c.random.Int64N(int64(c.config.AckWindow) + 1))
}

func (c *Core) lazyAckDelay() time.Duration {
	return c.config.AckWindow + time.Duration(c.random.Int64N(int64(c.config.LazyAckWindow)+1))
}

// ApplyFailed says that what Apply handed out was refused; what was in force
// before still is. The cause may pass, so it is offered again after a while
// unless newer content comes first.
func (c *Core) ApplyFailed(now time.Time, failure distribution.ApplyFailure) Outputs {
	c.offered = nil
	c.reapplyAt = now.Add(c.config.ApplyRetryDelay)
	c.recordFailure(now, failure)
	return c.takeOutputs(now)
}

func (c *Core) recordFailure(now time.Time, failure distribution.ApplyFailure) {
	unchanged := c.failure != nil && *c.failure == failure
	c.failure = &failure
	if !unchanged {
		c.scheduleReport(now)
	}
}

// EndpointChanged takes in new states of the child's own endpoints, which go
// to the parent at once.
func (c *Core) EndpointChanged(now time.Time, updates []endpoint.Update) Outputs {
	for _, update := range updates {
		if c.ownEndpoints.Merge(update) {
			c.queueEndpoint(update)
			c.scheduleReport(now)
		}
	}
	return c.takeOutputs(now)
}

// Forward takes in what the control child's own relay has to tell the parent.
func (c *Core) Forward(now time.Time, report distribution.Report) Outputs {
	for _, update := range report.Endpoints {
		c.queueEndpoint(update)
	}
	for _, status := range report.Zones {
		c.queueZoneStatus(status)
	}
	if c.phase == attached && len(report.Endpoints)+len(report.Zones) > 0 {
		c.scheduleReport(now)
	}
	return c.takeOutputs(now)
}

// queueEndpoint queues a state for the next report. While an attempt is under
// way its hello has left without it, so it is kept for the first report.
func (c *Core) queueEndpoint(update endpoint.Update) {
	if c.phase == idle {
		return
	}
	at := slices.IndexFunc(c.pendingReport.Endpoints, func(u endpoint.Update) bool { return u.ID == update.ID })
	if at < 0 {
		c.pendingReport.Endpoints = append(c.pendingReport.Endpoints, update)
		return
	}
	c.pendingReport.Endpoints[at] = update
}

func (c *Core) queueZoneStatus(status distribution.ZoneStatus) {
	if c.phase == idle {
		return
	}
	at := slices.IndexFunc(c.pendingReport.Zones, func(z distribution.ZoneStatus) bool {
		return z.Zone == status.Zone && z.Relay == status.Relay
	})
	if at < 0 {
		c.pendingReport.Zones = append(c.pendingReport.Zones, status)
		return
	}
	c.pendingReport.Zones[at] = status
}

// scheduleReport moves the next report to a time, unless it is due earlier.
func (c *Core) scheduleReport(at time.Time) {
	if c.phase == attached && (c.reportAt.IsZero() || at.Before(c.reportAt)) {
		c.reportAt = at
	}
}

// keepAliveDelay draws the time to the next report when nothing else is due, between
// three quarters and the whole of KeepAlive, so that children that began
// together do not go on reporting together.
func (c *Core) keepAliveDelay() time.Duration {
	return c.config.KeepAlive - time.Duration(c.random.Int64N(int64(c.config.KeepAlive)/4+1))
}

// flushReport hands out the report when it is due. A report that is lost ends
// the stream, and the next hello and attach repeat what it said.
func (c *Core) flushReport(now time.Time) {
	if c.phase != attached || !isDue(now, c.reportAt) {
		return
	}
	report := c.pendingReport
	report.Node, report.Applied, report.Failure = c.node, c.version, c.failure
	c.pendingReport = distribution.Report{}
	c.outputs.Report = &report
	c.reportAt = now.Add(c.keepAliveDelay())
}
