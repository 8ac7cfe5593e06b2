// Package carrier brings the messages of lending between nodes: it keeps the shares of a node's
// accounts lent, asks granters for tokens, and answers other nodes.
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

// ErrNoGranter says that no node gives out tokens of an account.
var ErrNoGranter = errors.New("nobody gives out tokens")

const (
	// grantersAge is for how long the granters that were found are used.
	granterCacheTTL = 200 * time.Millisecond
	// grantersLook is the time between two looks at whether the granters have changed.
	granterPollInterval = 100 * time.Millisecond
	// sendsAtOnce is how many granters a node sends its shares to side by side.
	maxConcurrentSends = 4
)

// Options configure a carrier.
type Options struct {
	// Name is that of what is lent, for log lines.
	Name string
	// Node is the node's own name.
	Node string
	// View returns the other nodes, Usable whether one is believed to be there.
	View      func() *roster.View
	Reachable readers.Reachable
	// MembershipKnown reports whether the view holds about all nodes. One that has just started and takes
	// itself for alone would take all shares for its own.
	MembershipKnown func() bool
	// Terms returns those of an account among so many nodes; false when there is no such account.
	Terms func(account string, memberCount int) (lending.Terms, bool)
	// Accounts returns those that there are.
	Accounts func() []string
	// Prefetch is for how long the tokens that are asked for at once are to last.
	Prefetch time.Duration
	// Send asks another node.
	Send func(ctx context.Context, to *roster.Record, request *lending.GrantRequest) (*lending.GrantResponse, error)
	// MarkLost is told of a node that did not answer.
	MarkLost func(node string)
	Logger   *zap.Logger
}

// Carrier is safe for concurrent use.
type Carrier struct {
	options        Options
	holder         *lending.Holder
	granter        *lending.Granter
	inFlight       singleflight.Group
	closed         atomic.Bool
	cachedGranters atomic.Pointer[cachedGranters]
}

// found are the granters as they were at a moment.
type cachedGranters struct {
	granters []*roster.Record
	view     *roster.View
	at       time.Time
}

// New returns a carrier that lends the node's shares once Run is called.
func New(options Options) *Carrier {
	return &Carrier{options: options, holder: lending.NewHolder(options.Node), granter: lending.NewGranter()}
}

// Holder returns what the node holds.
func (c *Carrier) Holder() *lending.Holder { return c.holder }

// Terms returns those of an account now; false when there is no such account.
func (c *Carrier) Terms(account string) (lending.Terms, bool) {
	return c.options.Terms(account, c.memberCount())
}

// MembershipKnown reports whether the node knows about all others.
func (c *Carrier) MembershipKnown() bool { return c.options.MembershipKnown() }

// RequestTokens has the granter give tokens of an account to the node. Requests that come meanwhile wait for
// the same answer.
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
		return trace.BadParameter("grants: has %d entries, not 1", len(response.Grants))
	}
	if response.Grants[0].Unknown {
		return trace.NotFound("%s knows of no such account", granter.Node)
	}
	c.holder.AddGrant(account, response.Grants[0], now, clock.Now())
	return nil
}

// send asks a granter, which may be the node itself. One that is not there, or closed, does not
// count with what was lent to it.
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
		return nil, trace.ConnectionProblem(nil, "%s grants nothing any more", granter.Node)
	}
	return response, nil
}

// Serve answers another node, or the own one.
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

// Close has the node grant nothing any more.
func (c *Carrier) Close() { c.closed.Store(true) }

// Run keeps the node's shares lent until the context ends: to other nodes at once when the
// granters are others.
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

// lend renews the leases of all shares and passes on what was earned. Shares that are lent to a
// node which is no granter of theirs any more are asked back first.
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

// releases returns what the node asks back, by whom it asks.
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

// lends returns what the node lends and passes on, by whom it goes to.
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

// passed returns the tokens that the node passes on now.
func (c *Carrier) surplus(account string, terms lending.Terms, now time.Time) float64 {
	if terms.Window <= 0 {
		return 0
	}
	return c.holder.WithdrawSurplus(account, terms, now)
}

// asks are messages by the node that they go to.
type requestsByNode map[string]*lending.GrantRequest

// to returns the message to a node.
func (r requestsByNode) to(node, from string) *lending.GrantRequest {
	if r[node] == nil {
		r[node] = &lending.GrantRequest{From: from}
	}
	return r[node]
}

// sendAll sends one message to each of the nodes and tells of those that were answered.
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

// members is how many nodes own a share.
func (c *Carrier) memberCount() int { return max(c.options.View().LiveCount(), 1) }

// granters returns the nodes that give out tokens. They change with the view, and when a node is
// lost.
func (c *Carrier) granters() []*roster.Record {
	view, now := c.options.View(), clock.Now()
	if cached := c.cachedGranters.Load(); cached != nil && cached.view == view && now.Sub(cached.at) < granterCacheTTL {
		return cached.granters
	}
	next := &cachedGranters{granters: lending.SelectGranters(view, c.options.Reachable), view: view, at: now}
	c.cachedGranters.Store(next)
	c.holder.EndLeasesIf(func(granter string) bool {
		// A node is closed before it says that it leaves.
		record := view.Record(granter)
		return record != nil && record.Leaving
	}, now)
	return next.granters
}
