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

// Causes of refusals.
var (
	// ErrLimitReached: the tenant's limit is reached.
	ErrLimitReached = errors.New("the tenant's rate limit is reached")
	// ErrNoGrant: nobody can tell whether the limit is reached.
	ErrNoGrant = errors.New("nobody grants requests of the tenant")
)

const (
	// askTries is how often one request asks in vain at most.
	maxFailedRequests = 4
	// askAll is for how long one request asks on while the granter answers: others that wait for the same
	// answers may have spent what they brought.
	maxRequestTime = 300 * time.Millisecond
	// leastWait is the shortest wait that a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
)

// Options configure a quota.
type Options struct {
	// Node, View, Usable, Known, Send and Lost are as in carrier.Options.
	Node            string
	View            func() *roster.View
	Reachable       readers.Reachable
	MembershipKnown func() bool
	// Limit returns a tenant's limit in force; false when it has none.
	Limit func(tenant string) (Limit, bool)
	// Tenants returns those that have a limit.
	Tenants  func() []string
	Bounds   func() Bounds
	Send     func(ctx context.Context, to *roster.Record, request *lending.GrantRequest) (*lending.GrantResponse, error)
	MarkLost func(node string)
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

// Quota keeps the limits on one node, for its own callers and as a granter of others. It is safe
// for concurrent use.
type Quota struct {
	*carrier.Carrier
	options Options
	results *prometheus.CounterVec
}

// New returns a quota that lends its shares once Run is called.
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

// terms returns how a tenant's limit is lent among so many nodes.
func (q *Quota) terms(tenant string, members int) (lending.Terms, bool) {
	limit, limited := q.options.Limit(tenant)
	if !limited {
		return lending.Terms{}, false
	}
	return q.options.Bounds().Terms(limit, members), true
}

// Take spends one request of a tenant that has a limit. The request is to wait as long as the
// token says. The error is ErrSpent or ErrUnknown; the token's wait then says when there may be
// room.
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
			// Others had all that was given out: the limit is as good as reached.
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

// TakeRetry spends one more run of a request, from what the node holds alone, and reports whether it
// may.
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

// takeOwn spends what the node's own share brings while nobody grants.
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
