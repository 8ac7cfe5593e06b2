package quarantine

import (
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

const (
	// recentWindow is the minimum time for which a completed request is exempt from suspicion; the
	// maximum is twice that. Without this, requests that are made all the time would be suspects of
	// every crash.
	recentWindow = 5 * time.Second
	// maxRecent bounds the number of requests remembered per window.
	maxRecent = 4096
)

// completions remembers which requests completed recently. It is safe for concurrent use.
type completions struct {
	mu sync.Mutex // guards the fields below
	// currentWindow and previousWindow hold the call digests of the requests that completed in
	// each.
	currentWindow, previousWindow map[fingerprint.Digest]struct{}
	windowStart                   time.Time
}

// add records a completed request.
func (r *completions) add(print fingerprint.Fingerprint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	if len(r.currentWindow) < maxRecent {
		r.currentWindow[print.Call] = struct{}{}
	}
}

// withoutCompleted returns the requests that have not completed recently, and forgets the others,
// so that a request that starts to crash back ends is exempt only once.
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

// rotate discards expired windows. The lock must be held.
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
