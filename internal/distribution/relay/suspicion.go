package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// origin identifies where an endpoint's newest update came from: the session of
// a child, or the name of a parent or peer reader.
type origin struct {
	session SessionID
	parent  string
}

// suspect is a set of endpoints or summaries whose origin was lost.
type suspect struct {
	at        time.Time
	origin    origin
	updates   []endpoint.Update
	summaries []distribution.ZoneStatus
}

// leavingRetention is how long a machine listed as leaving is remembered until
// its process attaches. An attached process is told at once and keeps the state
// itself.
const leavingRetention = time.Minute

// MachineLeaving records that the platform lists a machine as leaving. The
// node's endpoints are declared draining immediately, or when its process
// attaches.
func (c *Core) MachineLeaving(now time.Time, node string) Outputs {
	maps.DeleteFunc(c.leaving, func(_ string, since time.Time) bool { return now.Sub(since) > leavingRetention })
	c.leaving[node] = now
	if session := c.byNode[node]; session != nil {
		c.declareLeaving(session)
	}
	return c.finish(now)
}

// isLeaving reports whether the session's process had started when the platform
// listed its machine as leaving. A process that started later is a successor
// and is not affected.
func (c *Core) isLeaving(now time.Time, session *session) bool {
	since, listed := c.leaving[session.node.Name]
	return listed && now.Sub(since) <= leavingRetention && session.node.Incarnation <= uint64(since.UnixMilli())
}

// declareLeaving declares a child's endpoints draining and tells the child,
// whose authority then maintains that state.
func (c *Core) declareLeaving(child *session) {
	for _, update := range c.updatesFrom(origin{session: child.id}) {
		if update.State.AcceptsWork() {
			declared := update.RelayOverride(endpoint.Draining)
			c.applyDeclaration(declared)
			c.reply(child, declared)
		}
	}
}

// ParentLost records that the stream from a parent or peer reader ended. A
// store reader then suspects the endpoints that it knows only from that peer.
func (c *Core) ParentLost(now time.Time, parent string) Outputs {
	lost := suspect{origin: origin{parent: parent}, at: now.Add(2 * c.config.RelaySuspicionTimeout)}
	if c.isStoreReader() {
		lost.updates = c.updatesFrom(lost.origin)
	}
	lost.summaries = c.status.summariesFrom(lost.origin)
	if len(lost.updates)+len(lost.summaries) > 0 {
		c.suspects = append(c.suspects, lost)
	}
	return c.finish(now)
}

// suspectEndpointsOf starts the suspicion of the endpoints last reported
// through a closed session.
func (c *Core) suspectEndpointsOf(now time.Time, gone *session) {
	lost := suspect{origin: origin{session: gone.id}, at: now.Add(c.suspicionTimeout(gone))}
	lost.updates = c.updatesFrom(lost.origin)
	if len(lost.updates) > 0 {
		c.suspects = append(c.suspects, lost)
	}
}

func (c *Core) suspicionTimeout(gone *session) time.Duration {
	if gone.kind == distribution.ChildProxy {
		return c.config.ProxySuspicionTimeout
	}
	return c.config.RelaySuspicionTimeout
}

// updatesFrom returns the endpoints of an origin that are not down, sorted by
// id.
func (c *Core) updatesFrom(from origin) []endpoint.Update {
	var updates []endpoint.Update
	for id, held := range c.origins {
		update, _ := c.endpoints.Get(id)
		if held == from && update.State != endpoint.Down {
			updates = append(updates, update)
		}
	}
	slices.SortFunc(updates, func(a, b endpoint.Update) int { return a.ID.Compare(b.ID) })
	return updates
}

// confirmEndpoint ends the suspicion of an endpoint that a parent or peer,
// whose stream had ended, reports again on a new stream.
func (c *Core) confirmEndpoint(from origin, id endpoint.ID) {
	for i := range c.suspects {
		if c.suspects[i].origin == from {
			c.suspects[i].updates = slices.DeleteFunc(c.suspects[i].updates, func(u endpoint.Update) bool { return u.ID == id })
		}
	}
}

// confirmSummary ends the suspicion of a summary in the same way.
func (c *Core) confirmSummary(from origin, key zoneKey) {
	for i := range c.suspects {
		if c.suspects[i].origin == from {
			c.suspects[i].summaries = slices.DeleteFunc(c.suspects[i].summaries, func(s distribution.ZoneStatus) bool {
				return s.Zone == key.zone && s.Relay == key.relay
			})
		}
	}
}

// expireSuspects declares down the suspected endpoints that were not reported
// again in time, and retires the suspected summaries that were not renewed.
func (c *Core) expireSuspects(now time.Time) {
	var waiting []suspect
	for _, suspect := range c.suspects {
		if now.Before(suspect.at) {
			waiting = append(waiting, suspect)
			continue
		}
		for _, update := range suspect.updates {
			c.expireEndpoint(suspect.origin, update)
		}
		for _, summary := range suspect.summaries {
			c.status.expire(now, suspect.origin, summary)
		}
	}
	c.suspects = waiting
}

func (c *Core) expireEndpoint(from origin, update endpoint.Update) {
	held, _ := c.endpoints.Get(update.ID)
	if c.origins[update.ID] == from && held.Compare(update) == 0 {
		c.applyDeclaration(held.RelayOverride(endpoint.Down))
	}
}

func (c *Core) applyDeclaration(update endpoint.Update) {
	c.endpoints.Merge(update)
	c.upward[update.ID] = struct{}{}
	c.broadcast(update, nil)
}
