package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/control"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/projection"
)

// node is one process: a control daemon or a proxy. What it holds in memory is
// made anew at each start.
type node struct {
	index  int
	name   string
	zone   string
	region string
	place  int

	alive bool
	// starts counts the starts; events meant for an earlier one are dropped.
	starts      int
	pausedUntil time.Duration
	// machineDown: the process is dead and nobody answers in its place.
	machineDown bool
	wasHolding  bool
	// delay is added to every message to and from the node.
	delay time.Duration
	// clockBack is how far the node's own clock is behind. Of the cores'
	// inputs only incarnations and what is compared to them depend on it.
	clockBack time.Duration
	poisoned  int
	wakeAt    time.Duration
	random    *rand.Rand

	// control is set at daemons, proxy at proxies.
	control  *control.Core
	proxy    *proxyProcess
	sessions map[relay.SessionID]*connection
	uplinks  map[string]*connection
	// slot is the reader slot the daemon believes to hold.
	slot  heldSlot
	watch *storeWatch

	traffic nodeTraffic
	// entitlement and service belong to the proxy's identity.
	entitlement projection.Entitlement
	service     string
	// upstream: the proxy has an endpoint beside it.
	upstream bool
}

func (n *node) hasProxies() bool {
	for _, connection := range n.sessions {
		if connection.child.proxy != nil {
			return true
		}
	}
	return false
}

func (n *node) identity() distribution.Node {
	return distribution.Node{Name: n.name, Incarnation: n.incarnation(), Zone: n.zone, Region: n.region}
}

func (n *node) incarnation() uint64 {
	return uint64(epoch.Add(-n.clockBack).UnixMilli()) + uint64(n.starts)
}

// start begins a new process of the node with empty memory.
func (w *World) start(n *node) {
	if n.alive {
		return
	}
	n.alive = true
	n.starts++
	n.wakeAt = 0
	n.pausedUntil = 0
	n.wasHolding = false
	n.watch = nil
	n.random = rand.New(rand.NewPCG(w.seed, uint64(n.index)<<32|uint64(n.starts)))
	n.sessions = map[relay.SessionID]*connection{}
	n.uplinks = map[string]*connection{}
	n.slot = heldSlot{}
	w.trace(traceStart, n.index, uint64(n.starts))
	if n.place == placeProxy {
		w.startProxy(n)
		return
	}
	n.control = control.New(w.controlConfig, n.identity(), w.members, n.random)
	w.runDaemon(n, n.control.Start(w.clock.time()))
}

// The places of a node.
const (
	placeDaemon = iota
	placeProxy
)

// kill ends the node's process. Silently means that its machine went with it,
// so that no peer is told.
func (w *World) kill(n *node, silently bool) {
	w.trace(traceKill, n.index, 0)
	if n.proxy != nil {
		w.checker.proxyGone(n)
	}
	n.alive = false
	for _, session := range sortedSessions(n.sessions) {
		w.dropEnd(session, endParent, silently)
	}
	for _, name := range sortedUplinks(n.uplinks) {
		w.dropEnd(n.uplinks[name], endChild, silently)
	}
	w.store.forget(n)
	n.sessions, n.uplinks = nil, nil
	if n.place == placeDaemon {
		w.checker.readersChanged()
	}
}

// deliver runs an input of a node's current process at a time, or when its
// pause ends, unless the process has ended by then.
func (w *World) deliver(n *node, at time.Duration, input func()) {
	start := n.starts
	var run func()
	run = func() {
		if !n.alive || n.starts != start {
			return
		}
		if w.clock.now < n.pausedUntil {
			w.clock.at(n.pausedUntil, run)
			return
		}
		input()
		w.wake(n)
	}
	w.clock.at(at, run)
}

// wake schedules the node's next tick. A tick already scheduled at or before
// that time stays; it finds nothing due and schedules the next.
func (w *World) wake(n *node) {
	next := w.nextTick(n)
	if next.IsZero() {
		return
	}
	at := next.Sub(epoch)
	if n.wakeAt > w.clock.now && n.wakeAt <= at {
		return
	}
	at = max(at, w.clock.now)
	n.wakeAt = at
	start := n.starts
	w.clock.at(at, func() { w.tickAt(n, start, at) })
}

func (w *World) tickAt(n *node, start int, at time.Duration) {
	if !n.alive || n.starts != start || n.wakeAt != at {
		return
	}
	if w.clock.now < n.pausedUntil {
		resume := n.pausedUntil
		n.wakeAt = resume
		w.clock.at(resume, func() { w.tickAt(n, start, resume) })
		return
	}
	n.wakeAt = 0
	if next := w.nextTick(n); !next.IsZero() && !next.After(w.clock.time()) {
		w.tick(n)
	}
	w.wake(n)
}

func (w *World) nextTick(n *node) time.Time {
	if n.proxy != nil && n.proxy.subscriber == nil {
		return time.Time{}
	}
	if n.proxy != nil {
		return n.proxy.subscriber.NextTick()
	}
	return n.control.NextTick()
}

func (w *World) tick(n *node) {
	if n.proxy != nil {
		w.runProxy(n, n.proxy.subscriber.Tick(w.clock.time()))
		return
	}
	w.runDaemon(n, n.control.Tick(w.clock.time()))
}

func (n *node) member() membership.Member {
	return membership.Member{Name: n.name, Zone: n.zone, Region: n.region, Address: n.name}
}
