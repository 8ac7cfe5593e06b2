package quota

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

	mu      sync.Mutex // guards all below
	tenants map[string]*holding
}

// holding is what the node has of one tenant.
type holding struct {
	lots []lot
	// deniedUntil is until when the granter is not asked again, roomAt when it said that there
	// would be a token.
	deniedUntil, roomAt time.Time
	// lentTo is the node that counts with the share at most until lentUntil.
	lentTo    string
	lentUntil time.Time
	// own is what the share has brought while it was lent to nobody.
	own   float64
	ownAt time.Time
	// demand is how many requests came, a count that fades over a second.
	demand   float64
	demandAt time.Time
}

// deniedMost is for how long one answer refuses the requests of a tenant: a flood asks ten times a
// second and node, no more, and room that comes early is found.
const deniedMost = 100 * time.Millisecond

// lot is some tokens that may be spent between two moments.
type lot struct {
	count       int
	from, until time.Time
}

// Token is one request's place within its tenant's limit.
type Token struct {
	tenant string
	until  time.Time
	// Wait is how long the request is to wait before it is sent.
	Wait time.Duration
}

// Valid reports whether the token may still be spent.
func (t Token) Valid(now time.Time) bool { return now.Before(t.until) }

// verdict is what becomes of one request by what the node holds: it has a token, is refused,
// or a granter is to be asked.
type verdict int

const (
	spent verdict = iota
	denied
	ask
)

// NewHolder returns the holder of a node.
func NewHolder(node string) *Holder { return &Holder{node: node, tenants: map[string]*holding{}} }

// Take spends a token that is held.
func (h *Holder) Take(tenant string, now time.Time) (verdict, Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(tenant)
	if token, found := held.take(tenant, now); found {
		return spent, token
	}
	if now.Before(held.deniedUntil) {
		return denied, Token{Wait: held.roomAt.Sub(now)}
	}
	return ask, Token{}
}

// Came notes that a request came, which says how many tokens will be wanted.
func (h *Holder) Came(tenant string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(tenant)
	held.fade(now)
	held.demand++
}

// Wanted returns how many tokens to ask for: one, and what is likely to come while they last.
func (h *Holder) Wanted(tenant string, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(tenant)
	held.fade(now)
	return 1 + min(int(held.demand*tokenLife.Seconds()), mostWanted-1)
}

// Granted takes in a granter's answer.
func (h *Holder) Granted(tenant string, grant Grant, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(tenant)
	wait := time.Duration(grant.WaitMS) * time.Millisecond
	if grant.Tokens == 0 {
		held.roomAt, held.deniedUntil = now.Add(wait), now.Add(min(wait, deniedMost))
		return
	}
	from := now.Add(min(wait, mostDelay))
	held.lots = append(held.lots, lot{count: grant.Tokens, from: from, until: from.Add(tokenLife)})
}

// Return gives back a token whose request did not run. It does not last longer for that.
func (h *Holder) Return(token Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(token.tenant)
	held.lots = append(held.lots, lot{count: 1, until: token.until})
}

// Lend notes that the node lends its share of a tenant with a message that it sends now, and
// reports whether it does: not while another node may still count with it.
func (h *Holder) Lend(tenant, to string, members int, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(tenant)
	if held.lentTo != to && now.Before(held.lentUntil) {
		return false
	}
	held.lentTo, held.lentUntil = to, now.Add(lease(members)+leaseMargin)
	held.own = 0
	return true
}

// LentElsewhere returns the node that may still count with the node's share of a tenant, empty
// for none or the given one.
func (h *Holder) LentElsewhere(tenant, than string, now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(tenant)
	if held.lentTo == than || !now.Before(held.lentUntil) {
		return ""
	}
	return held.lentTo
}

// Released takes in that a node has heard that some shares are not lent to it any more.
func (h *Holder) Released(by string, tenants []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, tenant := range tenants {
		if held := h.of(tenant); held.lentTo == by && now.Before(held.lentUntil) {
			held.lentUntil = now
		}
	}
}

// Freed takes in that a node certainly does not count with any share any more: its process has
// ended, or it grants nothing any more.
func (h *Holder) Freed(by string, now time.Time) {
	h.FreedIf(func(granter string) bool { return granter == by }, now)
}

// FreedIf is Freed for all nodes of which the function says so.
func (h *Holder) FreedIf(freed func(granter string) bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, held := range h.tenants {
		if now.Before(held.lentUntil) && freed(held.lentTo) {
			held.lentUntil = now
		}
	}
}

// TakeOwn spends what the node's own share has brought while it is lent to nobody.
func (h *Holder) TakeOwn(tenant string, limit Limit, bounds Bounds, members int, now time.Time) (Token, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.of(tenant)
	if now.Before(held.lentUntil) {
		return Token{}, false
	}
	rate, depth := bounds.tokens(limit)
	since := held.ownAt
	if held.lentUntil.After(since) {
		since, held.own = held.lentUntil, 0
	}
	if since.IsZero() {
		since = now
	}
	part := depth / float64(max(members, 1))
	held.own = min(held.own+rate*now.Sub(since).Seconds()/float64(max(members, 1)), h.whole(tenant, part))
	held.ownAt = now
	if held.own < 1 {
		return Token{}, false
	}
	held.own--
	return Token{tenant: tenant, until: now}, true
}

// whole rounds a node's part of what can be saved up to whole tokens, up or down by a hash, so
// that the parts of all nodes still add up to about the whole.
func (h *Holder) whole(tenant string, part float64) float64 {
	down := math.Floor(part)
	drawn := float64(xxhash.Sum64String(tenant+"\x00"+h.node)) / math.MaxUint64
	if drawn < part-down {
		return down + 1
	}
	return down
}

// Retain forgets the tenants for which the function says so.
func (h *Holder) Retain(limited func(tenant string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for tenant := range h.tenants {
		if !limited(tenant) {
			delete(h.tenants, tenant)
		}
	}
}

// of returns what is held of a tenant; the lock is held.
func (h *Holder) of(tenant string) *holding {
	held := h.tenants[tenant]
	if held == nil {
		held = &holding{}
		h.tenants[tenant] = held
	}
	return held
}

// take spends the token that may be spent first, and drops those whose time is over.
func (h *holding) take(tenant string, now time.Time) (token Token, found bool) {
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
	return Token{tenant: tenant, until: chosen.until, Wait: max(chosen.from.Sub(now), 0)}, true
}

// fade lets the count of requests fade.
func (h *holding) fade(now time.Time) {
	if passed := now.Sub(h.demandAt); passed > 0 {
		h.demand *= math.Exp(-passed.Seconds())
	}
	h.demandAt = now
}
