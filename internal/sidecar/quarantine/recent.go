package quarantine

import (
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

const (
	// recentFor is how long at least a good end speaks for a request; twice that at most.
	// What is asked for all the time is at work at every back end that ends.
	recentFor = 5 * time.Second
	// mostRecent bounds the requests remembered of each of two such times, in number.
	mostRecent = 4096
)

// recent remembers which requests came to a good end of late. It is safe for concurrent
// use.
type recent struct {
	mu sync.Mutex // guards all below
	// present and past hold the requests of this time and of the one before, by call.
	present, past map[fingerprint.Digest]struct{}
	began         time.Time
}

// add notes a good end.
func (r *recent) add(print fingerprint.Fingerprint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	if len(r.present) < mostRecent {
		r.present[print.Call] = struct{}{}
	}
}

// withoutServed returns those of the requests that had no good end of late, and forgets the
// others: a request that begins to end back ends is spoken for once.
func (r *recent) withoutServed(running []fingerprint.Fingerprint, now time.Time) (left []fingerprint.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	for _, print := range running {
		if !r.holds(print) {
			left = append(left, print)
		}
	}
	for _, print := range running {
		delete(r.present, print.Call)
		delete(r.past, print.Call)
	}
	return left
}

func (r *recent) holds(print fingerprint.Fingerprint) bool {
	_, present := r.present[print.Call]
	_, past := r.past[print.Call]
	return present || past
}

// turn forgets what is too old; the lock is held.
func (r *recent) turn(now time.Time) {
	elapsed := now.Sub(r.began)
	if r.present != nil && elapsed < recentFor {
		return
	}
	r.past = r.present
	if elapsed >= 2*recentFor {
		r.past = nil
	}
	r.present, r.began = map[fingerprint.Digest]struct{}{}, now
}
