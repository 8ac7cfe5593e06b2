package lending

import (
	"sync"
	"time"
)

// Granter grants tokens from the accounts whose shares are lent to this node. It keeps neither
// leases nor tokens across restarts. It is safe for concurrent use.
type Granter struct {
	mu      sync.Mutex // guards all below
	buckets map[string]*bucket
}

// bucket is the token bucket of one account.
type bucket struct {
	// lenders maps each node to the expiry of its lease. earliestExpiry is not later than any of
	// these.
	lenders        map[string]time.Time
	earliestExpiry time.Time
	// tokens is negative when tokens were granted before they were due.
	tokens  float64
	updated time.Time
	// earned sums the deposited tokens, granted the granted ones that may be unspent.
	earned, granted SlidingSum
}

// NewGranter returns a granter without leases.
func NewGranter() *Granter { return &Granter{buckets: map[string]*bucket{}} }

// AddLease starts or renews the lease of a node's share of an account.
func (g *Granter) AddLease(from, account string, terms Terms, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := g.bucketFor(account, now)
	entry.advance(terms, now)
	expiry := now.Add(leaseDuration(terms.Members))
	if _, renewed := entry.lenders[from]; !renewed {
		entry.tokens += terms.Initial / float64(terms.members())
	}
	entry.lenders[from] = expiry
	if len(entry.lenders) == 1 || expiry.Before(entry.earliestExpiry) {
		entry.earliestExpiry = expiry
	}
}

// EndLease ends the lease of a node's share of an account.
func (g *Granter) EndLease(from, account string, terms Terms, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if entry := g.buckets[account]; entry != nil {
		entry.advance(terms, now)
		delete(entry.lenders, from)
	}
}

// Deposit adds tokens that a node has earned and deposits.
func (g *Granter) Deposit(account string, tokens float64, terms Terms, now time.Time) {
	if terms.Window <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := g.bucketFor(account, now)
	entry.advance(terms, now)
	entry.earned.Add(tokens, terms.Window, now)
	entry.tokens = min(entry.tokens+tokens, entry.depth(terms, now))
}

// Grant grants as many of the wanted tokens as the account holds. If it holds none, it grants one
// that becomes due within MaxTokenDelay, or says when there may be one.
func (g *Granter) Grant(want Want, terms Terms, now time.Time) Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := g.buckets[want.Account]
	if entry == nil {
		return Grant{WaitMS: RenewalInterval(terms.Members).Milliseconds()}
	}
	entry.advance(terms, now)
	if entry.tokens >= 1 {
		return Grant{Tokens: entry.withdraw(min(want.Tokens, int(entry.tokens)), now)}
	}
	inflow := terms.Rate * entry.lentFraction(terms)
	if inflow <= 0 {
		return Grant{WaitMS: RenewalInterval(terms.Members).Milliseconds()}
	}
	wait := time.Duration((1 - entry.tokens) / inflow * float64(time.Second))
	result := Grant{WaitMS: min(wait, maxLease).Milliseconds() + 1}
	if wait < MaxTokenDelay {
		result.Tokens = entry.withdraw(1, now)
	}
	return result
}

// Retain forgets the accounts that the function does not want to keep.
func (g *Granter) Retain(keep func(account string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for account := range g.buckets {
		if !keep(account) {
			delete(g.buckets, account)
		}
	}
}

// bucketFor returns the bucket of an account and creates it if needed. The caller holds g.mu.
func (g *Granter) bucketFor(account string, now time.Time) *bucket {
	entry := g.buckets[account]
	if entry == nil {
		entry = &bucket{lenders: map[string]time.Time{}, updated: now}
		g.buckets[account] = entry
	}
	return entry
}

// withdraw removes tokens that are being granted and returns their number.
func (b *bucket) withdraw(tokens int, now time.Time) int {
	b.tokens -= float64(tokens)
	b.granted.Add(float64(tokens), TokenLifetime+MaxTokenDelay, now)
	return tokens
}

// lentFraction is the fraction of all shares that is lent to this node.
func (b *bucket) lentFraction(terms Terms) float64 {
	return float64(len(b.lenders)) / float64(max(terms.members(), len(b.lenders)))
}

// advance adds what the lent shares have yielded since the last update, up to the depth, and drops
// expired leases.
func (b *bucket) advance(terms Terms, now time.Time) {
	if !now.After(b.updated) {
		return
	}
	members := float64(max(terms.members(), len(b.lenders)))
	b.tokens += terms.Rate * b.lentTime(now).Seconds() / members
	b.tokens = min(b.tokens, b.depth(terms, now))
	b.updated = now
}

// depth returns how many tokens the bucket holds at most. It depends on the lent shares and, if
// tokens are earned, on the deposits within the window less the granted tokens that may be unspent.
func (b *bucket) depth(terms Terms, now time.Time) float64 {
	depth := terms.Depth * b.lentFraction(terms)
	if terms.Window > 0 {
		depth += terms.EarnedDepth*b.earned.Total(terms.Window, now) - b.granted.Total(TokenLifetime+MaxTokenDelay, now)
	}
	return depth
}

// lentTime returns the time for which shares were lent since the last update, summed over the
// lenders, and drops expired leases.
func (b *bucket) lentTime(now time.Time) (total time.Duration) {
	if now.Before(b.earliestExpiry) {
		return time.Duration(len(b.lenders)) * now.Sub(b.updated)
	}
	b.earliestExpiry = time.Time{}
	for node, expiry := range b.lenders {
		if expiry.After(b.updated) {
			total += min(expiry.Sub(b.updated), now.Sub(b.updated))
		}
		switch {
		case !expiry.After(now):
			delete(b.lenders, node)
		case b.earliestExpiry.IsZero() || expiry.Before(b.earliestExpiry):
			b.earliestExpiry = expiry
		}
	}
	return total
}
