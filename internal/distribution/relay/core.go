// Package relay implements the parent's side of a configuration stream as a
// deterministic state machine. It holds the configuration, computes the content
// for each entitlement class of children, keeps at most one message in flight
// per child with only the newest state queued behind it, and aggregates the
// children's reports. Every control daemon uses it, regardless of what its own
// parent is. The package has no goroutine, clock, socket or random source and
// is not safe for concurrent use.
package relay

import (
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Core is the state of one relay.
type Core struct {
	config Config
	node   distribution.Node

	state *resource.State
	// tail holds the latest entries without gaps. The last one has the state's
	// version.
	tail    []resource.Entry
	classes map[string]*class
	shared  sharedMessages
	// heartbeatMessage is the empty message sent to idle sessions.
	heartbeatMessage *distribution.Message

	sessions map[SessionID]*session
	// order lists the sessions by id, so that outputs do not depend on map
	// iteration order.
	order []*session
	// byNode maps a node's name to the session of its latest incarnation.
	byNode    map[string]*session
	snapshots int
	refused   int

	endpoints *endpoint.Table
	origins   map[endpoint.ID]origin
	suspects  []suspect
	notices   []notice
	// leaving records, by node, when the platform listed its machine as
	// leaving.
	leaving map[string]time.Time
	// upward holds endpoints learned from children and not yet reported to the
	// parent.
	upward map[endpoint.ID]struct{}
	// contested holds down declarations to be sent to the parent, so that the
	// endpoint's authority can refute them.
	contested []endpoint.Update
	disputes  []dispute

	source  distribution.Source
	readers []distribution.Reader
	status  statusBoard
	claims  claims

	flushAt     time.Time
	heartbeatAt time.Time
	refusedAt   time.Time
	outputs     Outputs
}

// New returns a relay that holds no configuration.
func New(config Config, node distribution.Node) *Core {
	if config.Project == nil {
		config.Project = projection.Project
	}
	return &Core{
		config:           config,
		node:             node,
		state:            resource.NewState(),
		classes:          map[string]*class{},
		heartbeatMessage: &distribution.Message{},
		sessions:         map[SessionID]*session{},
		byNode:           map[string]*session{},
		endpoints:        endpoint.NewTable(),
		origins:          map[endpoint.ID]origin{},
		leaving:          map[string]time.Time{},
		upward:           map[endpoint.ID]struct{}{},
		source:           distribution.Source{Detached: true},
		status:           newStatusBoard(),
		claims:           newClaims(),
	}
}

// State returns the newest configuration held.
func (c *Core) State() *resource.State { return c.state }

// Sessions returns the number of attached children.
func (c *Core) Sessions() int { return len(c.sessions) }

// Source returns the relay's last known distance to a store reader.
func (c *Core) Source() distribution.Source { return c.source }

// Readers returns the reader slots known to be held.
func (c *Core) Readers() []distribution.Reader { return slices.Clone(c.readers) }

// Restore replaces the configuration by a checkpoint from the parent or the
// store. A checkpoint whose version is not above the version held is ignored.
func (c *Core) Restore(now time.Time, checkpoint distribution.Checkpoint) Outputs {
	if checkpoint.Version > c.state.Version() {
		c.state = resource.Restore(checkpoint.Version, checkpoint.Resources)
		c.tail = nil
		for _, class := range c.classes {
			class.rebuild(c)
		}
		c.contentChanged(now)
	}
	return c.finish(now)
}

// Advance applies accepted entries. Entries already held are skipped, and so
// are those after a gap. State().Version() tells the caller where to resume.
func (c *Core) Advance(now time.Time, entries []resource.Entry) Outputs {
	before := c.state.Version()
	for _, entry := range entries {
		c.advanceOne(entry)
	}
	if c.state.Version() != before {
		c.contentChanged(now)
	}
	return c.finish(now)
}

func (c *Core) advanceOne(entry resource.Entry) {
	next, advanced := c.state.Advance(entry)
	if !advanced {
		return
	}
	c.state = next
	c.tail = append(c.tail, entry)
	if len(c.tail) > 2*c.config.HistoryLength {
		c.tail = slices.Clone(c.tail[len(c.tail)-c.config.HistoryLength:])
	}
	for _, class := range c.classes {
		class.advance(c, entry)
	}
}

// contentChanged schedules the messages to the children: immediately or, at a
// store reader with a batch window, at the end of the window.
func (c *Core) contentChanged(now time.Time) {
	c.shared.reset()
	c.status.laggardsAt = now.Add(c.config.LaggardDelay)
	c.resolveReachedClaims(now)
	c.updateSourceFloor()
	if c.status.ownAhead {
		c.scheduleOwnSummaries(now)
	}
	if c.flushAt.IsZero() {
		c.flushAt = now
		if c.isStoreReader() {
			c.flushAt = now.Add(c.config.BatchWindow)
		}
	}
}

// SetSource sets the relay's own distance to a store reader. The Floor field is
// ignored, because the relay computes it itself.
func (c *Core) SetSource(now time.Time, source distribution.Source) Outputs {
	source.Floor = c.source.Floor
	if source != c.source {
		found := c.source.Detached && !source.Detached
		c.source = source
		c.sourceChanged()
		if found {
			c.renewClaims(now)
		}
	}
	return c.finish(now)
}

func (c *Core) sourceChanged() {
	for _, session := range c.order {
		session.sourceDue = true
		c.sendPending(session)
	}
}

// SetReaders merges the reader slots that are held. For each slot the record
// with the higher revision wins. Readers returns the merged result.
func (c *Core) SetReaders(now time.Time, readers []distribution.Reader) Outputs {
	if merged, changed := mergeReaders(c.readers, readers); changed {
		c.readers = merged
		for _, session := range c.order {
			session.readersDue = session.kind == distribution.ChildControl
			c.sendPending(session)
		}
	}
	return c.finish(now)
}

func mergeReaders(held, offered []distribution.Reader) ([]distribution.Reader, bool) {
	merged, changed := slices.Clone(held), false
	for _, reader := range offered {
		at := slices.IndexFunc(merged, func(r distribution.Reader) bool { return r.Slot == reader.Slot })
		switch {
		case at < 0:
			merged, changed = append(merged, reader), true
		case supersedesReader(reader, merged[at]):
			merged[at], changed = reader, true
		}
	}
	slices.SortFunc(merged, func(a, b distribution.Reader) int { return a.Slot - b.Slot })
	return merged, changed
}

// supersedesReader reports whether one record of a slot replaces another: it
// has a higher revision, or it has the same revision and says that the slot was
// released.
func supersedesReader(offered, held distribution.Reader) bool {
	if offered.Revision != held.Revision {
		return offered.Revision > held.Revision
	}
	return offered.Node == "" && held.Node != ""
}

// Goodbye asks every child to move to another parent. It is used before a
// planned stop.
func (c *Core) Goodbye(now time.Time) Outputs {
	for _, session := range c.order {
		session.goodbyeDue = true
		c.sendPending(session)
	}
	return c.finish(now)
}

// Tick performs all work that is due at now.
func (c *Core) Tick(now time.Time) Outputs {
	c.expireSuspects(now)
	c.resendNotices(now)
	c.resolveDisputes(now)
	if due(now, c.claims.dueAt) {
		c.recomputeClaimFloors(now)
	}
	if due(now, c.heartbeatAt) {
		c.heartbeat(now)
	}
	return c.finish(now)
}

// NextTick returns when Tick must be called next, or the zero time if nothing
// is scheduled.
func (c *Core) NextTick() time.Time {
	next := earliest(c.flushAt, c.heartbeatAt)
	next = earliest(next, c.status.dueAt)
	next = earliest(next, c.status.ownAt)
	next = earliest(next, c.status.releaseAt)
	next = earliest(next, c.status.laggardsAt)
	next = earliest(next, c.claims.dueAt)
	for _, suspect := range c.suspects {
		next = earliest(next, suspect.at)
	}
	for _, notice := range c.notices {
		next = earliest(next, notice.at)
	}
	for _, dispute := range c.disputes {
		next = earliest(next, dispute.at)
	}
	return next
}

// finish flushes what is due at now and returns the collected outputs.
func (c *Core) finish(now time.Time) Outputs {
	if due(now, c.flushAt) {
		c.flushAt = time.Time{}
		for _, session := range c.order {
			c.sendPending(session)
		}
	}
	c.refreshLaggards(now)
	c.flushStatus(now)
	c.releaseDue(now)
	c.reportEndpoints()
	if len(c.order) > 0 && c.heartbeatAt.IsZero() {
		c.heartbeatAt = now.Add(c.config.Heartbeat)
	}
	outputs := c.outputs
	c.outputs = Outputs{}
	for _, send := range outputs.Sends {
		if session := c.sessions[send.Session]; session != nil {
			session.inFlightSince = now
		}
	}
	return outputs
}

func due(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
