// Package lending keeps what nodes spend together within a bound, without a counter that every
// request asks. Tenants' rate limits and the repeats at a service are such accounts.
//
// Each node owns an equal share of an account's flow of tokens. It lends the share to one other
// node, the account's granter, for a short lease. The granter gives out tokens at the rate of the
// shares that it holds: where all nodes lend to the same one that is the whole rate, and demand
// may be anywhere. Where nodes cannot reach each other each group has the shares of its own
// members, and a node that is alone its own. Since a share is lent to one node at a time, what is
// given out by all granters and nodes together never exceeds the rate, whatever is cut off,
// killed, suspended, or just restarted.
//
// Tokens that a node has earned by itself are passed on whole: the node has them no more before
// the message leaves, so that they are spent once or lost.
//
// The package is pure; carrier brings its messages.
package lending

import "time"

// Terms are what an account is filled by at one moment.
type Terms struct {
	// Rate is in tokens a second of all shares together, Depth how many of them can be saved up,
	// Initial how many of these come with shares that are lent anew.
	Rate, Depth, Initial float64
	// EarnedDepth is the part of the tokens earned within Window that can be saved up at the
	// granter, those given out and not spent yet included. LocalEarnedDepth is that part at the node
	// which earns them. Nothing is earned in an account whose Window is zero.
	EarnedDepth, LocalEarnedDepth float64
	Window                        time.Duration
	// Members is how many nodes own a share.
	Members int
}

const (
	// TokenLifetime is how long after it is given out a token may be spent.
	TokenLifetime = 500 * time.Millisecond
	// MaxTokenDelay is how long before a token is due it is given out: to wait so long is better for
	// a caller than to be refused.
	MaxTokenDelay = 100 * time.Millisecond
	// RequestTimeout bounds one question to a granter. It is far above a round trip between zones, so
	// that only a lost or hanging peer reaches it.
	RequestTimeout = 300 * time.Millisecond
)

const (
	// leaseLeast and leaseMost bound a lease, leasePerMember is its length for each node: it is
	// renewed some times, and a granter hears that from all of them.
	minLease       = time.Second
	maxLease       = 5 * time.Second
	leasePerMember = 10 * time.Millisecond
	// renewals is how often a lease is renewed before it would end.
	renewalsPerLease = 3
	// leaseMargin is how much longer than its granter counts with it a share is taken for lent:
	// a message may take that long.
	leaseMargin = 250 * time.Millisecond
)

// lease returns how long a share is lent at a time.
func leaseDuration(members int) time.Duration {
	return min(max(time.Duration(members)*leasePerMember, minLease), maxLease)
}

// RenewalInterval returns the time between two messages that renew a lease.
func RenewalInterval(members int) time.Duration { return leaseDuration(members) / renewalsPerLease }

// members is how many nodes own a share, at least one.
func (t Terms) members() int { return max(t.Members, 1) }
