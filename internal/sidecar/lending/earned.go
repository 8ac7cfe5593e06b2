package lending

import (
	"math"
	"time"
)

// depositUnit is the smallest part of a token that is deposited with the granter.
const depositUnit = 0.001

// reserveTime is the time for which a node keeps its expected demand in reserve when it deposits
// earned tokens. A node with little demand can save up tokens for as long.
const reserveTime = time.Second

// earnings holds the tokens that a node's own requests have earned.
type earnings struct {
	// tokens can be spent on this node; a negative value is a debt. surplus can only be deposited
	// with the granter, or repay a debt.
	tokens, surplus float64
	// earned and deposited sum the tokens earned and deposited within the window.
	earned, deposited SlidingSum
}

// Earn adds tokens that the node's own requests have earned.
func (h *Holder) Earn(account string, tokens float64, terms Terms, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	held.earnings.earned.Add(tokens, terms.Window, now)
	held.earnings.tokens += tokens
	h.capEarned(account, held, terms, now)
}

// AddDebt records tokens spent beyond what the node has. The debt stays with the node until it is
// repaid from earned tokens, from tokens of the granter, for which the debt counts as demand, or
// from the node's own share.
func (h *Holder) AddDebt(account string, tokens float64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	held.decayDemand(now)
	held.demand += tokens
	held.earnings.tokens -= tokens
}

// RepayDebt repays the node's debt from the granted tokens that it holds and, while its share is
// not lent, from the share. It reports whether no debt is left.
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

// TakeEarned spends one token that the node has earned and not deposited.
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

// WithdrawSurplus removes the earned tokens that the node does not expect to spend and returns how
// many to deposit with the granter, in the message that is about to be sent. It returns 0 while the
// node has a debt. The tokens are gone from the node whether the message arrives or not, so that
// they are spent at most once.
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

// Available returns how many tokens the node can spend: earned ones and granted ones.
func (h *Holder) Available(account string, terms Terms, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	h.capEarned(account, held, terms, now)
	return max(held.earnings.tokens, 0) + float64(held.count(now))
}

// capEarned limits the saved earned tokens to the node's depth, which is LocalEarnedDepth of the
// tokens earned within the window plus EarnedDepth of those not deposited yet. The excess becomes
// surplus. Granted tokens that expired unspent become earned ones as far as the depth allows. The
// caller holds h.mu.
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
