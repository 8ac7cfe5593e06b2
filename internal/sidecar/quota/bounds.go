// Package quota keeps tenants' requests within their rate limits over all nodes together,
// without a counter that every request asks.
//
// Each node owns an equal share of a tenant's rate. It lends the share to one other node, the
// tenant's granter, for a short lease. The granter gives out tokens at the rate of the shares
// that it holds: where all nodes lend to the same one that is the whole rate, and demand may be
// anywhere. Where nodes cannot reach each other each group has the shares of its own members,
// and a node that is alone its own. Since a share is lent to one node at a time, what is given
// out by all granters and nodes together never exceeds the rate, whatever is cut off, killed,
// suspended or just restarted.
//
// Granter and Holder are pure; Quota carries their messages.
package quota

import (
	"time"
)

// Limit is what a tenant may send through all nodes together.
type Limit struct {
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
}

// Bounds say what limits bind to: in each Window at most as many requests run as rate and burst
// allow, increased by the share Overage and the number Slack.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

// DefaultBounds are for a deployment that tells none.
func DefaultBounds() Bounds {
	return Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
}

const (
	// tokenLife is how long after it is given out a token may be spent.
	tokenLife = 500 * time.Millisecond
	// mostDelay is how long before a token is due it is given out: to wait so long is better for
	// a caller than to be refused.
	mostDelay = 100 * time.Millisecond
	// usableShare is the part of what the bounds allow that is given out. The rest covers what
	// the arithmetic leaves out: messages that arrive after their lease, nodes that count each
	// other differently while some come and go.
	usableShare = 0.97
	// savedShare is the part of the depth that can be saved up. The rest comes with shares that
	// are lent anew, broughtShare of the depth with all of them: a granter that takes over would
	// begin with nothing and refuse 0.13 of the requests of its first second at 0.6 of the limit
	// (TestAGranterThatStops). A share can be lent anew four times in a window, since a lease has
	// to end before.
	savedShare   = 0.6
	broughtShare = 0.1
	// leastDepthTime says how much can at least be saved up, as the tokens of that time, and
	// one token.
	leastDepthTime = 50 * time.Millisecond
)

// tokens returns the rate in tokens a second at which a limit is given out, and how many can be
// saved up. A window may hold what was saved up, what flows in, and tokens that were given out
// up to tokenLife before it began or are due up to mostDelay after it ends.
func (b Bounds) tokens(limit Limit) (rate, depth float64) {
	usable := ((limit.Rate*b.Window.Seconds()+limit.Burst)*(1+b.Overage) + b.Slack) * usableShare
	inflow := (b.Window + tokenLife + mostDelay).Seconds()
	least := max(1, limit.Rate*leastDepthTime.Seconds())
	if depth = usable - limit.Rate*inflow; depth >= least {
		return limit.Rate, max(depth*savedShare, least)
	}
	return max(usable-least, 0) / inflow, min(least, usable)
}

const (
	// leaseLeast and leaseMost bound a lease, leasePerMember is its length for each node: it is
	// renewed some times, and a granter hears that from all of them.
	leaseLeast     = time.Second
	leaseMost      = 5 * time.Second
	leasePerMember = 10 * time.Millisecond
	// renewals is how often a lease is renewed before it would end.
	renewals = 3
	// leaseMargin is how much longer than its granter counts with it a share is taken for lent:
	// a message may take that long.
	leaseMargin = 250 * time.Millisecond
)

// lease returns how long a share is lent at a time.
func lease(members int) time.Duration {
	return min(max(time.Duration(members)*leasePerMember, leaseLeast), leaseMost)
}
