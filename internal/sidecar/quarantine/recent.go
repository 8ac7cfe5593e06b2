package quarantine

import (
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

const (
	// recentWindow is how long at least a good end speaks for a request; twice that at most.
	// What is asked for all the time is at work at every back end that ends.
	recentWindow = 5 * time.Second
	// maxRecent bounds the requests remembered of each of two such times, in number.
	maxRecent = 4096
)

// completions remembers which requests came to a good end of late. It is safe for concurrent
// use.
type completions struct {
	mu sync.Mutex // guards all below
	// currentWindow and previousWindow hold the requests of this time and of the one before, by call.
	currentWindow, previousWindow map[fingerprint.Digest]struct{}
	windowStart                   time.Time
}

// add notes a good end.
func (r *completions) add(print fingerprint.Fingerprint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	if len(r.currentWindow) < maxRecent {
		r.currentWindow[print.Call] = struct{}{}
	}
}

// withoutCompleted returns those of the requests that had no good end of late, and forgets the
// others: a request that begins to end back ends is spoken for once.
func (r *completions) withoutCompleted(running []fingerprint.Fingerprint, now time.Time) (left []fingerprint.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	for _, print := range running {
		if !r.contains(print) {
			left = append(left, print)
		}
	}
	for _, print := range running {
		delete(r.currentWindow, print.Call)
		delete(r.previousWindow, print.Call)
	}
	return left
}

func (r *completions) contains(print fingerprint.Fingerprint) bool {
	_, currentWindow := r.currentWindow[print.Call]
	_, previousWindow := r.previousWindow[print.Call]
	return currentWindow || previousWindow
}

// rotate forgets what is too old; the lock is held.
func (r *completions) rotate(now time.Time) {
	elapsed := now.Sub(r.windowStart)
	if r.currentWindow != nil && elapsed < recentWindow {
		return
	}
	r.previousWindow = r.currentWindow
	if elapsed >= 2*recentWindow {
		r.previousWindow = nil
	}
	r.currentWindow, r.windowStart = map[fingerprint.Digest]struct{}{}, now
}
