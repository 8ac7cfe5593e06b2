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
	lenders  map[string]time.Time
	firstEnd time.Time
	// tokens is below zero when some were given out before they are due.
	tokens float64
	last   time.Time
	// earned counts the tokens that nodes passed on, given those that were given out and may not
	// be spent yet.
	earned, given SlidingSum
}

// NewGranter returns a granter to which nothing is lent.
func NewGranter() *Granter { return &Granter{buckets: map[string]*bucket{}} }

// AddLease takes in that a node lends its share of an account for a lease.
func (g *Granter) AddLease(from, account string, terms Terms, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.of(account, now)
	held.advance(terms, now)
	until := now.Add(lease(terms.Members))
	if _, renewed := held.lenders[from]; !renewed {
		held.tokens += terms.Initial / float64(terms.members())
	}
	held.lenders[from] = until
	if len(held.lenders) == 1 || until.Before(held.firstEnd) {
		held.firstEnd = until
	}
}

// EndLease takes in that a node does not lend its share of an account any more.
func (g *Granter) EndLease(from, account string, terms Terms, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held := g.buckets[account]; held != nil {
		held.advance(terms, now)
		delete(held.lenders, from)
	}
}

// Deposit takes in tokens that a node has earned and passes on.
func (g *Granter) Deposit(account string, tokens float64, terms Terms, now time.Time) {
	if terms.Window <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.of(account, now)
	held.advance(terms, now)
	held.earned.Add(tokens, terms.Window, now)
	held.tokens = min(held.tokens+tokens, held.depth(terms, now))
}

// Grant gives out tokens of an account, as many as there are of those that are wanted, or one
// that is due soon.
func (g *Granter) Grant(want Want, terms Terms, now time.Time) Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.buckets[want.Account]
	if held == nil {
		return Grant{WaitMS: RenewalInterval(terms.Members).Milliseconds()}
	}
	held.advance(terms, now)
	if held.tokens >= 1 {
		return Grant{Tokens: held.give(min(want.Tokens, int(held.tokens)), now)}
	}
	inflow := terms.Rate * held.share(terms)
	if inflow <= 0 {
		return Grant{WaitMS: RenewalInterval(terms.Members).Milliseconds()}
	}
	wait := time.Duration((1 - held.tokens) / inflow * float64(time.Second))
	granted := Grant{WaitMS: min(wait, leaseMost).Milliseconds() + 1}
	if wait < MaxTokenDelay {
		granted.Tokens = held.give(1, now)
	}
	return granted
}

// Retain forgets the accounts for which the function does not say so.
func (g *Granter) Retain(kept func(account string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for account := range g.buckets {
		if !kept(account) {
			delete(g.buckets, account)
		}
	}
}

// of returns the bucket of an account; the lock is held.
func (g *Granter) of(account string, now time.Time) *bucket {
	held := g.buckets[account]
	if held == nil {
		held = &bucket{lenders: map[string]time.Time{}, last: now}
		g.buckets[account] = held
	}
	return held
}

// give takes out tokens.
func (b *bucket) give(tokens int, now time.Time) int {
	b.tokens -= float64(tokens)
	b.given.Add(float64(tokens), TokenLifetime+MaxTokenDelay, now)
	return tokens
}

// share is the part of the nodes that lend their share now.
func (b *bucket) share(terms Terms) float64 {
	return float64(len(b.lenders)) / float64(max(terms.members(), len(b.lenders)))
}

// advance lets flow in what the shares lent since the last time bring, and takes out the
// lenders whose lease has ended. What can be saved up goes by the shares and by what was earned.
func (b *bucket) advance(terms Terms, now time.Time) {
	if !now.After(b.last) {
		return
	}
	members := float64(max(terms.members(), len(b.lenders)))
	b.tokens += terms.Rate * b.lent(now).Seconds() / members
	b.tokens = min(b.tokens, b.depth(terms, now))
	b.last = now
}

// depth is how many tokens can be saved up now.
func (b *bucket) depth(terms Terms, now time.Time) float64 {
	depth := terms.Depth * b.share(terms)
	if terms.Window > 0 {
		depth += terms.EarnedDepth*b.earned.Total(terms.Window, now) - b.given.Total(TokenLifetime+MaxTokenDelay, now)
	}
	return depth
}

// lent returns for how long shares were lent since the last time, added up over the lenders, and
// takes out those whose lease has ended.
func (b *bucket) lent(now time.Time) (total time.Duration) {
	if now.Before(b.firstEnd) {
		return time.Duration(len(b.lenders)) * now.Sub(b.last)
	}
	b.firstEnd = time.Time{}
	for node, until := range b.lenders {
		if until.After(b.last) {
			total += min(until.Sub(b.last), now.Sub(b.last))
		}
		switch {
		case !until.After(now):
			delete(b.lenders, node)
		case b.firstEnd.IsZero() || until.Before(b.firstEnd):
			b.firstEnd = until
		}
	}
	return total
}
