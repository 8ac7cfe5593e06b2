package lending

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Holder holds the tokens of one node and records to which granter each of its shares is lent. It
// keeps nothing across restarts. It is safe for concurrent use.
type Holder struct {
	node string

	mu       sync.Mutex // guards all below
	accounts map[string]*holding
}

// holding is the state of one account.
type holding struct {
	batches []tokenBatch
	// deniedUntil is the time from which the granter may be asked again, nextTokenAt the time at
	// which it expects to have a token.
	deniedUntil, nextTokenAt time.Time
	// lentTo is the granter that uses the share, at most until lentUntil.
	lentTo    string
	lentUntil time.Time
	// ownTokens is the number of tokens that the share has yielded while it was not lent.
	ownTokens  float64
	ownUpdated time.Time
	earnings   earnings
	// demand counts the requested tokens, with exponential decay over one second.
	demand        float64
	demandUpdated time.Time
}

// maxDenial is the maximum time for which one denial refuses further requests of an account. It
// limits the load that a flood puts on the granter to ten requests per second and node, and lets
// tokens that become available early be found.
const maxDenial = 100 * time.Millisecond

// minExpectedUse is the expected number of tokens spent within TokenLifetime below which none are
// prefetched.
const minExpectedUse = 0.5

// tokenBatch holds tokens that may be spent within the same period.
type tokenBatch struct {
	count       int
	from, until time.Time
}

// Token admits one request against an account.
type Token struct {
	account     string
	from, until time.Time
	// Wait is the time that the request must wait before it is sent.
	Wait time.Duration
}

// Valid reports whether the token has not expired.
func (t Token) Valid(now time.Time) bool { return now.Before(t.until) }

// TakeResult is the result of Take: a token was taken, the request is denied, or a grant has to be
// requested first.
type TakeResult int

// Results of Take.
const (
	Taken TakeResult = iota
	Denied
	GrantNeeded
)

// NewHolder returns an empty holder for a node.
func NewHolder(node string) *Holder { return &Holder{node: node, accounts: map[string]*holding{}} }

// Take spends a held token. With Denied, the token's Wait says when the granter expects to have
// one.
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

// TakeDue spends a held token if one is due already.
func (h *Holder) TakeDue(account string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holdingFor(account).takeDue(now)
}

// RecordDemand counts a request of the account. TokensToRequest and NeedsRefill estimate demand
// from this count.
func (h *Holder) RecordDemand(account string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	held.decayDemand(now)
	held.demand++
}

// TokensToRequest returns how many tokens to request: one, plus the expected demand within the
// horizon.
func (h *Holder) TokensToRequest(account string, horizon time.Duration, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	held.decayDemand(now)
	return 1 + min(int(held.demand*horizon.Seconds()), maxTokensWanted-1)
}

// NeedsRefill reports whether the granted tokens that the node holds do not cover the expected
// demand within the horizon, and the granter may be asked.
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

// AddGrant adds the tokens of a granter's response. The granter counts the tokens as unspent for
// their lifetime from the moment that it grants them, which is not before the request was sent.
// Here the lifetime starts at requestedAt, so that it does not end later than at the granter.
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

// Return gives back a token whose request did not run. Its expiry stays the same.
func (h *Holder) Return(token Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(token.account)
	held.batches = append(held.batches, tokenBatch{count: 1, from: token.from, until: token.until})
}

// Lend records that the node lends its share of an account to a granter, in the message that is
// about to be sent. It reports false, and records nothing, while another node may still use the
// share.
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

// PreviousGranter returns the node, other than the given granter, that may still use the node's
// share of an account, or "" if there is none.
func (h *Holder) PreviousGranter(account, granter string, now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingFor(account)
	if held.lentTo == granter || !now.Before(held.lentUntil) {
		return ""
	}
	return held.lentTo
}

// ConfirmRelease records that a granter has confirmed the release of the shares of some accounts.
func (h *Holder) ConfirmRelease(granter string, accounts []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, account := range accounts {
		if held := h.holdingFor(account); held.lentTo == granter && now.Before(held.lentUntil) {
			held.lentUntil = now
		}
	}
}

// EndLeases records that a node no longer uses any share: its process has ended, or it has stopped
// granting.
func (h *Holder) EndLeases(node string, now time.Time) {
	h.EndLeasesIf(func(granter string) bool { return granter == node }, now)
}

// EndLeasesIf does the same as EndLeases for every node that the function selects.
func (h *Holder) EndLeasesIf(ended func(granter string) bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, held := range h.accounts {
		if now.Before(held.lentUntil) && ended(held.lentTo) {
			held.lentUntil = now
		}
	}
}

// TakeOwnShare spends a token of the node's own share, which yields tokens only while it is not
// lent.
func (h *Holder) TakeOwnShare(account string, terms Terms, now time.Time) (Token, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.takeOwnShare(account, h.holdingFor(account), terms, now) {
		return Token{}, false
	}
	return Token{account: account, until: now}, true
}

// takeOwnShare implements TakeOwnShare. The caller holds h.mu.
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

// roundShare rounds a node's part of a depth to whole tokens. A hash of account and node decides
// whether up or down, so that the rounded parts of all nodes still add up to about the total.
func (h *Holder) roundShare(account string, part float64) float64 {
	floor := math.Floor(part)
	fraction := float64(xxhash.Sum64String(account+"\x00"+h.node)) / math.MaxUint64
	if fraction < part-floor {
		return floor + 1
	}
	return floor
}

// Retain forgets the accounts that the function does not want to keep, once no granter may use
// their shares any more.
func (h *Holder) Retain(keep func(account string) bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for account, held := range h.accounts {
		if !keep(account) && !now.Before(held.lentUntil) {
			delete(h.accounts, account)
		}
	}
}

// holdingFor returns the state of an account and creates it if needed. The caller holds h.mu.
func (h *Holder) holdingFor(account string) *holding {
	held := h.accounts[account]
	if held == nil {
		held = &holding{}
		h.accounts[account] = held
	}
	return held
}

// take spends the token that is due first and drops expired batches.
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

// takeDue spends a token that is due already.
func (h *holding) takeDue(now time.Time) bool {
	for i := range h.batches {
		if batch := &h.batches[i]; batch.count > 0 && !now.Before(batch.from) && now.Before(batch.until) {
			batch.count--
			return true
		}
	}
	return false
}

// expired drops expired batches and returns how many of their tokens were not spent.
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

// count returns the number of granted tokens that have not expired, those not due yet included.
func (h *holding) count(now time.Time) (total int) {
	for _, batch := range h.batches {
		if now.Before(batch.until) {
			total += batch.count
		}
	}
	return total
}

// decayDemand applies the exponential decay of the demand up to now.
func (h *holding) decayDemand(now time.Time) {
	if elapsed := now.Sub(h.demandUpdated); elapsed > 0 {
		h.demand *= math.Exp(-elapsed.Seconds())
	}
	h.demandUpdated = now
}
