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
	lots []lot
	// deniedUntil is until when the granter is not asked again, roomAt when it said that there
	// would be a token.
	deniedUntil, roomAt time.Time
	// lentTo is the node that counts with the share at most until lentUntil.
	lentTo    string
	lentUntil time.Time
	// own is what the share has brought while it was lent to nobody.
	own      float64
	ownAt    time.Time
	earnings earnings
	// demand is how many tokens were called for, a count that fades over a second.
	demand   float64
	demandAt time.Time
}

// deniedMost is for how long one answer refuses the requests of an account: a flood asks ten times a
// second and node, no more, and room that comes early is found.
const deniedMost = 100 * time.Millisecond

// likelySpent is how many tokens have to be likely to be spent in their life for some to be asked
// for ahead.
const likelySpent = 0.5

// lot is some tokens that may be spent between two moments.
type lot struct {
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
	held := h.of(account)
	if token, found := held.take(account, now); found {
		return Taken, token
	}
	if now.Before(held.deniedUntil) {
		return Denied, Token{Wait: held.roomAt.Sub(now)}
	}
	return GrantNeeded, Token{}
}

// TakeDue spends a token that is held and may be spent now.
func (h *Holder) TakeDue(account string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.of(account).takeDue(now)
}

// RecordDemand notes that a request came, which says how many tokens will be wanted.
func (h *Holder) RecordDemand(account string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(account)
	held.fade(now)
	held.demand++
}

// TokensToRequest returns how many tokens to ask for: one, and what is likely to be called for in the time
// given.
func (h *Holder) TokensToRequest(account string, ahead time.Duration, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(account)
	held.fade(now)
	return 1 + min(int(held.demand*ahead.Seconds()), mostWanted-1)
}

// NeedsRefill reports whether what the node holds of a granter is less than what is likely to be called
// for in the time given, and the granter may be asked.
func (h *Holder) NeedsRefill(account string, within time.Duration, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(account)
	held.fade(now)
	if now.Before(held.deniedUntil) || held.demand*TokenLifetime.Seconds() < likelySpent {
		return false
	}
	return float64(held.count(now)) < max(held.demand*within.Seconds(), 1)
}

// AddGrant takes in a granter's answer to a question that was asked then. The granter counts with
// its tokens for their life, which begins no earlier.
func (h *Holder) AddGrant(account string, grant Grant, asked, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(account)
	wait := time.Duration(grant.WaitMS) * time.Millisecond
	if grant.Tokens == 0 {
		held.roomAt, held.deniedUntil = now.Add(wait), now.Add(min(wait, deniedMost))
		return
	}
	from := now.Add(min(wait, MaxTokenDelay))
	held.lots = append(held.lots, lot{count: grant.Tokens, from: from, until: asked.Add(max(from.Sub(now), 0) + TokenLifetime)})
}

// Return gives back a token whose request did not run. It does not last longer for that.
func (h *Holder) Return(token Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(token.account)
	held.lots = append(held.lots, lot{count: 1, from: token.from, until: token.until})
}

// Lend notes that the node lends its share of an account with a message that it sends now, and
// reports whether it does: not while another node may still count with it.
func (h *Holder) Lend(account, to string, terms Terms, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(account)
	if held.lentTo != to && now.Before(held.lentUntil) {
		return false
	}
	held.lentTo, held.lentUntil = to, now.Add(lease(terms.Members)+leaseMargin)
	held.own = 0
	return true
}

// PreviousGranter returns the node that may still count with the node's share of an account, empty
// for none or the given one.
func (h *Holder) PreviousGranter(account, than string, now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(account)
	if held.lentTo == than || !now.Before(held.lentUntil) {
		return ""
	}
	return held.lentTo
}

// ConfirmRelease takes in that a node has heard that some shares are not lent to it any more.
func (h *Holder) ConfirmRelease(by string, accounts []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, account := range accounts {
		if held := h.of(account); held.lentTo == by && now.Before(held.lentUntil) {
			held.lentUntil = now
		}
	}
}

// EndLeases takes in that a node certainly does not count with any share any more: its process has
// ended, or it grants nothing any more.
func (h *Holder) EndLeases(by string, now time.Time) {
	h.EndLeasesIf(func(granter string) bool { return granter == by }, now)
}

// EndLeasesIf is Freed for all nodes of which the function says so.
func (h *Holder) EndLeasesIf(freed func(granter string) bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, held := range h.accounts {
		if now.Before(held.lentUntil) && freed(held.lentTo) {
			held.lentUntil = now
		}
	}
}

// TakeOwnShare spends what the node's own share has brought while it is lent to nobody.
func (h *Holder) TakeOwnShare(account string, terms Terms, now time.Time) (Token, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.takeOwn(account, h.of(account), terms, now) {
		return Token{}, false
	}
	return Token{account: account, until: now}, true
}

// takeOwn is TakeOwn with the lock held.
func (h *Holder) takeOwn(account string, held *holding, terms Terms, now time.Time) bool {
	if now.Before(held.lentUntil) {
		return false
	}
	since := held.ownAt
	if held.lentUntil.After(since) {
		since, held.own = held.lentUntil, 0
	}
	if since.IsZero() {
		since = now
	}
	members := float64(terms.members())
	held.own = min(held.own+terms.Rate*now.Sub(since).Seconds()/members, h.whole(account, terms.Depth/members))
	held.ownAt = now
	if held.own < 1 {
		return false
	}
	held.own--
	return true
}

// whole rounds a node's part of what can be saved up to whole tokens, up or down by a hash, so
// that the parts of all nodes still add up to about the whole.
func (h *Holder) whole(account string, part float64) float64 {
	down := math.Floor(part)
	drawn := float64(xxhash.Sum64String(account+"\x00"+h.node)) / math.MaxUint64
	if drawn < part-down {
		return down + 1
	}
	return down
}

// Retain forgets the accounts for which the function does not say so, once no node counts with
// their shares.
func (h *Holder) Retain(kept func(account string) bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for account, held := range h.accounts {
		if !kept(account) && !now.Before(held.lentUntil) {
			delete(h.accounts, account)
		}
	}
}

// of returns what is held of an account; the lock is held.
func (h *Holder) of(account string) *holding {
	held := h.accounts[account]
	if held == nil {
		held = &holding{}
		h.accounts[account] = held
	}
	return held
}

// take spends the token that may be spent first, and drops those whose time is over.
func (h *holding) take(account string, now time.Time) (token Token, found bool) {
	kept := h.lots[:0]
	for _, one := range h.lots {
		if one.count > 0 && now.Before(one.until) {
			kept = append(kept, one)
		}
	}
	h.lots = kept
	best := -1
	for i, one := range h.lots {
		if best < 0 || one.from.Before(h.lots[best].from) {
			best = i
		}
	}
	if best < 0 {
		return Token{}, false
	}
	h.lots[best].count--
	chosen := h.lots[best]
	return Token{account: account, from: chosen.from, until: chosen.until, Wait: max(chosen.from.Sub(now), 0)}, true
}

// takeDue spends a token that may be spent now.
func (h *holding) takeDue(now time.Time) bool {
	for i := range h.lots {
		if one := &h.lots[i]; one.count > 0 && !now.Before(one.from) && now.Before(one.until) {
			one.count--
			return true
		}
	}
	return false
}

// expired drops lots whose time is over and returns how many tokens of them were not spent.
func (h *holding) expired(now time.Time) (unspent float64) {
	kept := h.lots[:0]
	for _, one := range h.lots {
		switch {
		case one.count == 0:
		case now.Before(one.until):
			kept = append(kept, one)
		default:
			unspent += float64(one.count)
		}
	}
	h.lots = kept
	return unspent
}

// count returns how many tokens of granters may be spent now or soon.
func (h *holding) count(now time.Time) (total int) {
	for _, one := range h.lots {
		if now.Before(one.until) {
			total += one.count
		}
	}
	return total
}

// fade lets the count of requests fade.
func (h *holding) fade(now time.Time) {
	if passed := now.Sub(h.demandAt); passed > 0 {
		h.demand *= math.Exp(-passed.Seconds())
	}
	h.demandAt = now
}
