package lending

import (
	"sync"
	"time"
)

// Granter gives out the tokens of accounts whose shares are lent to this node. What an earlier
// life of the node was lent or had saved up is lost. It is safe for concurrent use.
type Granter struct {
	mu      sync.Mutex // guards all below
	buckets map[string]*bucket
}

// bucket holds the tokens of one account.
type bucket struct {
	// lenders holds until when each node lends its share; firstEnd is not after any of these.
	lenders        map[string]time.Time
	earliestExpiry time.Time
	// tokens is below zero when some were given out before they are due.
	tokens  float64
	updated time.Time
	// earned counts the tokens that nodes passed on, given those that were given out and may not
	// be spent yet.
	earned, granted SlidingSum
}

// NewGranter returns a granter to which nothing is lent.
func NewGranter() *Granter { return &Granter{buckets: map[string]*bucket{}} }

// AddLease takes in that a node lends its share of an account for a lease.
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

// EndLease takes in that a node does not lend its share of an account any more.
func (g *Granter) EndLease(from, account string, terms Terms, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if entry := g.buckets[account]; entry != nil {
		entry.advance(terms, now)
		delete(entry.lenders, from)
	}
}

// Deposit takes in tokens that a node has earned and passes on.
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

// Grant gives out tokens of an account, as many as there are of those that are wanted, or one
// that is due soon.
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

// Retain forgets the accounts for which the function does not say so.
func (g *Granter) Retain(keep func(account string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for account := range g.buckets {
		if !keep(account) {
			delete(g.buckets, account)
		}
	}
}

// of returns the bucket of an account; the lock is held.
func (g *Granter) bucketFor(account string, now time.Time) *bucket {
	entry := g.buckets[account]
	if entry == nil {
		entry = &bucket{lenders: map[string]time.Time{}, updated: now}
		g.buckets[account] = entry
	}
	return entry
}

// give takes out tokens.
func (b *bucket) withdraw(tokens int, now time.Time) int {
	b.tokens -= float64(tokens)
	b.granted.Add(float64(tokens), TokenLifetime+MaxTokenDelay, now)
	return tokens
}

// share is the part of the nodes that lend their share now.
func (b *bucket) lentFraction(terms Terms) float64 {
	return float64(len(b.lenders)) / float64(max(terms.members(), len(b.lenders)))
}

// advance lets flow in what the shares lent since the last time bring, and takes out the
// lenders whose lease has ended. What can be saved up goes by the shares and by what was earned.
func (b *bucket) advance(terms Terms, now time.Time) {
	if !now.After(b.updated) {
		return
	}
	members := float64(max(terms.members(), len(b.lenders)))
	b.tokens += terms.Rate * b.lentTime(now).Seconds() / members
	b.tokens = min(b.tokens, b.depth(terms, now))
	b.updated = now
}

// depth is how many tokens can be saved up now.
func (b *bucket) depth(terms Terms, now time.Time) float64 {
	depth := terms.Depth * b.lentFraction(terms)
	if terms.Window > 0 {
		depth += terms.EarnedDepth*b.earned.Total(terms.Window, now) - b.granted.Total(TokenLifetime+MaxTokenDelay, now)
	}
	return depth
}

// lent returns for how long shares were lent since the last time, added up over the lenders, and
// takes out those whose lease has ended.
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
