package repeats

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
)

// Limits limits the repeats of all nodes together at one service.
type Limits struct {
	// Ratio is the maximum number of repeats per request.
	Ratio float64
	// Slack is the number of repeats that are allowed beyond Ratio in any Window.
	Slack float64
	// Window is the time over which repeats are counted.
	Window time.Duration
}

// The fractions of the allowance that are spent while it is lent. The tokens saved up before a
// window were earned in the window before it, those that flow in are earned in the window itself.
// The limits count whichever window has more requests, so that the fractions add up. The rest
// covers messages in transit, and calls of repeated runs until they are paid for.
const (
	// inflowFraction flows in.
	inflowFraction = 0.82
	// localFraction can be saved up at the nodes that earn it, and as much again as surplus that
	// waits to be deposited. granterFraction can be saved up at the granter, where a granted token
	// counts for as long as it may be spent.
	localFraction   = 0.04
	granterFraction = 0.07
)

// Terms returns the lending terms of a service's allowance for the given number of nodes.
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

// earnedPerRequest is the part of a token that one request earns.
func (l Limits) earnedPerRequest() float64 { return l.Ratio * inflowFraction }
