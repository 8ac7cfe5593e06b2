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

// Quota enforces the tenants' rate limits.
type Quota interface {
	// Take spends one request of a tenant that has a limit. The error is quota.ErrLimitReached when the
	// limit is reached; any other means that the limit cannot be checked.
	Take(ctx context.Context, tenant string) (lending.Token, error)
	// TakeRetry spends a token that the node holds on another run of a request, and reports whether
	// there was one.
	TakeRetry(tenant string) bool
	// Return gives back the token of a request that did not run.
	Return(lending.Token)
}

// noQuota is the Quota of a node that enforces no limits.
type noQuota struct{}

// Take implements Quota.
func (noQuota) Take(context.Context, string) (lending.Token, error) { return lending.Token{}, nil }

// TakeRetry implements Quota.
func (noQuota) TakeRetry(string) bool { return true }

// Return implements Quota.
func (noQuota) Return(lending.Token) {}

// takeToken takes a token of the tenant's rate limit for the request, or refuses it: with 429 when
// the limit is reached, with 503 when nothing can grant a token.
func (c *call) takeToken() *outcome.Failure {
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
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.context.Done():
	}
}

// takeRetryToken ensures that the request has a token for another run; the error says why it has
// none. An attempt that provably did not run leaves its token to the next one. Otherwise the
// granter is asked for one under overload control. Without overload control, and while a detached
// attempt may still answer, only a token that the node already holds will do.
func (c *call) takeRetryToken() error {
	switch {
	case !c.tenant.Limited() || c.hasValidToken():
		return nil
	case c.handler.contended() && c.detached == 0:
		if refused := c.takeToken(); refused != nil {
			return refused.Cause
		}
		return nil
	case !c.handler.options.Quota.TakeRetry(c.tenant.Name):
		return quota.ErrLimitReached
	}
	c.heldTokenRuns++
	return nil
}

// hasValidToken reports whether an unused token is left that has not expired.
func (c *call) hasValidToken() bool {
	unusedTokens := c.unusedTokens()
	return c.handler.contended() && len(unusedTokens) > 0 && unusedTokens[len(unusedTokens)-1].Valid(clock.Now())
}

// unusedTokens returns the request's tokens that no run has used, ordered by expiry.
func (c *call) unusedTokens() []lending.Token {
	used := max(c.attempts.possibleRuns()-c.heldTokenRuns, 0)
	return c.tokens[:max(len(c.tokens)-used, 0)]
}

// refundIfNotRun returns the token when the request provably did not run. It applies without
// overload control.
func (c *call) refundIfNotRun(failure *outcome.Failure) {
	if c.tenant.Limited() && !c.handler.contended() && failure.Outcome == outcome.NotRun && c.runs == 0 && len(c.tokens) > 0 {
		c.handler.options.Quota.Return(c.tokens[0])
	}
}

// returnUnusedTokens returns the tokens that no run has used. It applies while overload control is
// active.
func (c *call) returnUnusedTokens() {
	if !c.handler.contended() {
		return
	}
	for _, token := range c.unusedTokens() {
		c.handler.options.Quota.Return(token)
	}
	c.tokens = nil
}
