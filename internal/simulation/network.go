package simulation

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
)

// userTimeout is how long the parent's kernel goes on without an
// acknowledgement of what it sent before it ends a connection.
const userTimeout = 10 * time.Second

// network knows the delays and which zones are cut from each other.
type network struct {
	scenario *Scenario
	zones    map[string]Zone
	random   *rand.Rand
	// isolated counts, by zone or region name, the partitions in force.
	isolated map[string]int
	world    *World
}

// delay returns the one-way delay between two zones, without jitter.
func (n *network) delay(from, to string) time.Duration {
	switch {
	case from == to:
		return time.Duration(n.scenario.Latency.SameZone)
	case n.zones[from].Region == n.zones[to].Region:
		return time.Duration(n.scenario.Latency.SameRegion)
	default:
		return time.Duration(n.scenario.Latency.CrossRegion)
	}
}

// jitter returns the delay with a random part of at most JitterPercent.
func (n *network) jitter(delay time.Duration) time.Duration {
	most := int64(delay) * int64(n.scenario.Latency.JitterPercent) / 100
	if most <= 0 {
		return delay
	}
	return delay + time.Duration(n.random.Int64N(most))
}

// between returns the delay of one message between two nodes.
func (n *network) between(from, to *node) time.Duration {
	return n.jitter(n.delay(from.zone, to.zone)) + from.delay + to.delay
}

// cut reports whether two zones can't reach each other.
func (n *network) cut(a, b string) bool {
	if len(n.isolated) == 0 || a == b {
		return false
	}
	for name := range n.isolated {
		if n.lies(a, name) != n.lies(b, name) {
			return true
		}
	}
	return false
}

func (n *network) lies(zone, name string) bool { return zone == name || n.zones[zone].Region == name }

// isolate cuts a zone or region from the rest, breaks the streams that cross
// the cut, and returns what heals it.
func (n *network) isolate(name string) func() {
	n.isolated[name]++
	for _, connection := range n.world.connections() {
		if n.cut(connection.child.zone, connection.parent.zone) {
			n.world.breakSilently(connection)
		}
	}
	return func() {
		n.isolated[name]--
		if n.isolated[name] == 0 {
			delete(n.isolated, name)
		}
	}
}

type end int

const (
	endChild end = iota
	endParent
)

// connection is one stream between a child and a parent.
type connection struct {
	child  *node
	parent *node
	uplink string
	// session is zero until the parent accepted.
	session relay.SessionID
	// closed by end: that end no longer takes part. broken: nothing arrives
	// any more and neither end has been told.
	closed [2]bool
	broken bool
	// lastDown and lastUp keep each direction in order.
	lastDown, lastUp time.Duration
	// floor is what the parent knew to be in force in the child's zone when
	// it answered the hello.
	floor uint64
	sizer streamSizer
}

func (w *World) connections() []*connection {
	var list []*connection
	for _, node := range w.nodes {
		for _, name := range sortedUplinks(node.uplinks) {
			list = append(list, node.uplinks[name])
		}
	}
	return list
}

func sortedUplinks(uplinks map[string]*connection) []string { return slices.Sorted(maps.Keys(uplinks)) }

func sortedSessions(sessions map[relay.SessionID]*connection) []*connection {
	list := make([]*connection, 0, len(sessions))
	for _, id := range slices.Sorted(maps.Keys(sessions)) {
		list = append(list, sessions[id])
	}
	return list
}

// breakSilently stops a stream without telling its ends: the child finds out
// by silence, the parent when its kernel gives up.
func (w *World) breakSilently(c *connection) {
	if c.broken {
		return
	}
	c.broken = true
	if c.session != 0 {
		w.deliver(c.parent, w.clock.now+userTimeout, func() { w.parentLost(c) })
	}
}

// cutConnections breaks every stream of a node and tells both ends.
func (w *World) cutConnections(n *node) {
	cut := append(sortedSessions(n.sessions), w.uplinksOf(n)...)
	for _, c := range cut {
		c.broken = true
		w.deliver(c.child, w.clock.now, func() { w.childLost(c) })
		w.deliver(c.parent, w.clock.now, func() { w.parentLost(c) })
	}
}

func (w *World) uplinksOf(n *node) []*connection {
	var list []*connection
	for _, name := range sortedUplinks(n.uplinks) {
		list = append(list, n.uplinks[name])
	}
	return list
}

// dropEnd ends one end of a stream. Unless it happens silently or the two
// can't reach each other, the other end is told.
func (w *World) dropEnd(c *connection, which end, silently bool) {
	if c.closed[which] {
		return
	}
	c.closed[which] = true
	if c.broken {
		return
	}
	if silently || w.network.cut(c.child.zone, c.parent.zone) {
		w.breakSilently(c)
		return
	}
	if which == endParent {
		at := max(w.clock.now+w.network.between(c.parent, c.child), c.lastDown)
		w.deliver(c.child, at, func() { w.childLost(c) })
		return
	}
	at := max(w.clock.now+w.network.between(c.child, c.parent), c.lastUp)
	w.deliver(c.parent, at, func() { w.parentLost(c) })
}
