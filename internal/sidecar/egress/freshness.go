package egress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// Freshness confirms that the configuration in force is the newest.
type Freshness interface {
	// Confirm asks peers whether it is, catches up when it was not, and reports whether it is now.
	// It takes a short time at most.
	Confirm(ctx context.Context) bool
	// CatchUp fetches a version that the named node holds, and reports whether that succeeded
	// within a short time.
	CatchUp(ctx context.Context, node string, version uint64) bool
	// RecordProof records another node's proof that at that time no version above the given one existed.
	RecordProof(version uint64, at time.Time)
	// ProofAge returns how long ago the configuration in force is known to have been the newest;
	// false when that was never known.
	ProofAge() (age time.Duration, proven bool)
}

// standalone is the Freshness of a node without peers.
type standalone struct{}

// Confirm implements Freshness.
func (standalone) Confirm(context.Context) bool { return true }

// CatchUp implements Freshness.
func (standalone) CatchUp(context.Context, string, uint64) bool { return false }

// RecordProof implements Freshness.
func (standalone) RecordProof(uint64, time.Time) {}

// ProofAge implements Freshness.
func (standalone) ProofAge() (time.Duration, bool) { return 0, false }

var errUnconfirmed = errors.New("no route for this host and path, or no tenant with this key, and no peer confirms that the configuration is the newest")

// maxReroutes limits how often one request is rerouted: changes may come in quick succession, and
// the request has not run in between.
const maxReroutes = 3

// findRoute sets the request's route and tenant. A refusal for want of either is final for the
// caller, so the node first confirms that its configuration is the newest: an outdated one would
// refuse what others serve.
func (c *call) findRoute() *outcome.Failure {
	if c.match() == nil {
		return nil
	}
	level := c.handler.options.Freshness.Confirm(c.request.Context())
	c.table = c.handler.options.Table()
	failure := c.match()
	if failure == nil || level {
		return failure
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepMatch, defaultRetryAfter, errUnconfirmed)
}

// match sets the route and the tenant from the call's table.
func (c *call) match() *outcome.Failure {
	c.tenant = nil
	if c.route = match(c.table, c.request); c.route == nil {
		return outcome.Refusal(http.StatusNotFound, outcome.StepMatch, 0, errNoRoute)
	}
	return c.identify()
}

// misrouted reports whether a peer returned the request, without running it, because a newer
// configuration routes it elsewhere.
func (r *result) misrouted() bool {
	return r.failure != nil && r.failure.Outcome == outcome.NotRun && r.failure.Step == outcome.StepMoved
}

// reroute fetches the configuration of the peer that returned the request and routes the request by
// it. It reports whether the request can be sent again; otherwise failure, unless nil, replaces
// that of the peer. Detached attempts use the fields that would change, so a call with any is not
// rerouted.
func (c *call) reroute(last result) (retry bool, failure *outcome.Failure) {
	c.reroutes++
	if c.reroutes > maxReroutes || c.detached > 0 || c.runs > 0 || !c.body.Reclaim() {
		return false, nil
	}
	if !c.handler.options.Freshness.CatchUp(c.context, last.target.node, last.version) {
		return false, nil
	}
	c.table = c.handler.options.Table()
	if failure := c.findRoute(); failure != nil {
		return false, failure
	}
	c.service = c.route.NextService()
	c.sampleOverShare()
	c.handler.options.RetryBudget.RecordRequest(c.service, c.retryProbability)
	return true, nil
}
