package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// The hollow data path: non-repeatable calls with the one rule that matters
// here, that only a call proven not run is tried again. The real data path has
// tests of its own in internal/proxy.

// drainAccept is how long a draining back end's proxy goes on accepting: until
// its announcement must have arrived everywhere.
const drainAccept = 2 * time.Second

// callRetry is the wait before a call that was not run is tried again.
const callRetry = 20 * time.Millisecond

// callAttempts is the most attempts of one call.
const callAttempts = 4

type call struct {
	id       string
	caller   *node
	start    int
	attempts int
}

func (w *World) scheduleCalls(n *node) {
	interval := time.Duration(w.scenario.Calls.Interval)
	if interval == 0 {
		return
	}
	start := n.starts
	w.clock.after(exponential(w.loadRandom, interval), func() {
		if !n.alive || n.starts != start {
			return
		}
		if w.clock.now >= n.pausedUntil {
			n.proxy.nextCall++
			w.attempt(&call{id: fmt.Sprintf("%s/%d/%d", n.name, n.starts, n.proxy.nextCall), caller: n, start: start})
		}
		w.scheduleCalls(n)
	})
}

// attempt sends a call to an endpoint that may take new work.
func (w *World) attempt(c *call) {
	if !c.caller.alive || c.caller.starts != c.start {
		return
	}
	c.attempts++
	w.count.calls++
	target := w.chooseEndpoint(c.caller)
	if target == nil {
		w.notRun(c)
		return
	}
	if w.network.cut(c.caller.zone, target.zone) {
		// The connection can't be opened: nothing was written.
		w.clock.after(callRetry, func() { w.notRun(c) })
		return
	}
	w.clock.after(w.network.between(c.caller, target), func() { w.arriveCall(c, target) })
}

func (w *World) chooseEndpoint(caller *node) *node {
	if caller.proxy.inForce == nil || len(caller.proxy.inForce.Services) == 0 {
		return nil
	}
	service := serviceName(w.loadRandom.IntN(w.scenario.Services))
	candidates := caller.mayCall(service, w.mutation)
	if len(candidates) == 0 {
		return nil
	}
	return w.byName[candidates[w.loadRandom.IntN(len(candidates))].ID.Name]
}

// arriveCall has the call reach the proxy beside the back end, which refuses
// it before passing it on, or runs it.
func (w *World) arriveCall(c *call, target *node) {
	if !target.alive {
		w.clock.after(w.network.between(target, c.caller), func() { w.notRun(c) })
		return
	}
	start := target.starts
	w.deliver(target, w.clock.now, func() {
		since := w.clock.now - target.proxy.drainingAt
		leaving := target.proxy.draining && since >= drainAccept
		if leaving && w.mutation != MutationWorkWhileDraining {
			w.clock.after(w.network.between(target, c.caller), func() { w.notRun(c) })
			return
		}
		w.checker.ran(target, c.id, leaving)
		w.answer(c, target, start)
	})
}

// answer returns a call's answer unless the back end or the way back is lost
// meanwhile; the caller then does not know the outcome.
func (w *World) answer(c *call, target *node, start int) {
	w.clock.after(w.network.between(target, c.caller), func() {
		lost := !target.alive || target.starts != start || w.network.cut(target.zone, c.caller.zone)
		if lost && w.mutation == MutationResend {
			w.attempt(c)
		}
	})
}

// notRun tries a call again that was proven not run; at its last attempt the
// caller is told so.
func (w *World) notRun(c *call) {
	if c.attempts >= callAttempts {
		w.checker.toldNotRun(c.caller, c.id)
		return
	}
	w.clock.after(callRetry, func() { w.attempt(c) })
}

// mayKnow reports whether a proxy's view lets it call a service's endpoints in
// a zone.
func (n *node) mayKnow(id endpoint.ID, zone string) bool {
	if n.proxy.inForce == nil {
		return false
	}
	view := n.proxy.inForce.Services[id.Service]
	return view != nil && slices.Contains(view.AllowedZones, zone)
}

// acceptsWork reports whether a proxy's view would send new work to an
// endpoint.
func (n *node) acceptsWork(id endpoint.ID) bool {
	if n.proxy.inForce == nil || n.proxy.inForce.Services[id.Service] == nil {
		return false
	}
	update, known := n.proxy.endpoints.Get(id)
	return known && update.State.AcceptsWork()
}
