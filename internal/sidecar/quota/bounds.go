// Package quota enforces tenants' rate limits across all nodes, by shares of the rate that nodes
// lend to each other. Package lending describes the method, and why no limit is ever exceeded.
package quota

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
)

// Limit is the rate limit of a tenant across all nodes together.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// Bounds defines how strictly limits apply: the requests that run in any Window are at most those
// that rate and burst allow for it, increased by the fraction Overage and by the number Slack.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

// DefaultBounds returns the bounds of a deployment that sets none.
func DefaultBounds() Bounds {
	return Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
}

const (
	// usableFraction is the fraction of the bound that is granted. The rest covers what the
	// calculation leaves out: messages that arrive after their lease has expired, and nodes that
	// see different members while some join and leave.
	usableFraction = 0.97
	// savedFraction is the fraction of the depth that can be saved up, initialFraction the fraction
	// that all newly lent shares together start with. Without the latter, a granter that takes over
	// would start empty and refuse requests well within the limit. savedFraction and four times
	// initialFraction add up to 1: a share can be newly lent four times in a window, since its
	// lease has to end first.
	savedFraction   = 0.6
	initialFraction = 0.1
	// minDepthTime sets the minimum depth: the tokens of this time, and at least one.
	minDepthTime = 50 * time.Millisecond
)

// Terms returns the lending terms of a limit for the given number of nodes.
func (b Bounds) Terms(limit Limit, members int) lending.Terms {
	rate, depth := b.bucketParameters(limit)
	return lending.Terms{Rate: rate, Depth: depth, Initial: depth * initialFraction, Members: members}
}

// bucketParameters returns the refill rate of a limit in tokens per second, and the depth. The
// requests of one window can use the saved tokens, the tokens that flow in during it, those granted
// up to TokenLifetime before it began, and those that become due up to MaxTokenDelay after its end.
func (b Bounds) bucketParameters(limit Limit) (rate, depth float64) {
	usable := ((limit.Rate*b.Window.Seconds()+limit.Burst)*(1+b.Overage) + b.Slack) * usableFraction
	inflowTime := (b.Window + lending.TokenLifetime + lending.MaxTokenDelay).Seconds()
	minDepth := max(1, limit.Rate*minDepthTime.Seconds())
	if depth = usable - limit.Rate*inflowTime; depth >= minDepth {
		return limit.Rate, max(depth*savedFraction, minDepth)
	}
	return max(usable-minDepth, 0) / inflowTime, min(minDepth, usable)
}
