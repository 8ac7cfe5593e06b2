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
	window := c.ackWindow()
	if c.offered != nil && c.offered.Version == version {
		if c.inForce != nil && c.inForce.Digest == c.offered.Digest {
			window = c.lazyWindow()
		}
		c.inForce, c.offered = c.offered, nil
	}
	if version > c.version {
		c.version = version
		c.failure = nil
		if c.kind == distribution.ChildProxy {
			c.dueReport(now.Add(window))
		}
	}
	return c.finish(now)
}

// ackWindow draws the wait of an acknowledgement of new content.
func (c *Core) ackWindow() time.Duration {
	return time.Duration(c.random.Int64N(int64(c.config.AckWindow) + 1))
}

func (c *Core) lazyWindow() time.Duration {
	return c.config.AckWindow + time.Duration(c.random.Int64N(int64(c.config.LazyAckWindow)+1))
}

// ApplyFailed says that what Apply handed out was refused; what was in force
// before still is. The cause may pass, so it is offered again after a while
// unless newer content comes first.
func (c *Core) ApplyFailed(now time.Time, failure distribution.ApplyFailure) Outputs {
	c.offered = nil
	c.applyAt = now.Add(c.config.ApplyRetryDelay)
	c.fail(now, failure)
	return c.finish(now)
}

func (c *Core) fail(now time.Time, failure distribution.ApplyFailure) {
	known := c.failure != nil && *c.failure == failure
	c.failure = &failure
	if !known {
		c.dueReport(now)
	}
}

// EndpointChanged takes in new states of the child's own endpoints, which go
// to the parent at once.
func (c *Core) EndpointChanged(now time.Time, updates []endpoint.Update) Outputs {
	for _, update := range updates {
		if c.own.Merge(update) {
			c.pendEndpoint(update)
			c.dueReport(now)
		}
	}
	return c.finish(now)
}

// Forward takes in what the control child's own relay has to tell the parent.
func (c *Core) Forward(now time.Time, report distribution.Report) Outputs {
	for _, update := range report.Endpoints {
		c.pendEndpoint(update)
	}
	for _, summary := range report.Zones {
		c.pendSummary(summary)
	}
	if c.phase == attached && len(report.Endpoints)+len(report.Zones) > 0 {
		c.dueReport(now)
	}
	return c.finish(now)
}

// pendEndpoint queues a state for the next report. While an attempt is under
// way its hello has left without it, so it is kept for the first report.
func (c *Core) pendEndpoint(update endpoint.Update) {
	if c.phase == idle {
		return
	}
	at := slices.IndexFunc(c.pending.Endpoints, func(u endpoint.Update) bool { return u.ID == update.ID })
	if at < 0 {
		c.pending.Endpoints = append(c.pending.Endpoints, update)
		return
	}
	c.pending.Endpoints[at] = update
}

func (c *Core) pendSummary(summary distribution.ZoneStatus) {
	if c.phase == idle {
		return
	}
	at := slices.IndexFunc(c.pending.Zones, func(z distribution.ZoneStatus) bool {
		return z.Zone == summary.Zone && z.Relay == summary.Relay
	})
	if at < 0 {
		c.pending.Zones = append(c.pending.Zones, summary)
		return
	}
	c.pending.Zones[at] = summary
}

// dueReport moves the next report to a time, unless it is due earlier.
func (c *Core) dueReport(at time.Time) {
	if c.phase == attached && (c.reportAt.IsZero() || at.Before(c.reportAt)) {
		c.reportAt = at
	}
}

// keepAlive draws the time to the next report when nothing else is due, between
// three quarters and the whole of KeepAlive, so that children that began
// together do not go on reporting together.
func (c *Core) keepAlive() time.Duration {
	return c.config.KeepAlive - time.Duration(c.random.Int64N(int64(c.config.KeepAlive)/4+1))
}

// flushReport hands out the report when it is due. A report that is lost ends
// the stream, and the next hello and attach repeat what it said.
func (c *Core) flushReport(now time.Time) {
	if c.phase != attached || !due(now, c.reportAt) {
		return
	}
	report := c.pending
	report.Node, report.Applied, report.Failure = c.node, c.version, c.failure
	c.pending = distribution.Report{}
	c.outputs.Report = &report
	c.reportAt = now.Add(c.keepAlive())
}
