// Package retry decides whether a failed attempt is retried. The decision is a
// pure function of the attempt; the retry budget is updated atomically.
package retry

import (
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// Policy bounds the attempts of one request.
type Policy struct {
	// Attempts is the maximum number of attempts per request, including the first.
	Attempts int
	// BudgetPercent is the maximum number of retries per hundred first attempts.
	BudgetPercent int
}

// Defaults for the parts of a retry policy that a service does not declare.
const (
	DefaultAttempts      = 3
	DefaultBudgetPercent = 20
)

// WithDefaults replaces zero fields by their defaults.
func (p Policy) WithDefaults() Policy {
	if p.Attempts == 0 {
		p.Attempts = DefaultAttempts
	}
	if p.BudgetPercent == 0 {
		p.BudgetPercent = DefaultBudgetPercent
	}
	return p
}

const (
	// backoffBase bounds the first backoff. The bound doubles with each attempt
	// up to backoffMaximum.
	backoffBase    = 2 * time.Millisecond
	backoffMaximum = 100 * time.Millisecond
)

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is the number of the attempt, from one.
	Number  int
	Outcome outcome.Outcome
	// Repeatable: the request may be processed more than once.
	Repeatable bool
	// RetriedUpstream: an earlier hop already retries this request.
	RetriedUpstream bool
	// BodyConsumed: the request body has been read and cannot be sent again.
	BodyConsumed bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Random is a uniformly distributed value that determines the jitter.
	Random uint64
}

// Decision reports whether to retry, and after which wait.
type Decision struct {
	Retry bool
	Wait  time.Duration
}

// Decide decides on a retry from the request alone; the caller must then also
// withdraw from the service's Budget. A non-repeatable request is retried only
// after the outcome NotRun.
func (p Policy) Decide(attempt Attempt) Decision {
	if attempt.Number >= p.Attempts || attempt.RetriedUpstream || attempt.BodyConsumed {
		return Decision{}
	}
	if attempt.Outcome != outcome.NotRun && !attempt.Repeatable {
		return Decision{}
	}
	wait := backoff(attempt.Number, attempt.Random)
	if wait >= attempt.Remaining {
		return Decision{}
	}
	return Decision{Retry: true, Wait: wait}
}

// backoff returns a wait that is uniform over [0, bound), where the bound doubles
// with each attempt (exponential backoff with full jitter).
func backoff(number int, random uint64) time.Duration {
	bound := backoffBase
	for range number - 1 {
		bound = min(2*bound, backoffMaximum)
	}
	return time.Duration(random % uint64(bound))
}

const (
	// tokensPerRetry is 100 so that percentages are whole numbers of tokens.
	tokensPerRetry = 100
	// initialRetries is the balance of a new budget, in retries.
	initialRetries = 10
	// maxSavedAttempts bounds the balance to the deposits of this many first
	// attempts.
	maxSavedAttempts = 1000
)

// Budget is a token bucket that bounds the retries of a service. It is safe for
// concurrent use.
type Budget struct {
	percent atomic.Int64
	tokens  atomic.Int64
}

// NewBudget returns a budget that allows percent retries per hundred first
// attempts.
func NewBudget(percent int) *Budget {
	budget := &Budget{}
	budget.percent.Store(int64(percent))
	budget.tokens.Store(initialRetries * tokensPerRetry)
	return budget
}

// SetPercent changes the number of retries per hundred first attempts.
func (b *Budget) SetPercent(percent int) { b.percent.Store(int64(percent)) }

// Deposit credits the budget for a first attempt. A full budget is not written
// to, which avoids contention between callers.
func (b *Budget) Deposit() {
	percent := b.percent.Load()
	ceiling := max(percent*maxSavedAttempts, initialRetries*tokensPerRetry)
	if b.tokens.Load() < ceiling {
		b.tokens.Add(percent)
	}
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) Withdraw() bool {
	for {
		balance := b.tokens.Load()
		if balance < tokensPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(balance, balance-tokensPerRetry) {
			return true
		}
	}
}
