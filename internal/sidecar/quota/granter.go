package quota

import (
	"sync"
	"time"
)

// Granter gives out the tokens of tenants whose shares are lent to this node. What an earlier
// life of the node was lent or had saved up is lost. It is safe for concurrent use.
type Granter struct {
	mu      sync.Mutex // guards all below
	buckets map[string]*bucket
}

// bucket holds the tokens of one tenant.
type bucket struct {
	// lenders holds until when each node lends its share; firstEnd is not after any of these.
	lenders  map[string]time.Time
	firstEnd time.Time
	// tokens is below zero when some were given out before they are due.
	tokens float64
	last   time.Time
}

// terms are what a bucket is filled by at one moment.
type terms struct {
	rate, depth float64
	members     int
}

// NewGranter returns a granter to which nothing is lent.
func NewGranter() *Granter { return &Granter{buckets: map[string]*bucket{}} }

// Lend takes in that a node lends its share of a tenant for a lease.
func (g *Granter) Lend(from, tenant string, limit Limit, bounds Bounds, members int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.buckets[tenant]
	if held == nil {
		held = &bucket{lenders: map[string]time.Time{}, last: now}
		g.buckets[tenant] = held
	}
	by := termsOf(limit, bounds, members)
	held.advance(by, now)
	until := now.Add(lease(members))
	if _, renewed := held.lenders[from]; !renewed {
		held.tokens += by.depth * broughtShare / float64(by.members)
	}
	held.lenders[from] = until
	if len(held.lenders) == 1 || until.Before(held.firstEnd) {
		held.firstEnd = until
	}
}

// Release takes in that a node does not lend its share of a tenant any more.
func (g *Granter) Release(from, tenant string, limit Limit, bounds Bounds, members int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held := g.buckets[tenant]; held != nil {
		held.advance(termsOf(limit, bounds, members), now)
		delete(held.lenders, from)
	}
}

// Grant gives out tokens of a tenant, as many as there are of those that are wanted, or one that
// is due soon.
func (g *Granter) Grant(want Want, limit Limit, bounds Bounds, members int, now time.Time) Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.buckets[want.Tenant]
	if held == nil {
		return Grant{WaitMS: lease(members).Milliseconds() / renewals}
	}
	by := termsOf(limit, bounds, members)
	held.advance(by, now)
	if held.tokens >= 1 {
		given := min(want.Tokens, int(held.tokens))
		held.tokens -= float64(given)
		return Grant{Tokens: given}
	}
	inflow := by.rate * held.share(by)
	if inflow <= 0 {
		return Grant{WaitMS: lease(members).Milliseconds() / renewals}
	}
	wait := time.Duration((1 - held.tokens) / inflow * float64(time.Second))
	granted := Grant{WaitMS: min(wait, leaseMost).Milliseconds() + 1}
	if wait < mostDelay {
		held.tokens--
		granted.Tokens = 1
	}
	return granted
}

// Retain forgets the tenants for which the function says so.
func (g *Granter) Retain(limited func(tenant string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for tenant := range g.buckets {
		if !limited(tenant) {
			delete(g.buckets, tenant)
		}
	}
}

func termsOf(limit Limit, bounds Bounds, members int) terms {
	rate, depth := bounds.tokens(limit)
	return terms{rate: rate, depth: depth, members: max(members, 1)}
}

// share is the part of the nodes that lend their share now.
func (b *bucket) share(by terms) float64 {
	return float64(len(b.lenders)) / float64(max(by.members, len(b.lenders)))
}

// advance lets flow in what the shares lent since the last time bring, and takes out the
// lenders whose lease has ended. What can be saved up goes by the shares as well.
func (b *bucket) advance(by terms, now time.Time) {
	if !now.After(b.last) {
		return
	}
	members := float64(max(by.members, len(b.lenders)))
	b.tokens += by.rate * b.lent(now).Seconds() / members
	b.tokens = min(b.tokens, by.depth*float64(len(b.lenders))/members)
	b.last = now
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
