// Package carrier exchanges the messages of package lending between nodes: it renews the leases of
// the node's shares, requests tokens from granters, and answers requests of other nodes.
package carrier

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/pause"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// ErrNoGranter is returned when no node grants tokens of an account.
var ErrNoGranter = errors.New("no granter for the account")

const (
	// granterCacheTTL is the time for which a selection of granters is reused.
	granterCacheTTL = 200 * time.Millisecond
	// granterPollInterval is the interval at which Run checks whether the granters have changed.
	granterPollInterval = 100 * time.Millisecond
	// maxConcurrentSends limits how many granters a node sends leases to at the same time.
	maxConcurrentSends = 4
)

// Options configures a Carrier.
type Options struct {
	// Name is the name of what is lent, for log lines.
	Name string
	// Node is the name of this node.
	Node string
	// View returns the current view of the nodes. Reachable reports whether a node is believed to
	// be reachable.
	View      func() *roster.View
	Reachable readers.Reachable
	// MembershipKnown reports whether the view contains nearly all nodes. Without it, a node that
	// has just started and sees no others would take the shares of all nodes for its own.
	MembershipKnown func() bool
	// Terms returns the terms of an account for the given number of nodes, or false if there is no
	// such account.
	Terms func(account string, memberCount int) (lending.Terms, bool)
	// Accounts returns the names of all accounts.
	Accounts func() []string
	// Prefetch is the time that the tokens of one request should last.
	Prefetch time.Duration
	// Send sends a request to another node and returns its response.
	Send func(ctx context.Context, to *roster.Record, request *lending.GrantRequest) (*lending.GrantResponse, error)
	// MarkLost is called with the name of a node that did not answer.
	MarkLost func(node string)
	Logger   *zap.Logger
}

// Carrier holds and grants tokens on one node. It is safe for concurrent use.
type Carrier struct {
	options        Options
	holder         *lending.Holder
	granter        *lending.Granter
	inFlight       singleflight.Group
	closed         atomic.Bool
	cachedGranters atomic.Pointer[cachedGranters]
}

// cachedGranters is a selection of granters with the view and the time that it was made at.
type cachedGranters struct {
	granters []*roster.Record
	view     *roster.View
	at       time.Time
}

// New returns a carrier. It lends the node's shares once Run is called.
func New(options Options) *Carrier {
	return &Carrier{options: options, holder: lending.NewHolder(options.Node), granter: lending.NewGranter()}
}

// Holder returns the holder of the node's tokens.
func (c *Carrier) Holder() *lending.Holder { return c.holder }

// Terms returns the current terms of an account, or false if there is no such account.
func (c *Carrier) Terms(account string) (lending.Terms, bool) {
	return c.options.Terms(account, c.memberCount())
}

// MembershipKnown reports whether the node knows nearly all other nodes.
func (c *Carrier) MembershipKnown() bool { return c.options.MembershipKnown() }

// RequestTokens requests tokens of an account from its granter and adds them to the holder.
// Concurrent calls for the same account share one request.
func (c *Carrier) RequestTokens(ctx context.Context, account string) error {
	done := c.inFlight.DoChan(account, func() (any, error) {
		var err error
		fault := contain.Run(c.options.Name, c.options.Logger, func() { err = c.requestGrant(account) })
		return nil, errors.Join(err, fault)
	})
	select {
	case result := <-done:
		return result.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Carrier) requestGrant(account string) error {
	granter := lending.GranterOf(account, c.granters())
	terms, exists := c.Terms(account)
	if granter == nil || !exists {
		return ErrNoGranter
	}
	now := clock.Now()
	wants := []lending.Want{{Account: account, Tokens: c.holder.TokensToRequest(account, c.options.Prefetch, now)}}
	request := &lending.GrantRequest{From: c.options.Node, Wants: wants}
	if c.holder.Lend(account, granter.Node, terms, now) {
		request.Lends = []string{account}
	}
	response, err := c.send(granter, request)
	if err != nil {
		return err
	}
	if len(response.Grants) != 1 {
		return trace.BadParameter("grants: %d entries in the response, expected 1", len(response.Grants))
	}
	if response.Grants[0].Unknown {
		return trace.NotFound("granter %s does not know the account", granter.Node)
	}
	c.holder.AddGrant(account, response.Grants[0], now, clock.Now())
	return nil
}

// send sends a request to a granter, which may be this node. If the granter's process has ended or
// it has stopped granting, the leases to it end, since it no longer uses the shares.
func (c *Carrier) send(granter *roster.Record, request *lending.GrantRequest) (*lending.GrantResponse, error) {
	if granter.Node == c.options.Node {
		return c.Serve(request), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), lending.RequestTimeout)
	defer cancel()
	response, err := c.options.Send(ctx, granter, request)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		c.holder.EndLeases(granter.Node, clock.Now())
		fallthrough
	case err != nil:
		c.options.MarkLost(granter.Node)
		c.cachedGranters.Store(nil)
		return nil, err
	case response.Closed:
		c.holder.EndLeases(granter.Node, clock.Now())
		c.cachedGranters.Store(nil)
		return nil, trace.ConnectionProblem(nil, "granter %s has stopped granting", granter.Node)
	}
	return response, nil
}

// Serve answers a request of another node or of this one.
func (c *Carrier) Serve(request *lending.GrantRequest) *lending.GrantResponse {
	if c.closed.Load() {
		return &lending.GrantResponse{Closed: true}
	}
	now := clock.Now()
	for _, account := range request.Releases {
		if terms, exists := c.Terms(account); exists {
			c.granter.EndLease(request.From, account, terms, now)
		}
	}
	for _, account := range request.Lends {
		if terms, exists := c.Terms(account); exists {
			c.granter.AddLease(request.From, account, terms, now)
		}
	}
	for _, deposit := range request.Deposits {
		if terms, exists := c.Terms(deposit.Account); exists {
			c.granter.Deposit(deposit.Account, deposit.Tokens, terms, now)
		}
	}
	response := &lending.GrantResponse{}
	for _, want := range request.Wants {
		terms, exists := c.Terms(want.Account)
		if !exists || !c.options.MembershipKnown() {
			response.Grants = append(response.Grants, lending.Grant{Unknown: true})
			continue
		}
		response.Grants = append(response.Grants, c.granter.Grant(want, terms, now))
	}
	return response
}

// Close makes the node stop granting.
func (c *Carrier) Close() { c.closed.Store(true) }

// Run keeps the node's shares lent until the context ends. It renews the leases at an interval, and
// at once when the granters have changed.
func (c *Carrier) Run(ctx context.Context) {
	var lentTo []*roster.Record
	var lentAt time.Time
	for ctx.Err() == nil {
		due := clock.Since(lentAt) >= lending.RenewalInterval(c.memberCount())
		if len(c.options.Accounts()) > 0 && (due || !slices.EqualFunc(lentTo, c.granters(), (*roster.Record).SameNode)) {
			lentTo, lentAt = c.granters(), clock.Now()
			_ = contain.Run(c.options.Name, c.options.Logger, c.renewLeases)
		}
		pause.Wait(ctx, granterPollInterval)
	}
}

// renewLeases renews the leases of all shares and deposits surplus tokens. It first releases shares
// that are lent to a node which is no longer their granter.
func (c *Carrier) renewLeases() {
	if !c.options.MembershipKnown() {
		return
	}
	exists := func(account string) bool { _, exists := c.Terms(account); return exists }
	c.holder.Retain(exists, clock.Now())
	c.granter.Retain(exists)
	accounts, granters := c.options.Accounts(), c.granters()
	c.sendAll(c.releaseRequests(accounts, granters), func(granter string, request *lending.GrantRequest) {
		c.holder.ConfirmRelease(granter, request.Releases, clock.Now())
	})
	c.sendAll(c.leaseRequests(accounts, granters), func(string, *lending.GrantRequest) {})
}

// releaseRequests returns the requests that release shares from their previous granters, by node.
func (c *Carrier) releaseRequests(accounts []string, granters []*roster.Record) map[string]*lending.GrantRequest {
	now, requests := clock.Now(), requestsByNode{}
	for _, account := range accounts {
		granter := lending.GranterOf(account, granters)
		if granter == nil {
			continue
		}
		if previous := c.holder.PreviousGranter(account, granter.Node, now); previous != "" {
			to := requests.to(previous, c.options.Node)
			to.Releases = append(to.Releases, account)
		}
	}
	return requests
}

// leaseRequests returns the requests that renew leases and deposit tokens, by node.
func (c *Carrier) leaseRequests(accounts []string, granters []*roster.Record) map[string]*lending.GrantRequest {
	now, requests := clock.Now(), requestsByNode{}
	for _, account := range accounts {
		granter := lending.GranterOf(account, granters)
		terms, exists := c.Terms(account)
		if granter == nil || !exists {
			continue
		}
		if c.holder.Lend(account, granter.Node, terms, now) {
			to := requests.to(granter.Node, c.options.Node)
			to.Lends = append(to.Lends, account)
		}
		if surplus := c.surplus(account, terms, now); surplus != 0 {
			to := requests.to(granter.Node, c.options.Node)
			to.Deposits = append(to.Deposits, lending.Deposit{Account: account, Tokens: surplus})
		}
	}
	return requests
}

// surplus withdraws and returns the tokens of an account to deposit.
func (c *Carrier) surplus(account string, terms lending.Terms, now time.Time) float64 {
	if terms.Window <= 0 {
		return 0
	}
	return c.holder.WithdrawSurplus(account, terms, now)
}

// requestsByNode maps the name of a node to the request for it.
type requestsByNode map[string]*lending.GrantRequest

// to returns the request for a node and creates it if needed.
func (r requestsByNode) to(node, from string) *lending.GrantRequest {
	if r[node] == nil {
		r[node] = &lending.GrantRequest{From: from}
	}
	return r[node]
}

// sendAll sends each request to its node and calls onSuccess for those that were answered.
func (c *Carrier) sendAll(requests map[string]*lending.GrantRequest, onSuccess func(node string, request *lending.GrantRequest)) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentSends)
	for node, request := range requests {
		granter := c.options.View().Record(node)
		if granter == nil {
			continue
		}
		group.Go(func() error {
			if _, err := c.send(granter, request); err != nil {
				c.options.Logger.Info("shares of "+c.options.Name+" not lent or asked back", zap.String("peer", node),
					zap.Int("lent", len(request.Lends)), zap.Int("askedBack", len(request.Releases)), zap.Error(err))
				return nil
			}
			onSuccess(node, request)
			return nil
		})
	}
	_ = group.Wait()
}

// memberCount returns the number of nodes that own a share.
func (c *Carrier) memberCount() int { return max(c.options.View().LiveCount(), 1) }

// granters returns the current granters. The cached selection is replaced when the view changes,
// when a granter did not answer, and after granterCacheTTL.
func (c *Carrier) granters() []*roster.Record {
	view, now := c.options.View(), clock.Now()
	if cached := c.cachedGranters.Load(); cached != nil && cached.view == view && now.Sub(cached.at) < granterCacheTTL {
		return cached.granters
	}
	next := &cachedGranters{granters: lending.SelectGranters(view, c.options.Reachable), view: view, at: now}
	c.cachedGranters.Store(next)
	c.holder.EndLeasesIf(func(granter string) bool {
		// A node stops granting before it announces that it leaves.
		record := view.Record(granter)
		return record != nil && record.Leaving
	}, now)
	return next.granters
}
