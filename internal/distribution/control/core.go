// Package control composes the state machines of one control daemon: the relay
// that serves its children, the uplink to a parent, the candidacy for a store
// reader slot and, while it holds one, the streams to the other readers. The
// readers have no root: each watches the store and subscribes to the others, so
// that a reader that lost the store still receives configuration, and endpoint
// states pass between the branches of the tree. Like its components, the core
// depends only on the current time and the input. It uses no goroutine, clock or
// socket and is not safe for concurrent use.
package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/reader"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Core is the state of one control daemon.
type Core struct {
	config   Config
	identity identity
	random   *rand.Rand

	members      []membership.Member
	upperMembers []membership.Member
	readerRank   int

	relay  *relay.Core
	reader *reader.Core
	uplink *subscriber.Core
	// peers holds the streams to the other readers, by node; it is empty
	// unless this daemon is a reader.
	peers map[string]*subscriber.Core

	// detachedAt is the time since which the daemon has had neither a slot nor
	// a parent; zero while it has one.
	detachedAt     time.Time
	startedAt      time.Time
	candidacyDueAt time.Time
	holdsSlot      bool
	// stopping is set once a planned stop began; the daemon then no longer
	// tries to acquire a slot.
	stopping bool
	outputs  Outputs
}

// New returns a core with an empty configuration. Members lists all control
// daemons, including this one.
func New(config Config, node distribution.Node, members []membership.Member, random *rand.Rand) *Core {
	core := &Core{
		config:  config,
		random:  random,
		members: members,
		relay:   relay.New(config.Relay, node),
		reader:  reader.New(config.Reader, random),
		peers:   map[string]*subscriber.Core{},
	}
	core.identity = identity{node: node, self: findMember(members, node)}
	core.uplink = core.newSubscriber()
	core.rankMembers()
	return core
}

func (c *Core) rankMembers() {
	c.readerRank = membership.ReaderRank(c.members, c.identity.node.Name)
	c.upperMembers = membership.UpperTier(c.members, c.config.RelaysPerZone, standbyFactor*c.config.Slots)
}

func findMember(members []membership.Member, node distribution.Node) membership.Member {
	at := slices.IndexFunc(members, func(m membership.Member) bool { return m.Name == node.Name })
	if at < 0 {
		return membership.Member{Name: node.Name, Zone: node.Zone, Region: node.Region}
	}
	return members[at]
}

func (c *Core) newSubscriber() *subscriber.Core {
	return subscriber.New(c.config.Subscriber, c.identity.node, distribution.ChildControl, projection.Entitlement{}, c.random)
}

// Start begins the search for a parent and, if the daemon is among the first
// candidates, for a reader slot.
func (c *Core) Start(now time.Time) Outputs {
	c.detachedAt, c.startedAt = now, now
	c.refreshParents(now)
	return c.finish(now)
}

// Members replaces the list of control daemons.
func (c *Core) Members(now time.Time, members []membership.Member) Outputs {
	c.members = members
	c.identity.self = findMember(members, c.identity.node)
	c.rankMembers()
	c.refreshParents(now)
	return c.finish(now)
}

// State returns the newest configuration.
func (c *Core) State() *resource.State { return c.relay.State() }

// Relay gives read access to the relay's state; its inputs go through Core.
func (c *Core) Relay() *relay.Core { return c.relay }

// HoldsReaderSlot reports whether the daemon believes that it holds a
// reader slot.
func (c *Core) HoldsReaderSlot() bool { return c.holdsSlot }

// Parent returns the parent that the daemon is attached to, or false if there
// is none.
func (c *Core) Parent() (subscriber.Parent, bool) { return c.uplink.Parent() }

// Tick performs all actions that are due.
func (c *Core) Tick(now time.Time) Outputs {
	c.applyRelayOutputs(now, c.relay.Tick(now))
	c.applyReaderOutputs(c.reader.Tick(now))
	c.applyUplinkOutputs(now, ParentUplink, c.uplink.Tick(now))
	for _, name := range c.peerNames() {
		c.applyUplinkOutputs(now, name, c.peers[name].Tick(now))
	}
	return c.finish(now)
}

// NextTick returns when Tick has to be called next; the zero time when nothing
// is due.
func (c *Core) NextTick() time.Time {
	next := earliest(c.relay.NextTick(), c.reader.NextTick())
	next = earliest(next, c.uplink.NextTick())
	next = earliest(next, c.candidacyDueAt)
	for _, peer := range c.peers {
		next = earliest(next, peer.NextTick())
	}
	return next
}

// Stop begins a planned stop: it releases the reader slot and asks the children
// to attach elsewhere.
func (c *Core) Stop(now time.Time) Outputs {
	c.stopping = true
	c.applyReaderOutputs(c.reader.Stop(now))
	c.applyRelayOutputs(now, c.relay.Goodbye(now))
	return c.finish(now)
}

// finish updates role, source and candidacy after an input and returns the
// collected outputs.
func (c *Core) finish(now time.Time) Outputs {
	c.updateRole(now)
	c.updateSource(now)
	c.updateCandidacy(now)
	outputs := c.outputs
	c.outputs = Outputs{}
	return outputs
}

// updateRole reacts to acquiring or losing a slot: a reader has peers and no
// parent, any other daemon has a parent and no peers.
func (c *Core) updateRole(now time.Time) {
	if c.holdsSlot == c.reader.Holding() {
		return
	}
	c.holdsSlot = c.reader.Holding()
	if !c.holdsSlot {
		c.clearOwnSlots(now)
		for _, name := range c.peerNames() {
			c.applyUplinkOutputs(now, name, c.peers[name].Detach(now))
			delete(c.peers, name)
		}
	}
	c.refreshParents(now)
}

// clearOwnSlots marks the slots that this daemon was known to hold as vacant, so
// that other daemons no longer treat it as a reader.
func (c *Core) clearOwnSlots(now time.Time) {
	var vacated []distribution.Reader
	for _, held := range c.relay.Readers() {
		if held.Node == c.identity.node.Name {
			held.Node, held.Address = "", ""
			vacated = append(vacated, held)
		}
	}
	c.applyRelayOutputs(now, c.relay.SetReaders(now, vacated))
}

// refreshParents recomputes the candidate parents, or the peers of a reader,
// from the members and the reader slots.
func (c *Core) refreshParents(now time.Time) {
	if c.holdsSlot {
		c.applyUplinkOutputs(now, ParentUplink, c.uplink.Detach(now))
		c.refreshPeers(now)
		return
	}
	parents := membership.DaemonParents(c.members, c.upperMembers, c.identity.self, c.config.RelaysPerZone, c.relay.Readers())
	c.applyUplinkOutputs(now, ParentUplink, c.uplink.Parents(now, parents))
}

func (c *Core) refreshPeers(now time.Time) {
	wanted := map[string]subscriber.Parent{}
	for _, held := range c.relay.Readers() {
		if held.Node != "" && held.Node != c.identity.node.Name {
			wanted[held.Node] = subscriber.Parent{Node: held.Node, Address: held.Address}
		}
	}
	for _, name := range c.peerNames() {
		if _, still := wanted[name]; !still {
			c.applyUplinkOutputs(now, name, c.peers[name].Detach(now))
			delete(c.peers, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		if c.peers[name] == nil {
			c.peers[name] = c.newSubscriber()
			c.peers[name].Applied(now, c.relay.State().Version())
		}
		c.applyUplinkOutputs(now, name, c.peers[name].Parents(now, []subscriber.Parent{wanted[name]}))
	}
}

func (c *Core) peerNames() []string { return slices.Sorted(maps.Keys(c.peers)) }

// updateSource informs the relay of this daemon's distance to a reader.
func (c *Core) updateSource(now time.Time) {
	source := distribution.Source{}
	if !c.holdsSlot {
		source = c.uplink.Source()
		source.Hops++
		source.Floor = 0
		if source.Detached {
			source.Hops = 0
		}
	}
	c.applyRelayOutputs(now, c.relay.SetSource(now, source))
	c.updateDetachedAt(now, source.Detached)
}

func (c *Core) updateDetachedAt(now time.Time, detached bool) {
	switch {
	case !detached:
		c.detachedAt = time.Time{}
	case c.detachedAt.IsZero():
		c.detachedAt = now
	}
}

// standbyFactor times the number of slots is the number of candidates; those
// beyond the first check for a free slot from time to time.
const standbyFactor = 2

// leadingStagger is the interval between the first attempts of the first
// candidates after a start. It prevents daemons that restart together from
// accessing the store at the same time: acquiring a slot and loading takes nine
// requests.
const leadingStagger = time.Second

// A daemon without a parent becomes a candidate after candidateDelay plus
// candidateStagger times its rank, so that daemons that lost their parents
// together do not access the store at the same time.
const (
	candidateDelay   = time.Second
	candidateStagger = 250 * time.Millisecond
)

// updateCandidacy decides whether this daemon tries to acquire a slot: the
// first candidates always do, the others once they have had no parent for some
// time.
func (c *Core) updateCandidacy(now time.Time) {
	c.applyReaderOutputs(c.reader.SetCandidacy(now, c.candidacy(now)))
}

func (c *Core) candidacy(now time.Time) reader.Candidacy {
	c.candidacyDueAt = time.Time{}
	if c.stopping {
		return reader.NotCandidate
	}
	if !c.detachedAt.IsZero() {
		at := c.detachedAt.Add(candidateDelay + time.Duration(c.readerRank)*candidateStagger)
		if !now.Before(at) {
			return reader.Urgent
		}
		c.candidacyDueAt = at
	}
	switch {
	case c.readerRank < c.config.Slots:
		return c.leadingCandidacy(now)
	case c.readerRank < standbyFactor*c.config.Slots:
		return reader.Standby
	default:
		return reader.NotCandidate
	}
}

// leadingCandidacy returns the candidacy of one of the first candidates, whose
// attempts after a start are staggered by rank.
func (c *Core) leadingCandidacy(now time.Time) reader.Candidacy {
	turn := c.startedAt.Add(time.Duration(c.readerRank) * leadingStagger)
	if now.Before(turn) {
		c.candidacyDueAt = earliest(c.candidacyDueAt, turn)
		return reader.NotCandidate
	}
	return reader.Leading
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
