// Package lending keeps the combined spending of all nodes within a rate, without a central counter
// that every request must ask. The accounts are tenants' rate limits and the repeats at each
// service.
//
// Each node owns an equal share of an account's rate. It lends the share to one other node, the
// account's granter, for a short lease. The granter grants tokens at the rate of the shares that it
// holds. If all nodes lend to the same granter it has the whole rate, and demand may arise at any
// node. In a network partition, each part has the shares of its own members, and an isolated node
// has its own share. Since a share is lent to one node at a time, the tokens that all granters and
// nodes give out never exceed the rate, even when nodes are partitioned, killed, suspended or just
// restarted.
//
// A node deposits tokens that it has earned itself with the granter. It removes them before it
// sends the message, so that they are spent once or lost.
//
// The package does no I/O; package carrier exchanges the messages.
package lending

import "time"

// Terms are the token-bucket parameters of an account at one moment.
type Terms struct {
	// Rate is the refill rate of all shares together, in tokens per second, and Depth their total
	// depth in tokens. Initial is the part of Depth, in tokens, that newly lent shares start with.
	Rate, Depth, Initial float64
	// EarnedDepth and LocalEarnedDepth are depths as fractions of the tokens earned within Window:
	// that at the granter, which includes granted tokens that are not spent yet, and that at the
	// node which earns them. If Window is zero, no tokens are earned.
	EarnedDepth, LocalEarnedDepth float64
	Window                        time.Duration
	// Members is the number of nodes that own a share.
	Members int
}

const (
	// TokenLifetime is the time for which a token may be spent after it was granted or, if that is
	// later, became due.
	TokenLifetime = 500 * time.Millisecond
	// MaxTokenDelay is the maximum time by which a token may be granted before it is due: for a
	// caller, a short wait is better than a refusal.
	MaxTokenDelay = 100 * time.Millisecond
	// RequestTimeout limits one GrantRequest to a granter. It is far above the round-trip time
	// between zones, so that only a lost or hanging peer reaches it.
	RequestTimeout = 300 * time.Millisecond
)

const (
	// A lease lasts leasePerMember for each node, within minLease and maxLease. It grows with the
	// number of nodes because each granter receives renewals from all of them.
	minLease       = time.Second
	maxLease       = 5 * time.Second
	leasePerMember = 10 * time.Millisecond
	// renewalsPerLease is how often a lease is renewed before it would expire.
	renewalsPerLease = 3
	// leaseMargin is the time by which the lender considers a share lent longer than the granter
	// does. It covers the time that the message may take.
	leaseMargin = 250 * time.Millisecond
)

// leaseDuration returns the duration of a lease.
func leaseDuration(members int) time.Duration {
	return min(max(time.Duration(members)*leasePerMember, minLease), maxLease)
}

// RenewalInterval returns the interval at which leases are renewed.
func RenewalInterval(members int) time.Duration { return leaseDuration(members) / renewalsPerLease }

// members returns the number of nodes that own a share, at least one.
func (t Terms) members() int { return max(t.Members, 1) }
