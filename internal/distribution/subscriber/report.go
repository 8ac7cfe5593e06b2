package subscriber

import (
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// Applied reports that a version has been applied. After Outputs.Apply it must
// be called before the next Received. Control children do not acknowledge
// versions, since they do not enforce the configuration.
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

// ackDelay returns a random delay for the acknowledgement of new content.
func (c *Core) ackDelay() time.Duration {
	return time.Duration(c.random.Int64N(int64(c.config.AckWindow) + 1))
}

// lazyAckDelay returns a random delay for the acknowledgement of a version that
// did not change the content.
func (c *Core) lazyAckDelay() time.Duration {
	return c.config.AckWindow + time.Duration(c.random.Int64N(int64(c.config.LazyAckWindow)+1))
}

// ApplyFailed reports that the snapshot of Outputs.Apply could not be applied and
// that the previous one is still active. Because the cause may be temporary, the
// snapshot is offered again after ApplyRetryDelay unless newer content arrives
// first.
func (c *Core) ApplyFailed(now time.Time, failure distribution.ApplyFailure) Outputs {
	c.offered = nil
	c.reapplyAt = now.Add(c.config.ApplyRetryDelay)
	c.recordFailure(now, failure)
	return c.takeOutputs(now)
}

// recordFailure stores a failure and reports it at once, unless it is the same as
// the last one.
func (c *Core) recordFailure(now time.Time, failure distribution.ApplyFailure) {
	unchanged := c.failure != nil && *c.failure == failure
	c.failure = &failure
	if !unchanged {
		c.scheduleReport(now)
	}
}

// EndpointChanged merges new states of the child's own endpoints and reports
// the changes to the parent at once.
func (c *Core) EndpointChanged(now time.Time, updates []endpoint.Update) Outputs {
	for _, update := range updates {
		if c.ownEndpoints.Merge(update) {
			c.queueEndpoint(update)
			c.scheduleReport(now)
		}
	}
	return c.takeOutputs(now)
}

// Forward queues the endpoint states and zone statuses that the relay of a
// control child reports to the parent.
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

// queueEndpoint adds a state to the next report, replacing an earlier state of
// the same endpoint. During a connection attempt the hello has already been sent
// without it, so it is kept for the first report.
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

// queueZoneStatus adds a zone status to the next report, replacing an earlier one
// of the same zone and relay.
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

// scheduleReport schedules the next report no later than the given time.
func (c *Core) scheduleReport(at time.Time) {
	if c.phase == attached && (c.reportAt.IsZero() || at.Before(c.reportAt)) {
		c.reportAt = at
	}
}

// keepAliveDelay returns the time until the next report if nothing else is due.
// It is random, between three quarters of KeepAlive and KeepAlive, so that
// children that started together do not keep reporting at the same time.
func (c *Core) keepAliveDelay() time.Duration {
	return c.config.KeepAlive - time.Duration(c.random.Int64N(int64(c.config.KeepAlive)/4+1))
}

// flushReport returns the report if it is due. If a report is lost the stream
// ends, and the next hello and attach repeat its content.
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
