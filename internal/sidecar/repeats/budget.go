package repeats

import (
	"math"
	"sync"
	"time"
)

// The part of the allowance that nodes make use of where nothing is lent. The rest covers calls
// made by repeated runs, which count as repeats where they arrive, and nodes that see different
// numbers of members.
const (
	ratioFraction = 0.4
	slackFraction = 0.4
)

// budget is this node's share of the repeats to one service: a part of its own
// requests of a window, and a part of the slack divided by the members. As much
// as flows in over a window can be spent at once: when nodes die, all that they
// held is to be repeated in the same moment.
type budget struct {
	mutex       sync.Mutex // guards all below
	tokens      float64
	initialized bool
	// drained: what was held is taken over by an account that is lent.
	drained bool
	updated time.Time
	// requests is a count that fades over a window.
	requests float64
}

// first notes a request, which earns a share of a repeat.
func (b *budget) recordRequest(limits Limits, members int, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(limits, members, now)
	b.requests++
	b.tokens = min(b.tokens+limits.Ratio*ratioFraction, b.capacity(limits, members))
}

// take spends one repeat and reports whether there was one.
func (b *budget) take(limits Limits, members int, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(limits, members, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// left returns how many repeats there are.
func (b *budget) remaining() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tokens
}

// drain takes all repeats out and returns how many are lacking of what can be saved up: what was
// spent of late beyond what had flowed in.
func (b *budget) drain(limits Limits, members int, now time.Time) (deficit float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.initialized && !b.drained {
		b.refill(limits, members, now)
		deficit = b.capacity(limits, members) - b.tokens
	}
	b.tokens, b.requests = 0, 0
	b.initialized, b.drained, b.updated = true, true, now
	return deficit
}

// half is half of this node's share of the slack. One half can be saved up and
// is there at the start, the other flows in over a window.
func halfSlack(limits Limits, members int) float64 {
	return limits.Slack * slackFraction / 2 / float64(max(members, 1))
}

// most is what can be saved up: at least one repeat, which many nodes with few
// requests each must save for.
func (b *budget) capacity(limits Limits, members int) float64 {
	return max(halfSlack(limits, members)+limits.Ratio*ratioFraction*b.requests, 1)
}

// refill lets the other half of the share flow in over a window.
func (b *budget) refill(limits Limits, members int, now time.Time) {
	inflow := halfSlack(limits, members)
	b.drained = false
	if !b.initialized {
		b.tokens, b.initialized, b.updated = inflow, true, now
		return
	}
	if limits.Window > 0 {
		elapsed := float64(now.Sub(b.updated)) / float64(limits.Window)
		b.tokens += inflow * elapsed
		b.requests *= math.Exp(-elapsed)
	}
	b.tokens = min(b.tokens, b.capacity(limits, members))
	b.updated = now
}
