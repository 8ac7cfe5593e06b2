package egress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quota"
)

// Quota keeps tenants within their limits.
type Quota interface {
	// Take spends one request of a tenant that has a limit. The error is quota.ErrSpent when the
	// limit is reached, otherwise nobody can tell.
	Take(ctx context.Context, tenant string) (lending.Token, error)
	// Again spends one more run of a request and reports whether it may.
	Again(tenant string) bool
	// Return gives back the token of a request that did not run.
	Return(lending.Token)
}

// unlimited is the Quota of a node that keeps no limits.
type unlimited struct{}

// Take implements Quota.
func (unlimited) Take(context.Context, string) (lending.Token, error) { return lending.Token{}, nil }

// Again implements Quota.
func (unlimited) Again(string) bool { return true }

// Return implements Quota.
func (unlimited) Return(lending.Token) {}

// spend takes the request's place within its tenant's limit, or refuses it: as one too many when
// the limit is reached, otherwise as one that cannot be served now.
func (c *call) spend() *outcome.Failure {
	if !c.tenant.Limited() {
		return nil
	}
	token, err := c.handler.options.Quota.Take(c.context, c.tenant.Name)
	switch {
	case errors.Is(err, quota.ErrSpent):
		return outcome.Refusal(http.StatusTooManyRequests, outcome.StepQuota, token.Wait, err)
	case err != nil:
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepQuota, token.Wait, err)
	}
	c.tokens = append(c.tokens, token)
	c.awaitToken(token.Wait)
	return nil
}

// awaitToken waits until the token may be spent, at most a tenth of a second.
func (c *call) awaitToken(wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.context.Done():
	}
}

// spendAgain makes sure that the request has a token for one more run and reports whether it has: a send
// that provably did not run has left it one. Otherwise the granter is asked where requests compete for
// room; elsewhere what the node holds has to do.
func (c *call) spendAgain() bool {
	if !c.tenant.Limited() {
		return true
	}
	if !c.handler.contended() {
		return c.handler.options.Quota.Again(c.tenant.Name)
	}
	if unused := c.unused(); len(unused) > 0 && unused[len(unused)-1].Valid(clock.Now()) {
		return true
	}
	return c.spend() == nil
}

// unused returns the request's tokens that no send has used, those that end first in front.
func (c *call) unused() []lending.Token {
	return c.tokens[:max(len(c.tokens)-c.visits.mayHaveRun(), 0)]
}

// unspent gives tokens back that no run has used.
func (c *call) unspent(failure *outcome.Failure) {
	if !c.tenant.Limited() {
		return
	}
	if c.handler.contended() {
		for _, token := range c.unused() {
			c.handler.options.Quota.Return(token)
		}
		return
	}
	if failure.Outcome == outcome.NotRun && c.runs == 0 && len(c.tokens) > 0 {
		c.handler.options.Quota.Return(c.tokens[0])
	}
}
