package quota

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/pause"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// Causes of refusals.
var (
	// ErrSpent: the tenant's limit is reached.
	ErrSpent = errors.New("the tenant's rate limit is reached")
	// ErrUnknown: nobody can tell whether the limit is reached.
	ErrUnknown = errors.New("nobody grants requests of the tenant")
)

const (
	// askTimeout bounds one question to a granter while a request waits. It is about a hundred
	// times what one takes between zones.
	askTimeout = 300 * time.Millisecond
	// askTries is how often one request asks in vain at most.
	askTries = 4
	// askAll is for how long one request asks on while the granter answers: others that wait for the same
	// answers may have spent what they brought.
	askAll = askTimeout
	// leastWait is the shortest wait that a refused caller is told.
	leastWait = 50 * time.Millisecond
	// grantersAge is for how long the granters that were found are used.
	grantersAge = 200 * time.Millisecond
	// grantersLook is the time between two looks at whether the granters have changed.
	grantersLook = 100 * time.Millisecond
	// lendersAtOnce is how many granters a node sends its shares to side by side.
	lendersAtOnce = 4
)

// Options configure a quota.
type Options struct {
	// Node is the node's own name.
	Node string
	// View returns the other nodes, Usable whether one is believed to be there.
	View   func() *roster.View
	Usable readers.Usable
	// Known reports whether the view holds about all nodes. One that has just started and takes
	// itself for alone would take all shares for its own.
	Known func() bool
	// Limit returns a tenant's limit in force; false when it has none.
	Limit func(tenant string) (Limit, bool)
	// Tenants returns those that have a limit.
	Tenants func() []string
	Bounds  func() Bounds
	// Send asks another node.
	Send func(ctx context.Context, to *roster.Record, asked *Ask) (*Answer, error)
	// Lost is told of a node that did not answer.
	Lost     func(node string)
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

// Quota keeps the limits on one node, for its own callers and as a granter of others. It is safe
// for concurrent use.
type Quota struct {
	options Options
	holder  *Holder
	granter *Granter
	asking  singleflight.Group
	closed  atomic.Bool
	found   atomic.Pointer[found]
	results *prometheus.CounterVec
}

// found are the granters as they were at a moment.
type found struct {
	granters []*roster.Record
	view     *roster.View
	at       time.Time
}

// New returns a quota that lends its shares once Run is called.
func New(options Options) *Quota {
	created := &Quota{options: options, holder: NewHolder(options.Node), granter: NewGranter()}
	created.results = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kestrel_quota_requests_total", Help: "Requests of tenants with a limit, by what became of them: granted, own, spent, unknown.",
	}, []string{"result"})
	options.Registry.MustRegister(created.results)
	return created
}

// Take spends one request of a tenant that has a limit. The request is to wait as long as the
// token says. The error is ErrSpent or ErrUnknown; the token's wait then says when there may be
// room.
func (q *Quota) Take(ctx context.Context, tenant string) (Token, error) {
	began := clock.Now()
	q.holder.Came(tenant, began)
	for failed, answered := 0, false; ; {
		switch verdict, token := q.holder.Take(tenant, clock.Now()); {
		case verdict == spent:
			return q.counted("granted", token, nil)
		case verdict == denied:
			token.Wait = max(token.Wait, leastWait)
			return q.counted("spent", token, ErrSpent)
		}
		switch {
		case failed == askTries || ctx.Err() != nil:
			return q.takeOwn(tenant)
		case answered && clock.Since(began) >= askAll:
			// Others had all that was given out: the limit is as good as reached.
			return q.counted("spent", Token{Wait: leastWait}, ErrSpent)
		}
		err := q.ask(ctx, tenant)
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

// Again spends one more run of a request, from what the node holds alone, and reports whether it
// may.
func (q *Quota) Again(tenant string) bool {
	verdict, token := q.holder.Take(tenant, clock.Now())
	if verdict == spent && token.Wait > 0 {
		q.holder.Return(token)
		return false
	}
	return verdict == spent
}

// Return gives back the token of a request that did not run.
func (q *Quota) Return(token Token) { q.holder.Return(token) }

func (q *Quota) counted(result string, token Token, err error) (Token, error) {
	q.results.WithLabelValues(result).Inc()
	return token, err
}

// takeOwn spends what the node's own share brings while nobody grants.
func (q *Quota) takeOwn(tenant string) (Token, error) {
	limit, limited := q.options.Limit(tenant)
	if !limited {
		return Token{}, nil
	}
	if !q.options.Known() {
		return q.counted("unknown", Token{Wait: leastWait}, ErrUnknown)
	}
	token, found := q.holder.TakeOwn(tenant, limit, q.options.Bounds(), q.members(), clock.Now())
	if found {
		return q.counted("own", token, nil)
	}
	return q.counted("unknown", Token{Wait: leastWait}, ErrUnknown)
}

// ask has the granter give tokens of a tenant to the node. Requests that come meanwhile wait for
// the same answer.
func (q *Quota) ask(ctx context.Context, tenant string) error {
	answered := q.asking.DoChan(tenant, func() (any, error) {
		var err error
		fault := contain.Run("quota", q.options.Logger, func() { err = q.askGranter(tenant) })
		return nil, errors.Join(err, fault)
	})
	select {
	case result := <-answered:
		return result.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (q *Quota) askGranter(tenant string) error {
	granter := granterOf(tenant, q.granters())
	if granter == nil {
		return ErrUnknown
	}
	now := clock.Now()
	asked := &Ask{From: q.options.Node, Wants: []Want{{Tenant: tenant, Tokens: q.holder.Wanted(tenant, now)}}}
	if q.holder.Lend(tenant, granter.Node, q.members(), now) {
		asked.Lends = []string{tenant}
	}
	answer, err := q.send(granter, asked)
	if err != nil {
		return err
	}
	if len(answer.Grants) != 1 {
		return trace.BadParameter("grants: %d of one that was asked for", len(answer.Grants))
	}
	if answer.Grants[0].Unknown {
		return trace.NotFound("%s knows of no limit of the tenant", granter.Node)
	}
	q.holder.Granted(tenant, answer.Grants[0], clock.Now())
	return nil
}

// send asks a granter, which may be the node itself. One that is not there, or closed, does not
// count with what was lent to it.
func (q *Quota) send(granter *roster.Record, asked *Ask) (*Answer, error) {
	if granter.Node == q.options.Node {
		return q.Serve(asked), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	answer, err := q.options.Send(ctx, granter, asked)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		q.holder.Freed(granter.Node, clock.Now())
		fallthrough
	case err != nil:
		q.options.Lost(granter.Node)
		q.found.Store(nil)
		return nil, err
	case answer.Closed:
		q.holder.Freed(granter.Node, clock.Now())
		q.found.Store(nil)
		return nil, trace.ConnectionProblem(nil, "%s grants nothing any more", granter.Node)
	}
	return answer, nil
}

// Serve answers another node, or the own one.
func (q *Quota) Serve(asked *Ask) *Answer {
	if q.closed.Load() {
		return &Answer{Closed: true}
	}
	now, bounds, members := clock.Now(), q.options.Bounds(), q.members()
	for _, tenant := range asked.Releases {
		if limit, limited := q.options.Limit(tenant); limited {
			q.granter.Release(asked.From, tenant, limit, bounds, members, now)
		}
	}
	for _, tenant := range asked.Lends {
		if limit, limited := q.options.Limit(tenant); limited {
			q.granter.Lend(asked.From, tenant, limit, bounds, members, now)
		}
	}
	answer := &Answer{}
	for _, want := range asked.Wants {
		limit, limited := q.options.Limit(want.Tenant)
		if !limited || !q.options.Known() {
			answer.Grants = append(answer.Grants, Grant{Unknown: true})
			continue
		}
		answer.Grants = append(answer.Grants, q.granter.Grant(want, limit, bounds, members, now))
	}
	return answer
}

// Close has the node grant nothing any more.
func (q *Quota) Close() { q.closed.Store(true) }

// Run keeps the node's shares lent until the context ends: to other nodes at once when the
// granters are others.
func (q *Quota) Run(ctx context.Context) {
	var lentTo []*roster.Record
	var lentAt time.Time
	for ctx.Err() == nil {
		due := clock.Since(lentAt) >= lease(q.members())/renewals
		if len(q.options.Tenants()) > 0 && (due || !slices.EqualFunc(lentTo, q.granters(), (*roster.Record).Same)) {
			lentTo, lentAt = q.granters(), clock.Now()
			_ = contain.Run("quota", q.options.Logger, q.lend)
		}
		pause.Wait(ctx, grantersLook)
	}
}

// lend renews the leases of all shares. Those that are lent to a node which is no granter of
// theirs any more are asked back first.
func (q *Quota) lend() {
	if !q.options.Known() {
		return
	}
	limited := func(tenant string) bool { _, limited := q.options.Limit(tenant); return limited }
	q.holder.Retain(limited)
	q.granter.Retain(limited)
	granters, now, members := q.granters(), clock.Now(), q.members()
	releases := map[string][]string{}
	for _, tenant := range q.options.Tenants() {
		if granter := granterOf(tenant, granters); granter != nil {
			if held := q.holder.LentElsewhere(tenant, granter.Node, now); held != "" {
				releases[held] = append(releases[held], tenant)
			}
		}
	}
	q.sendAll(releases, func(released []string) *Ask { return &Ask{From: q.options.Node, Releases: released} },
		func(granter string, released []string) { q.holder.Released(granter, released, clock.Now()) })
	now = clock.Now()
	lends := map[string][]string{}
	for _, tenant := range q.options.Tenants() {
		if granter := granterOf(tenant, granters); granter != nil && q.holder.Lend(tenant, granter.Node, members, now) {
			lends[granter.Node] = append(lends[granter.Node], tenant)
		}
	}
	q.sendAll(lends, func(lent []string) *Ask { return &Ask{From: q.options.Node, Lends: lent} }, func(string, []string) {})
}

// sendAll sends one message to each of the nodes and tells of those that were answered.
func (q *Quota) sendAll(tenants map[string][]string, ask func([]string) *Ask, answered func(node string, tenants []string)) {
	var group errgroup.Group
	group.SetLimit(lendersAtOnce)
	for node, names := range tenants {
		granter := q.options.View().Record(node)
		if granter == nil {
			continue
		}
		group.Go(func() error {
			if _, err := q.send(granter, ask(names)); err != nil {
				q.options.Logger.Info("shares of limits not lent or asked back", zap.String("peer", node), zap.Int("tenants", len(names)), zap.Error(err))
				return nil
			}
			answered(node, names)
			return nil
		})
	}
	_ = group.Wait()
}

// members is how many nodes own a share.
func (q *Quota) members() int { return max(q.options.View().Present(), 1) }

// granters returns the nodes that give out tokens. They change with the view, and when a node is
// lost.
func (q *Quota) granters() []*roster.Record {
	view, now := q.options.View(), clock.Now()
	if held := q.found.Load(); held != nil && held.view == view && now.Sub(held.at) < grantersAge {
		return held.granters
	}
	next := &found{granters: Granters(view, q.options.Usable), view: view, at: now}
	q.found.Store(next)
	q.holder.FreedIf(func(granter string) bool {
		// A node is closed before it says that it leaves.
		record := view.Record(granter)
		return record != nil && record.Leaving
	}, now)
	return next.granters
}
