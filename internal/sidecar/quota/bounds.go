// Package quota keeps tenants' requests within their rate limits over all nodes together, by
// shares that are lent. Package lending has how, and why no limit is ever exceeded.
package quota

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
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
	// usableShare is the part of what the bounds allow that is given out. The rest covers what
	// the arithmetic leaves out: messages that arrive after their lease, nodes that count each
	// other differently while some come and go.
	usableFraction = 0.97
	// savedShare is the part of the depth that can be saved up. The rest comes with shares that
	// are lent anew, initialShare of the depth with all of them: a granter that takes over would
	// otherwise begin with nothing and refuse requests well within the limit. A share can be lent anew four times in a window, since a lease has
	// to end before.
	savedFraction   = 0.6
	initialFraction = 0.1
	// leastDepthTime says how much can at least be saved up, as the tokens of that time, and
	// one token.
	minDepthTime = 50 * time.Millisecond
)

// Terms returns how a limit is lent among so many nodes.
func (b Bounds) Terms(limit Limit, members int) lending.Terms {
	rate, depth := b.bucketParameters(limit)
	return lending.Terms{Rate: rate, Depth: depth, Initial: depth * initialFraction, Members: members}
}

// tokens returns the rate in tokens a second at which a limit is given out, and how many can be
// saved up. A window may hold what was saved up, what flows in, and tokens that were given out
// up to their life before it began or are due shortly after it ends.
func (b Bounds) bucketParameters(limit Limit) (rate, depth float64) {
	usable := ((limit.Rate*b.Window.Seconds()+limit.Burst)*(1+b.Overage) + b.Slack) * usableFraction
	inflowTime := (b.Window + lending.TokenLifetime + lending.MaxTokenDelay).Seconds()
	minDepth := max(1, limit.Rate*minDepthTime.Seconds())
	if depth = usable - limit.Rate*inflowTime; depth >= minDepth {
		return limit.Rate, max(depth*savedFraction, minDepth)
	}
	return max(usable-minDepth, 0) / inflowTime, min(minDepth, usable)
}
