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
	// Take spends one request of a tenant that has a limit. The error is quota.ErrLimitReached when the
	// limit is reached, otherwise nobody can tell.
	Take(ctx context.Context, tenant string) (lending.Token, error)
	// TakeRetry spends one more run of a request and reports whether it may.
	TakeRetry(tenant string) bool
	// Return gives back the token of a request that did not run.
	Return(lending.Token)
}

// unlimited is the Quota of a node that keeps no limits.
type unlimited struct{}

// Take implements Quota.
func (unlimited) Take(context.Context, string) (lending.Token, error) { return lending.Token{}, nil }

// TakeRetry implements Quota.
func (unlimited) TakeRetry(string) bool { return true }

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
	case errors.Is(err, quota.ErrLimitReached):
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

// spendAgain makes sure that the request has a token for one more run; the error says why it has none. A
// send that provably did not run has left it one. Otherwise the granter is asked where requests compete
// for room; elsewhere, and while a send that was left behind may answer, what the node holds has to do.
func (c *call) spendAgain() error {
	switch {
	case !c.tenant.Limited() || c.holdsToken():
		return nil
	case c.handler.contended() && c.behind == 0:
		if refused := c.spend(); refused != nil {
			return refused.Cause
		}
		return nil
	case !c.handler.options.Quota.TakeRetry(c.tenant.Name):
		return quota.ErrLimitReached
	}
	c.boughtAgain++
	return nil
}

// holdsToken reports whether a token is left that may still be spent.
func (c *call) holdsToken() bool {
	unused := c.unused()
	return c.handler.contended() && len(unused) > 0 && unused[len(unused)-1].Valid(clock.Now())
}

// unused returns the request's tokens that no send has used, those that end first in front.
func (c *call) unused() []lending.Token {
	used := max(c.visits.mayHaveRun()-c.boughtAgain, 0)
	return c.tokens[:max(len(c.tokens)-used, 0)]
}

// unspent gives the token back when the request provably did not run.
func (c *call) unspent(failure *outcome.Failure) {
	if c.tenant.Limited() && !c.handler.contended() && failure.Outcome == outcome.NotRun && c.runs == 0 && len(c.tokens) > 0 {
		c.handler.options.Quota.Return(c.tokens[0])
	}
}

// returnUnused gives the tokens back that no run has used, where requests compete for room.
func (c *call) returnUnused() {
	if !c.handler.contended() {
		return
	}
	for _, token := range c.unused() {
		c.handler.options.Quota.Return(token)
	}
	c.tokens = nil
}
