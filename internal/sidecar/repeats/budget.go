package repeats

import (
	"math"
	"sync"
	"time"
)

// The fractions of the allowance that nodes use while shares are not lent. The rest covers calls
// made by repeated runs, which count as repeats at the service that they call, and nodes that see
// different numbers of members.
const (
	ratioFraction = 0.4
	slackFraction = 0.4
)

// budget is this node's equal share of the repeats at one service: a fraction of its own requests
// of a window, and a fraction of the slack divided by the number of members. All that flows in over
// a window can be spent at once, because when nodes die all the requests that they were running are
// repeated at the same moment.
type budget struct {
	mutex       sync.Mutex // guards all below
	tokens      float64
	initialized bool
	// drained says that a lent account has taken over the tokens.
	drained bool
	updated time.Time
	// requests counts requests, with exponential decay over a window.
	requests float64
}

// recordRequest records a request, which earns a part of a repeat.
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

// remaining returns how many repeats are left.
func (b *budget) remaining() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tokens
}

// drain removes all tokens and returns the number missing to the capacity, that is the number spent
// recently beyond those added. It returns 0 if the budget was not used since the last drain.
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

// halfSlack is half of this node's share of the slack. One half can be saved up and is available
// from the start, the other flows in over a window.
func halfSlack(limits Limits, members int) float64 {
	return limits.Slack * slackFraction / 2 / float64(max(members, 1))
}

// capacity is the maximum number of tokens that can be saved up. It is at least one repeat, which
// each of many nodes with few requests has to save up for.
func (b *budget) capacity(limits Limits, members int) float64 {
	return max(halfSlack(limits, members)+limits.Ratio*ratioFraction*b.requests, 1)
}

// refill adds the half of the slack that flows in, in proportion to the elapsed part of a window.
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
