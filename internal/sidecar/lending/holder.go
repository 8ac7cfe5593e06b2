package lending

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Holder holds a node's tokens and knows to whom its shares are lent. A node that starts anew
// holds nothing. It is safe for concurrent use.
type Holder struct {
	node string

	mu       sync.Mutex // guards all below
	accounts map[string]*holding
}

// holding is what the node has of one account.
type holding struct {
	batches []tokenBatch
	// deniedUntil is until when the granter is not asked again, roomAt when it said that there
	// would be a token.
	deniedUntil, nextTokenAt time.Time
	// lentTo is the node that counts with the share at most until lentUntil.
	lentTo    string
	lentUntil time.Time
	// own is what the share has brought while it was lent to nobody.
	ownTokens  float64
	ownUpdated time.Time
	earnings   earnings
	// demand is how many tokens were called for, a count that fades over a second.
	demand        float64
	demandUpdated time.Time
}

// deniedMost is for how long one answer refuses the requests of an account: a flood asks ten times a
// second and node, no more, and room that comes early is found.
const maxDenial = 100 * time.Millisecond

// likelySpent is how many tokens have to be likely to be spent in their life for some to be asked
// for ahead.
const minExpectedUse = 0.5

// lot is some tokens that may be spent between two moments.
type tokenBatch struct {
	count       int
	from, until time.Time
}

// Token is one request's place within an account.
type Token struct {
	account     string
	from, until time.Time
	// Wait is how long the request is to wait before it is sent.
	Wait time.Duration
}

// Valid reports whether the token may still be spent.
func (t Token) Valid(now time.Time) bool { return now.Before(t.until) }

// TakeResult is the outcome of Take: a token was taken, the request is refused, or a granter has to
// be asked.
type TakeResult int

// Verdicts.
const (
	Taken TakeResult = iota
	Denied
	GrantNeeded
)

// NewHolder returns the holder of a node.
func NewHolder(node string) *Holder { return &Holder{node: node, accounts: map[string]*holding{}} }

// Take spends a token that is held.
func (h *Holder) Take(account string, now time.Time) (TakeResult, Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	if token, found := held.take(account, now); found {
		return Taken, token
	}
	if now.Before(held.deniedUntil) {
		return Denied, Token{Wait: held.nextTokenAt.Sub(now)}
	}
	return GrantNeeded, Token{}
}

// TakeDue spends a token that is held and may be spent now.
func (h *Holder) TakeDue(account string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holdingFor(account).takeDue(now)
}

// RecordDemand notes that a request came, which says how many tokens will be wanted.
func (h *Holder) RecordDemand(account string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	held.decayDemand(now)
	held.demand++
}

// TokensToRequest returns how many tokens to ask for: one, and what is likely to be called for in the time
// given.
func (h *Holder) TokensToRequest(account string, horizon time.Duration, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	held.decayDemand(now)
	return 1 + min(int(held.demand*horizon.Seconds()), maxTokensWanted-1)
}

// NeedsRefill reports whether what the node holds of a granter is less than what is likely to be called
// for in the time given, and the granter may be asked.
func (h *Holder) NeedsRefill(account string, horizon time.Duration, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	held.decayDemand(now)
	if now.Before(held.deniedUntil) || held.demand*TokenLifetime.Seconds() < minExpectedUse {
		return false
	}
	return float64(held.count(now)) < max(held.demand*horizon.Seconds(), 1)
}

// AddGrant takes in a granter's answer to a question that was asked then. The granter counts with
// its tokens for their life, which begins no earlier.
func (h *Holder) AddGrant(account string, grant Grant, requestedAt, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	wait := time.Duration(grant.WaitMS) * time.Millisecond
	if grant.Tokens == 0 {
		held.nextTokenAt, held.deniedUntil = now.Add(wait), now.Add(min(wait, maxDenial))
		return
	}
	from := now.Add(min(wait, MaxTokenDelay))
	held.batches = append(held.batches, tokenBatch{count: grant.Tokens, from: from, until: requestedAt.Add(max(from.Sub(now), 0) + TokenLifetime)})
}

// Return gives back a token whose request did not run. It does not last longer for that.
func (h *Holder) Return(token Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(token.account)
	held.batches = append(held.batches, tokenBatch{count: 1, from: token.from, until: token.until})
}

// Lend notes that the node lends its share of an account with a message that it sends now, and
// reports whether it does: not while another node may still count with it.
func (h *Holder) Lend(account, to string, terms Terms, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	if held.lentTo != to && now.Before(held.lentUntil) {
		return false
	}
	held.lentTo, held.lentUntil = to, now.Add(leaseDuration(terms.Members)+leaseMargin)
	held.ownTokens = 0
	return true
}

// PreviousGranter returns the node that may still count with the node's share of an account, empty
// for none or the given one.
func (h *Holder) PreviousGranter(account, granter string, now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	if held.lentTo == granter || !now.Before(held.lentUntil) {
		return ""
	}
	return held.lentTo
}

// ConfirmRelease takes in that a node has heard that some shares are not lent to it any more.
func (h *Holder) ConfirmRelease(granter string, accounts []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, account := range accounts {
		if held := h.holdingFor(account); held.lentTo == granter && now.Before(held.lentUntil) {
			held.lentUntil = now
		}
	}
}

// EndLeases takes in that a node certainly does not count with any share any more: its process has
// ended, or it grants nothing any more.
func (h *Holder) EndLeases(node string, now time.Time) {
	h.EndLeasesIf(func(granter string) bool { return granter == node }, now)
}

// EndLeasesIf is Freed for all nodes of which the function says so.
func (h *Holder) EndLeasesIf(ended func(granter string) bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, held := range h.accounts {
		if now.Before(held.lentUntil) && ended(held.lentTo) {
			held.lentUntil = now
		}
	}
}

// TakeOwnShare spends what the node's own share has brought while it is lent to nobody.
func (h *Holder) TakeOwnShare(account string, terms Terms, now time.Time) (Token, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.takeOwnShare(account, h.holdingFor(account), terms, now) {
		return Token{}, false
	}
	return Token{account: account, until: now}, true
}

// takeOwn is TakeOwn with the lock held.
func (h *Holder) takeOwnShare(account string, held *holding, terms Terms, now time.Time) bool {
	if now.Before(held.lentUntil) {
		return false
	}
	since := held.ownUpdated
	if held.lentUntil.After(since) {
		since, held.ownTokens = held.lentUntil, 0
	}
	if since.IsZero() {
		since = now
	}
	members := float64(terms.members())
	held.ownTokens = min(held.ownTokens+terms.Rate*now.Sub(since).Seconds()/members, h.roundShare(account, terms.Depth/members))
	held.ownUpdated = now
	if held.ownTokens < 1 {
		return false
	}
	held.ownTokens--
	return true
}

// whole rounds a node's part of what can be saved up to whole tokens, up or down by a hash, so
// that the parts of all nodes still add up to about the whole.
func (h *Holder) roundShare(account string, part float64) float64 {
	floor := math.Floor(part)
	fraction := float64(xxhash.Sum64String(account+"\x00"+h.node)) / math.MaxUint64
	if fraction < part-floor {
		return floor + 1
	}
	return floor
}

// Retain forgets the accounts for which the function does not say so, once no node counts with
// their shares.
func (h *Holder) Retain(keep func(account string) bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for account, held := range h.accounts {
		if !keep(account) && !now.Before(held.lentUntil) {
			delete(h.accounts, account)
		}
	}
}

// of returns what is held of an account; the lock is held.
func (h *Holder) holdingFor(account string) *holding {
	held := h.accounts[account]
	if held == nil {
		held = &holding{}
		h.accounts[account] = held
	}
	return held
}

// take spends the token that may be spent first, and drops those whose time is over.
func (h *holding) take(account string, now time.Time) (token Token, found bool) {
	valid := h.batches[:0]
	for _, batch := range h.batches {
		if batch.count > 0 && now.Before(batch.until) {
			valid = append(valid, batch)
		}
	}
	h.batches = valid
	best := -1
	for i, batch := range h.batches {
		if best < 0 || batch.from.Before(h.batches[best].from) {
			best = i
		}
	}
	if best < 0 {
		return Token{}, false
	}
	h.batches[best].count--
	chosen := h.batches[best]
	return Token{account: account, from: chosen.from, until: chosen.until, Wait: max(chosen.from.Sub(now), 0)}, true
}

// takeDue spends a token that may be spent now.
func (h *holding) takeDue(now time.Time) bool {
	for i := range h.batches {
		if batch := &h.batches[i]; batch.count > 0 && !now.Before(batch.from) && now.Before(batch.until) {
			batch.count--
			return true
		}
	}
	return false
}

// expired drops lots whose time is over and returns how many tokens of them were not spent.
func (h *holding) expired(now time.Time) (unspent float64) {
	valid := h.batches[:0]
	for _, batch := range h.batches {
		switch {
		case batch.count == 0:
		case now.Before(batch.until):
			valid = append(valid, batch)
		default:
			unspent += float64(batch.count)
		}
	}
	h.batches = valid
	return unspent
}

// count returns how many tokens of granters may be spent now or soon.
func (h *holding) count(now time.Time) (total int) {
	for _, batch := range h.batches {
		if now.Before(batch.until) {
			total += batch.count
		}
	}
	return total
}

// fade lets the count of requests fade.
func (h *holding) decayDemand(now time.Time) {
	if elapsed := now.Sub(h.demandUpdated); elapsed > 0 {
		h.demand *= math.Exp(-elapsed.Seconds())
	}
	h.demandUpdated = now
}
