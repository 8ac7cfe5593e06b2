// Package nested distinguishes the calls that a back end makes while it works on a request from
// requests of clients. A nested call inherits the deadline of the request that it serves. So a
// request whose deadline is later than those of all active requests at the local back end comes
// from a client. A route counts as called by back ends once at least minimumRequests of its
// requests were seen and at most maximumClientShare of them certainly came from clients. The
// package is pure: callers pass the time.
package nested

import (
	"sync"
	"time"
)

// ActiveRequests tracks the deadlines of the requests that a back end works on. It is safe for
// concurrent use.
type ActiveRequests struct {
	mu sync.Mutex // guards requests
	// requests holds the active requests.
	requests map[*activeRequest]struct{}
}

type activeRequest struct {
	deadline time.Time
	repeated bool
}

// Begin records a request with its deadline; repeated says that it reached a back end before. The
// result must be called when the request ends.
func (a *ActiveRequests) Begin(deadline time.Time, repeated bool) (end func()) {
	request := &activeRequest{deadline: deadline, repeated: repeated}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requests == nil {
		a.requests = map[*activeRequest]struct{}{}
	}
	a.requests[request] = struct{}{}
	return func() { a.end(request) }
}

func (a *ActiveRequests) end(request *activeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requests, request)
}

// LatestDeadline returns the latest deadline of the active requests, the zero time if there are
// none.
func (a *ActiveRequests) LatestDeadline() (latest time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for request := range a.requests {
		if request.deadline.After(latest) {
			latest = request.deadline
		}
	}
	return latest
}

// Repeated returns the probability that a call with that deadline is made by a repeated request:
// the share of repeated ones among the active requests with about that deadline or, if there are
// none, among all.
func (a *ActiveRequests) Repeated(deadline time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	matching, all := &repeatCounter{}, &repeatCounter{}
	for request := range a.requests {
		all.add(request)
		if deadline.Sub(request.deadline).Abs() <= maximumReadDelay {
			matching.add(request)
		}
	}
	if matching.requests > 0 {
		return matching.probability()
	}
	return all.probability()
}

// repeatCounter counts requests and the repeated ones among them.
type repeatCounter struct{ requests, repeated float64 }

func (c *repeatCounter) add(request *activeRequest) {
	c.requests++
	if request.repeated {
		c.repeated++
	}
}

func (c *repeatCounter) probability() float64 { return c.repeated / max(c.requests, 1) }

const (
	// maximumReadDelay is the maximum time between the sending and the reading of a call on a busy
	// machine. The deadline of the call is computed from the time of reading.
	maximumReadDelay = 100 * time.Millisecond
	// minimumRequests is the number of requests of a route that must be seen before it is
	// classified.
	minimumRequests = 8
	// maximumClientShare is the share of a called route's requests that may look like requests of
	// clients: calls that overlap with the end of the request that they serve.
	maximumClientShare = 0.02
	// windowRequests is the number of requests of a route that are counted before the counts are
	// halved.
	windowRequests = 256
	// startupDelay is the time after its start for which a node cannot classify requests, since
	// requests that began before are not in ActiveRequests.
	startupDelay = time.Second
)

// Classifier learns which routes are called by back ends. It is safe for concurrent use.
type Classifier struct {
	active  *ActiveRequests
	started time.Time
	routes  sync.Map // route name to *routeCounter
}

// routeCounter counts the requests of one route.
type routeCounter struct {
	mu sync.Mutex // guards all below
	// total counts all requests, clients those that certainly came from a client.
	total, clients float64
}

// NewClassifier returns a classifier without observations. started is the start time of the node.
func NewClassifier(active *ActiveRequests, started time.Time) *Classifier {
	return &Classifier{active: active, started: started}
}

// Nested records a request that enters the mesh at this node and reports whether it is a nested
// call of the local back end. identified says that the request carries credentials that only
// clients have.
func (c *Classifier) Nested(route string, deadline time.Time, identified bool, now time.Time) bool {
	if now.Sub(c.started) < startupDelay {
		return false
	}
	client := identified || !c.Possible(deadline)
	called := c.counterOf(route).add(client)
	return called && !client
}

// Possible reports whether the local back end works on a request that may make a call with that
// deadline. If not, the call certainly comes from a client.
func (c *Classifier) Possible(deadline time.Time) bool {
	return !deadline.After(c.active.LatestDeadline().Add(maximumReadDelay))
}

// Repeated returns the result of ActiveRequests.Repeated for the local back end.
func (c *Classifier) Repeated(deadline time.Time) float64 { return c.active.Repeated(deadline) }

func (c *Classifier) counterOf(route string) *routeCounter {
	if counter, found := c.routes.Load(route); found {
		return counter.(*routeCounter)
	}
	counter, _ := c.routes.LoadOrStore(route, &routeCounter{})
	return counter.(*routeCounter)
}

// add counts one request and reports whether back ends call the route.
func (c *routeCounter) add(client bool) (called bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if client {
		c.clients++
	}
	if c.total > windowRequests {
		c.total /= 2
		c.clients /= 2
	}
	return c.total >= minimumRequests && c.clients <= c.total*maximumClientShare
}
