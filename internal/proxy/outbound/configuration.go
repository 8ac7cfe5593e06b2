// Package outbound is the caller's side of the data path: it matches a request
// to a route, chooses an endpoint in the allowed zones, forwards the request to
// the proxy beside it and passes the whole answer back.
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

// configuration is one compiled snapshot. A request loads it once and keeps it
// to its end. Everything in it is immutable except the services' endpoint
// sets, which follow the endpoints' soft state.
type configuration struct {
	table    *table.Table[*route]
	services map[string]*service
	// routes holds the names of all routes.
	routes map[string]bool
}

// route is a compiled route.
type route struct {
	name       string
	service    *service
	secret     *secret
	repeatable []string
	// inFlight is shared by all versions of the route.
	inFlight        *atomic.Int64
	maximumInFlight int64
}

// secret is a credential in the form in which it is attached.
type secret struct {
	header string // canonical
	value  []string
}

// service is a service as one snapshot declares it.
type service struct {
	name     string
	view     *projection.Service
	deadline time.Duration
	policy   retry.Policy
	// endpoints is replaced whenever an endpoint's state changes.
	endpoints atomic.Pointer[balance.Set]
	// shared outlives snapshots.
	shared *sharedService
}

// sharedService is what all versions of a service have in common.
type sharedService struct {
	limiter *limit.Limiter
	budget  *retry.Budget
}

// Methods that may be repeated when a route lists none.
var defaultRepeatableMethods = []string{"GET", "HEAD", "OPTIONS"}

// isRepeatable reports whether a request of that method may be run more than once.
func (r *route) isRepeatable(method string) bool {
	for _, repeatable := range r.repeatable {
		if repeatable == method {
			return true
		}
	}
	return false
}

// tryAcquire counts a request in unless the route's bound is reached.
func (r *route) tryAcquire() bool {
	count := r.inFlight.Add(1)
	if r.maximumInFlight > 0 && count > r.maximumInFlight {
		r.inFlight.Add(-1)
		return false
	}
	return true
}

func (r *route) release() { r.inFlight.Add(-1) }

func repeatableMethods(spec *resource.RouteSpec) []string {
	if len(spec.RepeatableMethods) == 0 {
		return defaultRepeatableMethods
	}
	return spec.RepeatableMethods
}
