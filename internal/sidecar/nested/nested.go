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
	// runs holds the requests at work by when their deadline is.
	runs map[*run]struct{}
}

type run struct {
	deadline time.Time
	repeated bool
}

// Begin notes a request that is of use until the deadline; repeated says that it has reached a
// back end before. The result notes its end.
func (w *ActiveRequests) Begin(deadline time.Time, repeated bool) (end func()) {
	begun := &run{deadline: deadline, repeated: repeated}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.runs = map[*run]struct{}{}
	}
	w.runs[begun] = struct{}{}
	return func() { w.end(begun) }
}

func (w *ActiveRequests) end(ended *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.runs, ended)
}

// LatestDeadline returns the latest deadline of what is at work, the zero time when nothing is.
func (w *ActiveRequests) LatestDeadline() (latest time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for begun := range w.runs {
		if begun.deadline.After(latest) {
			latest = begun.deadline
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
	about, all := &likelihood{}, &likelihood{}
	for begun := range w.runs {
		all.add(begun)
		if deadline.Sub(begun.deadline).Abs() <= readDelay {
			about.add(begun)
		}
	}
	if about.runs > 0 {
		return about.share()
	}
	return all.share()
}

// likelihood counts runs and those that are repeats.
type likelihood struct{ runs, repeated float64 }

func (l *likelihood) add(begun *run) {
	l.runs++
	if begun.repeated {
		l.repeated++
	}
}

func (l *likelihood) share() float64 { return l.repeated / max(l.runs, 1) }

const (
	// readDelay is how much later than it was sent a call may be read: a busy machine takes that
	// long, and its deadline counts from then.
	readDelay = 100 * time.Millisecond
	// leastSeen is how many requests of a route say something of it.
	leastSeen = 8
	// strayShare is the part of a called route's requests that may seem to be clients': calls
	// that cross the end of the request that they serve.
	strayShare = 0.02
	// remembered is how many requests of a route count: older ones fade.
	remembered = 256
	// settleTime is how long after its start a node does not know what its back end works on: requests
	// that began before are not in Work.
	settleTime = time.Second
)

// Classifier learns which routes back ends call. It is safe for concurrent use.
type Classifier struct {
	work    *ActiveRequests
	started time.Time
	routes  sync.Map // of *seen by route name
}

// seen counts the requests of one route.
type seen struct {
	mu sync.Mutex // guards all below
	// total counts them, clients those that were certainly a client's.
	total, clients float64
}

// NewClassifier returns one that has seen no route. started is when the node started.
func NewClassifier(work *ActiveRequests, started time.Time) *Classifier {
	return &Classifier{work: work, started: started}
}

// Nested takes in a request that begins at this machine and reports whether it is a call of what
// its back end works on. identified says that the request bears what only clients have.
func (r *Classifier) Nested(route string, deadline time.Time, identified bool, now time.Time) bool {
	if now.Sub(r.started) < settleTime {
		return false
	}
	client := identified || deadline.After(r.work.LatestDeadline().Add(readDelay))
	called := r.of(route).add(client)
	return called && !client
}

// Repeated is as of the work at the node's back end.
func (r *Classifier) Repeated(deadline time.Time) float64 { return r.work.Repeated(deadline) }

func (r *Classifier) of(route string) *seen {
	if held, found := r.routes.Load(route); found {
		return held.(*seen)
	}
	held, _ := r.routes.LoadOrStore(route, &seen{})
	return held.(*seen)
}

// add counts one request and reports whether back ends call the route.
func (s *seen) add(client bool) (called bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if client {
		s.clients++
	}
	if s.total > remembered {
		s.total /= 2
		s.clients /= 2
	}
	return s.total >= leastSeen && s.clients <= s.total*strayShare
}
