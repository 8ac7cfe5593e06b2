package relay

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

// maximumClaims bounds the claims held; certificates bound the names of nodes.
const maximumClaims = 4096

// claim is a version above the relay's own that a child says it has. The relay
// can't tell whether it exists. A claim counts alone for a while, since a
// relay that is behind soon catches up; after that it counts only as far as
// another node supports it, so that one node's invention can't keep newcomers
// out of its zone.
type claim struct {
	zone    string
	version uint64
	// aloneUntil is when the claim ceases to count alone; it is put off while
	// the relay has no path to a reader.
	aloneUntil time.Time
}

// claims holds the claims by node and what follows from them by zone.
type claims struct {
	byNode map[string]claim
	// floors holds, by zone, the version that the claims amount to.
	floors map[string]uint64
	// dueAt is when the next claim ceases to count alone.
	dueAt time.Time
}

func newClaims() claims {
	return claims{byNode: map[string]claim{}, floors: map[string]uint64{}}
}

// observeVersion learns from a version that a child says it has.
func (c *Core) observeVersion(now time.Time, node distribution.Node, version uint64) {
	held, known := c.claims.byNode[node.Name]
	if version <= c.state.Version() {
		c.raiseFloor(node.Zone, version)
		if known {
			delete(c.claims.byNode, node.Name)
			c.recomputeClaimFloors(now)
		}
		return
	}
	if !known {
		if len(c.claims.byNode) >= maximumClaims {
			return
		}
		held.aloneUntil = now.Add(c.config.ClaimPatience)
	}
	held.zone, held.version = node.Zone, version
	c.claims.byNode[node.Name] = held
	c.recomputeClaimFloors(now)
}

// resolveReachedClaims turns claims that the relay has reached into floors.
func (c *Core) resolveReachedClaims(now time.Time) {
	if len(c.claims.byNode) == 0 {
		return
	}
	for name, held := range c.claims.byNode {
		if held.version <= c.state.Version() {
			delete(c.claims.byNode, name)
			c.raiseFloor(held.zone, held.version)
		}
	}
	c.recomputeClaimFloors(now)
}

// renewClaims gives every claim its time again, when the relay has found a
// path to a reader and may be about to catch up.
func (c *Core) renewClaims(now time.Time) {
	for name, held := range c.claims.byNode {
		held.aloneUntil = now.Add(c.config.ClaimPatience)
		c.claims.byNode[name] = held
	}
	c.recomputeClaimFloors(now)
}

// recomputeClaimFloors computes what the claims amount to: in each zone the highest
// that still counts alone, or the second highest of all.
func (c *Core) recomputeClaimFloors(now time.Time) {
	clear(c.claims.floors)
	c.claims.dueAt = time.Time{}
	highest := map[string]uint64{}
	for _, held := range c.claims.byNode {
		supported := min(highest[held.zone], held.version)
		highest[held.zone] = max(highest[held.zone], held.version)
		alone := c.source.Detached || now.Before(held.aloneUntil)
		if alone {
			supported = held.version
			if !c.source.Detached {
				c.claims.dueAt = earliest(c.claims.dueAt, held.aloneUntil)
			}
		}
		c.claims.floors[held.zone] = max(c.claims.floors[held.zone], supported)
	}
	c.updateSourceFloor()
}

// updateSourceFloor tells the children when the version in force in the own zone is
// one that this relay has not reached.
func (c *Core) updateSourceFloor() {
	floor := c.Floor(c.node.Zone)
	if floor <= c.state.Version() {
		floor = 0
	}
	if c.source.Floor != floor {
		c.source.Floor = floor
		c.sourceChanged()
	}
}
