package lending

import (
	"math"
	"time"
)

// passedUnit is the least part of a token that is passed on.
const depositUnit = 0.001

// keptTime is for how long a node that spends tokens keeps what it is likely to spend: as long as
// its tokens may be saved up where it calls for few.
const reserveTime = time.Second

// earnings are what a node's own requests have earned.
type earnings struct {
	// tokens may be spent here; below zero the node owes. surplus goes to the granter only.
	tokens, surplus float64
	// earned counts what was earned lately, passed what of it was passed on.
	earned, deposited SlidingSum
}

// Earn takes in tokens that the node's own requests have earned.
func (h *Holder) Earn(account string, tokens float64, terms Terms, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	held.earnings.earned.Add(tokens, terms.Window, now)
	held.earnings.tokens += tokens
	h.capEarned(account, held, terms, now)
}

// AddDebt takes in what was spent beyond what the node has. It stays with the node until it is made up
// for: by what the node earns, by tokens of the granter, for which it is a demand, or by its own
// share.
func (h *Holder) AddDebt(account string, tokens float64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	held.decayDemand(now)
	held.demand += tokens
	held.earnings.tokens -= tokens
}

// RepayDebt makes up for what the node owes out of the tokens of granters that it holds and, where
// its share is lent to nobody, out of that. It reports whether the node owes nothing any more.
func (h *Holder) RepayDebt(account string, terms Terms, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	h.capEarned(account, held, terms, now)
	own := &held.earnings
	for own.tokens < 0 && (held.takeDue(now) || h.takeOwnShare(account, held, terms, now)) {
		own.tokens++
	}
	return own.tokens >= 0
}

// TakeEarned spends one of the tokens that the node has earned and not passed on.
func (h *Holder) TakeEarned(account string, terms Terms, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	h.capEarned(account, held, terms, now)
	if held.earnings.tokens < 1 {
		return false
	}
	held.earnings.tokens--
	return true
}

// WithdrawSurplus returns the tokens that the node passes on with a message that it sends now. It keeps
// what it is likely to spend, and all while it owes some. The node has them no more, whether the
// message arrives or not.
func (h *Holder) WithdrawSurplus(account string, terms Terms, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	h.capEarned(account, held, terms, now)
	held.decayDemand(now)
	own := &held.earnings
	if own.tokens < 0 {
		repaid := min(own.surplus, -own.tokens)
		own.tokens += repaid
		own.surplus -= repaid
	}
	if own.tokens < 0 {
		return 0
	}
	reserve := min(own.tokens, held.demand*reserveTime.Seconds())
	deposited := math.Floor((own.tokens-reserve+own.surplus)/depositUnit) * depositUnit
	deposited = min(deposited, maxDeposit)
	own.tokens, own.surplus = reserve, 0
	own.deposited.Add(deposited, terms.Window, now)
	return deposited
}

// Available returns how many tokens the node may spend now.
func (h *Holder) Available(account string, terms Terms, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	h.capEarned(account, held, terms, now)
	return max(held.earnings.tokens, 0) + float64(held.count(now))
}

// bound keeps what is saved up of what was earned within the node's part: that of what it keeps,
// and the granter's of what it has not passed on. What is above goes to the granter. Where there is
// room, tokens of a granter that have expired unspent become the node's own. The lock is held.
func (h *Holder) capEarned(account string, held *holding, terms Terms, now time.Time) {
	own := &held.earnings
	earned := own.earned.Total(terms.Window, now)
	undeposited := max(earned-own.deposited.Total(terms.Window, now), 0)
	capacity := terms.LocalEarnedDepth*earned + terms.EarnedDepth*undeposited
	if capacity < 1 {
		capacity = h.roundShare(account, capacity)
	}
	if unspent := held.expired(now); unspent > 0 {
		own.tokens += min(unspent, max(capacity-own.tokens, 0))
	}
	if excess := own.tokens - capacity; excess > 0 {
		own.tokens = capacity
		own.surplus = min(own.surplus+excess, terms.LocalEarnedDepth*earned)
	}
}
