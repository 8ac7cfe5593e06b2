package repeats

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
)

// Limits bound the repeated sends of all nodes together to one service.
type Limits struct {
	// Ratio is the most repeats per request.
	Ratio float64
	// Slack is how many more there may be in any Window.
	Slack float64
	// Window is the length over which repeats are counted.
	Window time.Duration
}

// The parts of the allowance that are spent where it is lent. What was saved up before a window
// was earned in the window before it, what flows in is earned in the window itself; the limits
// count whichever window has more requests, so that the parts of both add up. The rest covers
// messages on their way, and calls of repeated runs until they are paid for.
const (
	// flowShare flows in.
	inflowFraction = 0.82
	// keptShare can be saved up at the nodes that earn it, and once more as surplus that waits
	// to be passed on; lentShare at the granter. A token that was given out counts with the
	// granter's for as long as it may be spent.
	localFraction   = 0.04
	granterFraction = 0.07
)

// Terms returns how the allowance of a service is lent among so many nodes.
func (l Limits) Terms(members int) lending.Terms {
	if l.Window <= 0 {
		return lending.Terms{Members: members}
	}
	return lending.Terms{
		Rate:  l.Slack * inflowFraction / l.Window.Seconds(),
		Depth: l.Slack * granterFraction, Window: l.Window, Members: members,
		EarnedDepth: granterFraction / inflowFraction, LocalEarnedDepth: localFraction / inflowFraction,
	}
}

// earned is what one request earns.
func (l Limits) earnedPerRequest() float64 { return l.Ratio * inflowFraction }
