package egress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// Freshness makes sure that the configuration in force is the newest.
type Freshness interface {
	// Confirm reports whether it is, as others say, after the node has caught up when it was
	// not. It takes a short time at most.
	Confirm(ctx context.Context) bool
	// CatchUp has the node catch up with a version that another one holds, and reports whether
	// it did in a short time.
	CatchUp(ctx context.Context, node string, version uint64) bool
	// Proven takes in another node's proof that there was no version above the given one at a moment.
	Proven(version uint64, at time.Time)
	// ProofAge returns how long ago the configuration in force is known to have been the newest;
	// false when that was never known.
	ProofAge() (age time.Duration, proven bool)
}

// alone is the Level of a node that has nobody to ask.
type alone struct{}

// Confirm implements Level.
func (alone) Confirm(context.Context) bool { return true }

// CatchUp implements Level.
func (alone) CatchUp(context.Context, string, uint64) bool { return false }

// Proven implements Level.
func (alone) Proven(uint64, time.Time) {}

// ProofAge implements Level.
func (alone) ProofAge() (time.Duration, bool) { return 0, false }

var errUnconfirmed = errors.New("no route for this host and path, or no tenant with this key, and nobody says whether there is a newer configuration")

// mostMoves bounds how often one request is routed anew: changes come in quick succession, and
// it has not run in between.
const mostMoves = 3

// findRoute finds the request's route and its tenant. That there is none is final for the
// caller, so the node first makes sure that it is level: one that is behind would refuse what
// others serve.
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

// match finds the route and the tenant by the call's table.
func (c *call) match() *outcome.Failure {
	c.tenant = nil
	if c.route = match(c.table, c.request); c.route == nil {
		return outcome.Refusal(http.StatusNotFound, outcome.StepMatch, 0, errNoRoute)
	}
	return c.identify()
}

// moved reports whether a node has given the request back since a newer configuration leads it
// elsewhere. It has not run.
func (r *result) moved() bool {
	return r.failure != nil && r.failure.Outcome == outcome.NotRun && r.failure.Step == outcome.StepMoved
}

// routeAnew catches up with the configuration of the node that gave the request back and
// routes the request by it. It reports whether the request can be sent on; otherwise the
// failure, which may be nil, replaces that of the node. Sends that were left behind use what
// would change: with one of them the request is not routed anew.
func (c *call) routeAnew(last result) (again bool, failure *outcome.Failure) {
	c.moves++
	if c.moves > mostMoves || c.behind > 0 || c.runs > 0 || c.body.Spent() {
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
	c.drawShare()
	c.handler.options.RetryBudget.RecordRequest(c.service, c.repeated)
	return true, nil
}
