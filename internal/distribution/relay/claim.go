package relay

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

// maximumClaims bounds the number of claims held. Certificates bound the node
// names that can make them.
const maximumClaims = 4096

// claim records that a child reports a version above the relay's own. The relay
// cannot verify that the version exists. The claim of a single node is accepted
// until aloneUntil, because a relay that is behind normally catches up by then.
// After that it counts only up to a version that another node also claims, so
// that one node reporting an invented version cannot keep new children out of
// its zone.
type claim struct {
	zone    string
	version uint64
	// aloneUntil is when the claim stops counting without a second claim. It
	// does not apply while the relay has no path to a store reader, and is
	// renewed when a path is found.
	aloneUntil time.Time
}

// claims holds the claims by node and the floors derived from them by zone.
type claims struct {
	byNode map[string]claim
	// floors holds the version derived from the claims, by zone.
	floors map[string]uint64
	// dueAt is when the next claim stops counting on its own.
	dueAt time.Time
}

func newClaims() claims {
	return claims{byNode: map[string]claim{}, floors: map[string]uint64{}}
}

// observeVersion records the version that a child reports: as a floor if the
// relay has reached it, otherwise as a claim.
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
		held.aloneUntil = now.Add(c.config.ClaimTimeout)
	}
	held.zone, held.version = node.Zone, version
	c.claims.byNode[node.Name] = held
	c.recomputeClaimFloors(now)
}

// resolveReachedClaims converts claims for versions that the relay has reached
// into floors.
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

// renewClaims restarts the timeout of every claim. It is called when the relay
// has found a path to a store reader and may be about to catch up.
func (c *Core) renewClaims(now time.Time) {
	for name, held := range c.claims.byNode {
		held.aloneUntil = now.Add(c.config.ClaimTimeout)
		c.claims.byNode[name] = held
	}
	c.recomputeClaimFloors(now)
}

// recomputeClaimFloors derives each zone's floor from its claims: the higher of
// the highest claim that still counts on its own and the second highest claim.
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

// updateSourceFloor tells the children when the version in force in the relay's
// own zone is above the version the relay holds.
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
