package simulation

import "github.com/kestrelstream/kestrelstream/internal/endpoint"

// checkReady requires, once everything is over, that every proxy knows every
// back end that it may call and that was ready for a while.
func (c *checker) checkReady() {
	w := c.world
	if w.scenario.Distribution.Mode != ModeTree || c.disturbed(w.clock.now-convergenceBound) || !c.hasReader() {
		return
	}
	for _, n := range w.proxies {
		if c.readyForLong(n) {
			c.checkKnown(n, n.proxy.authority.Current().ID)
		}
	}
}

// readyForLong reports whether the back end beside a proxy that is attached
// takes work for longer than the bound.
func (c *checker) readyForLong(n *node) bool {
	if !c.reachable(n) || n.proxy.authority == nil || n.proxy.changedAt > c.world.clock.now-convergenceBound {
		return false
	}
	return n.proxy.authority.Current().State.AcceptsWork()
}

func (c *checker) reachable(n *node) bool {
	if c.exempt(n) {
		return false
	}
	_, attached := n.proxy.subscriber.Parent()
	return attached
}

func (c *checker) checkKnown(n *node, id endpoint.ID) {
	for _, other := range c.world.proxies {
		if other == n || !c.reachable(other) || !other.mayKnow(id, n.zone) || other.acceptsWork(id) {
			continue
		}
		held, _ := other.proxy.endpoints.Get(id)
		c.breach(PromiseReadyKnown, other.name, "takes %s for %q, which is ready since %s", n.name, held.State, n.proxy.changedAt)
	}
}
