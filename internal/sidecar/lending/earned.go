package lending

import (
	"math"
	"time"
)

// broughtUnit is the least part of a token that is passed on.
const broughtUnit = 0.001

// Earn takes in tokens that the node's own requests have earned.
func (h *Holder) Earn(account string, tokens float64, terms Terms, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(account)
	held.earnings.Add(tokens, terms.Window, now)
	held.earned += tokens
	h.bound(account, held, terms, now)
}

// Owe takes in what was spent beyond what the node has. It is made up for out of what the node
// earns, or by the granter out of what all have.
func (h *Holder) Owe(account string, tokens float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(account)
	held.earned = max(held.earned-tokens, -mostBrought)
}

// TakeEarned spends one of the tokens that the node has earned and not passed on.
func (h *Holder) TakeEarned(account string, terms Terms, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(account)
	h.bound(account, held, terms, now)
	if held.earned < 1 {
		return false
	}
	held.earned--
	return true
}

// Pass returns the tokens that the node passes on with a message that it sends now. It keeps
// what it is likely to spend until the next one. The node has them no more, whether the message
// arrives or not.
func (h *Holder) Pass(account string, terms Terms, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(account)
	h.bound(account, held, terms, now)
	held.fade(now)
	kept := max(min(held.earned, held.demand*Renewal(terms.Members).Seconds()), 0)
	passed := math.Floor((held.earned-kept)/broughtUnit) * broughtUnit
	passed = min(passed, mostBrought)
	held.earned -= passed
	return passed
}

// Held returns how many tokens the node may spend now.
func (h *Holder) Held(account string, terms Terms, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(account)
	h.bound(account, held, terms, now)
	total := max(held.earned, 0)
	for _, one := range held.lots {
		if now.Before(one.until) {
			total += float64(one.count)
		}
	}
	return total
}

// bound keeps what is saved up of what was earned within the node's part, or all of it where no
// other node counts with its share. The lock is held.
func (h *Holder) bound(account string, held *holding, terms Terms, now time.Time) {
	recent := held.earnings.Within(terms.Window, now)
	most := terms.EarnedKept * recent
	if !now.Before(held.lentUntil) {
		most += terms.EarnedDepth * recent
		if most < 1 {
			most = h.whole(account, most)
		}
	}
	held.earned = min(held.earned, most)
}
