// Package outbound implements the caller's side of the data path. It matches a request to a route,
// selects an endpoint in the allowed zones, forwards the request to the inbound proxy of that
// endpoint and returns the response.
package outbound

import (
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/proxy/balance"
	"github.com/kestrelstream/kestrelstream/internal/proxy/limit"
	"github.com/kestrelstream/kestrelstream/internal/proxy/retry"
	"github.com/kestrelstream/kestrelstream/internal/proxy/table"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// configuration is a compiled snapshot. A request loads it once and uses it until the request ends.
// It is immutable except for the endpoint sets of the services, which are replaced when the state
// of an endpoint changes.
type configuration struct {
	table    *table.Table[*route]
	services map[string]*service
	// routes is the set of names of all routes.
	routes map[string]bool
}

// route is a compiled route.
type route struct {
	name       string
	service    *service
	secret     *secret
	repeatable []string
	// inFlight is shared with the same route of other snapshots.
	inFlight        *atomic.Int64
	maximumInFlight int64
}

// secret is a credential as a header field to add to requests.
type secret struct {
	header string // in canonical form
	value  []string
}

// service is a service as declared by one snapshot.
type service struct {
	name     string
	view     *projection.Service
	deadline time.Duration
	policy   retry.Policy
	// endpoints is replaced whenever the state of an endpoint changes.
	endpoints atomic.Pointer[balance.Set]
	// shared is kept across snapshots.
	shared *sharedService
}

// sharedService is the state of a service that is kept across snapshots.
type sharedService struct {
	limiter *limit.Limiter
	budget  *retry.Budget
}

// defaultRepeatableMethods are the methods that may be run more than once if the route lists none.
var defaultRepeatableMethods = []string{"GET", "HEAD", "OPTIONS"}

// isRepeatable reports whether a request with that method may be run more than once.
func (r *route) isRepeatable(method string) bool {
	for _, repeatable := range r.repeatable {
		if repeatable == method {
			return true
		}
	}
	return false
}

// tryAcquire increments the number of requests in flight unless the route's limit is reached.
func (r *route) tryAcquire() bool {
	count := r.inFlight.Add(1)
	if r.maximumInFlight > 0 && count > r.maximumInFlight {
		r.inFlight.Add(-1)
		return false
	}
	return true
}

// release ends a request that tryAcquire began.
func (r *route) release() { r.inFlight.Add(-1) }

// repeatableMethods returns the methods of a route that may be run more than once.
func repeatableMethods(spec *resource.RouteSpec) []string {
	if len(spec.RepeatableMethods) == 0 {
		return defaultRepeatableMethods
	}
	return spec.RepeatableMethods
}
