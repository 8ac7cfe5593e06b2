// Package nested tells the calls that a back end makes while it works on a request from the
// requests of clients. A nested call ends with the request that it serves: its deadline is that
// request's. So a request whose deadline is later than those of all that is at work at the back end
// of the machine where it begins is a client's. A route
// counts as called by back ends once leastSeen of its requests are known and at most strayShare of them
// were certainly clients'. The package is pure: the caller brings the time.
package nested

import (
	"sync"
	"time"
)

// ActiveRequests knows until when what a back end works on is of use. It is safe for concurrent use.
type ActiveRequests struct {
	mu sync.Mutex // guards runs
	// requests holds the requests at work by when their deadline is.
	requests map[*activeRequest]struct{}
}

type activeRequest struct {
	deadline time.Time
	repeated bool
}

// Begin notes a request that is of use until the deadline; repeated says that it has reached a
// back end before. The result notes its end.
func (w *ActiveRequests) Begin(deadline time.Time, repeated bool) (end func()) {
	request := &activeRequest{deadline: deadline, repeated: repeated}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.requests == nil {
		w.requests = map[*activeRequest]struct{}{}
	}
	w.requests[request] = struct{}{}
	return func() { w.end(request) }
}

func (w *ActiveRequests) end(request *activeRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.requests, request)
}

// LatestDeadline returns the latest deadline of what is at work, the zero time when nothing is.
func (w *ActiveRequests) LatestDeadline() (latest time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for request := range w.requests {
		if request.deadline.After(latest) {
			latest = request.deadline
		}
	}
	return latest
}

// Repeated returns how likely it is that the run which makes a call with that deadline is a
// repeat: the part of those that are, among the runs with about that deadline or, where there are
// none, among all.
func (w *ActiveRequests) Repeated(deadline time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	matching, all := &repeatCounter{}, &repeatCounter{}
	for request := range w.requests {
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

// repeatCounter counts runs and those that are repeats.
type repeatCounter struct{ requests, repeated float64 }

func (l *repeatCounter) add(request *activeRequest) {
	l.requests++
	if request.repeated {
		l.repeated++
	}
}

func (l *repeatCounter) probability() float64 { return l.repeated / max(l.requests, 1) }

const (
	// maximumReadDelay is how much later than it was sent a call may be read: a busy machine takes that
	// long, and its deadline counts from then.
	maximumReadDelay = 100 * time.Millisecond
	// minimumRequests is how many requests of a route say something of it.
	minimumRequests = 8
	// maximumClientShare is the part of a called route's requests that may seem to be clients': calls
	// that cross the end of the request that they serve.
	maximumClientShare = 0.02
	// windowRequests is how many requests of a route count: older ones fade.
	windowRequests = 256
	// startupDelay is how long after its start a node does not know what its back end works on: requests
	// that began before are not in Work.
	startupDelay = time.Second
)

// Classifier learns which routes back ends call. It is safe for concurrent use.
type Classifier struct {
	active  *ActiveRequests
	started time.Time
	routes  sync.Map // of *seen by route name
}

// routeCounter counts the requests of one route.
type routeCounter struct {
	mu sync.Mutex // guards all below
	// total counts them, clients those that were certainly a client's.
	total, clients float64
}

// NewClassifier returns one that has seen no route. started is when the node started.
func NewClassifier(active *ActiveRequests, started time.Time) *Classifier {
	return &Classifier{active: active, started: started}
}

// Nested takes in a request that begins at this machine and reports whether it is a call of what
// its back end works on. identified says that the request bears what only clients have.
func (r *Classifier) Nested(route string, deadline time.Time, identified bool, now time.Time) bool {
	if now.Sub(r.started) < startupDelay {
		return false
	}
	client := identified || deadline.After(r.active.LatestDeadline().Add(maximumReadDelay))
	called := r.counterOf(route).add(client)
	return called && !client
}

// Repeated is as of the work at the node's back end.
func (r *Classifier) Repeated(deadline time.Time) float64 { return r.active.Repeated(deadline) }

func (r *Classifier) counterOf(route string) *routeCounter {
	if counter, found := r.routes.Load(route); found {
		return counter.(*routeCounter)
	}
	counter, _ := r.routes.LoadOrStore(route, &routeCounter{})
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
