package quota

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending/carrier"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// Reasons for refusing a request.
var (
	// ErrLimitReached: the tenant's rate limit is reached.
	ErrLimitReached = errors.New("the tenant's rate limit is reached")
	// ErrNoGrant: no granter answered, so that it is unknown whether the limit is reached.
	ErrNoGrant = errors.New("nobody grants requests of the tenant")
)

const (
	// maxFailedRequests is the maximum number of token requests that may fail for one request of a
	// caller.
	maxFailedRequests = 4
	// maxRequestTime is the maximum time for which one request of a caller goes on requesting
	// tokens from a granter that answers. Other requests that wait for the same response may spend
	// all the tokens that it contains.
	maxRequestTime = 300 * time.Millisecond
	// minRetryAfter is the minimum retry delay that is sent to a refused caller.
	minRetryAfter = 50 * time.Millisecond
)

// Options configures a Quota.
type Options struct {
	// Node, View, Reachable, MembershipKnown, Send and MarkLost are as in carrier.Options.
	Node            string
	View            func() *roster.View
	Reachable       readers.Reachable
	MembershipKnown func() bool
	// Limit returns the limit of a tenant that is in force, or false if it has none.
	Limit func(tenant string) (Limit, bool)
	// Tenants returns the names of the tenants that have a limit.
	Tenants  func() []string
	Bounds   func() Bounds
	Send     func(ctx context.Context, to *roster.Record, request *lending.GrantRequest) (*lending.GrantResponse, error)
	MarkLost func(node string)
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

// Quota enforces the limits on one node, for the node's own callers and as a granter for other
// nodes. It is safe for concurrent use.
type Quota struct {
	*carrier.Carrier
	options Options
	results *prometheus.CounterVec
}

// New returns a quota. It lends the node's shares once Run is called.
func New(options Options) *Quota {
	created := &Quota{options: options}
	created.Carrier = carrier.New(carrier.Options{
		Name: "limits", Node: options.Node, View: options.View, Reachable: options.Reachable, MembershipKnown: options.MembershipKnown,
		Terms: created.terms, Accounts: options.Tenants, Prefetch: lending.TokenLifetime,
		Send: options.Send, MarkLost: options.MarkLost, Logger: options.Logger,
	})
	created.results = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kestrel_quota_requests_total", Help: "Requests of tenants with a limit, by what became of them: granted, own, spent, unknown.",
	}, []string{"result"})
	options.Registry.MustRegister(created.results)
	return created
}

// terms returns the lending terms of a tenant's limit for the given number of nodes.
func (q *Quota) terms(tenant string, members int) (lending.Terms, bool) {
	limit, limited := q.options.Limit(tenant)
	if !limited {
		return lending.Terms{}, false
	}
	return q.options.Bounds().Terms(limit, members), true
}

// Take spends one token of a tenant that has a limit. The request must wait for the token's Wait
// before it is sent. The error is ErrLimitReached or ErrNoGrant; the token's Wait then says when
// the caller may try again.
func (q *Quota) Take(ctx context.Context, tenant string) (lending.Token, error) {
	start := clock.Now()
	q.Holder().RecordDemand(tenant, start)
	for failed, answered := 0, false; ; {
		switch result, token := q.Holder().Take(tenant, clock.Now()); {
		case result == lending.Taken:
			return q.count("granted", token, nil)
		case result == lending.Denied:
			token.Wait = max(token.Wait, minRetryAfter)
			return q.count("spent", token, ErrLimitReached)
		}
		switch {
		case failed == maxFailedRequests || ctx.Err() != nil:
			return q.takeOwnShare(tenant)
		case answered && clock.Since(start) >= maxRequestTime:
			// Other requests have taken all granted tokens, so the limit counts as reached.
			return q.count("spent", lending.Token{Wait: minRetryAfter}, ErrLimitReached)
		}
		err := q.RequestTokens(ctx, tenant)
		answered = err == nil
		if answered {
			continue
		}
		failed++
		if ctx.Err() == nil {
			q.options.Logger.Info("no tokens granted", zap.String("tenant", tenant), zap.Error(err))
		}
	}
}

// TakeRetry spends one token for another run of a request and reports whether there was one. It
// uses only tokens that the node holds and that are due.
func (q *Quota) TakeRetry(tenant string) bool {
	result, token := q.Holder().Take(tenant, clock.Now())
	if result == lending.Taken && token.Wait > 0 {
		q.Holder().Return(token)
		return false
	}
	return result == lending.Taken
}

// Return gives back the token of a request that did not run.
func (q *Quota) Return(token lending.Token) { q.Holder().Return(token) }

func (q *Quota) count(result string, token lending.Token, err error) (lending.Token, error) {
	q.results.WithLabelValues(result).Inc()
	return token, err
}

// takeOwnShare spends a token of the node's own share when no granter answers.
func (q *Quota) takeOwnShare(tenant string) (lending.Token, error) {
	terms, limited := q.Terms(tenant)
	if !limited {
		return lending.Token{}, nil
	}
	if !q.options.MembershipKnown() {
		return q.count("unknown", lending.Token{Wait: minRetryAfter}, ErrNoGrant)
	}
	token, found := q.Holder().TakeOwnShare(tenant, terms, clock.Now())
	if found {
		return q.count("own", token, nil)
	}
	return q.count("unknown", lending.Token{Wait: minRetryAfter}, ErrNoGrant)
}
