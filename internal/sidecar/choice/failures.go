package choice

import "sync"

// Failures is the share of a back end's recent requests that failed there. It is
// safe for concurrent use; the zero value has seen none.
type Failures struct {
	mu sync.Mutex // guards share
	// share is a mean that fades by request; between zero and one.
	share float64
}

// failureWeight is the weight of one request in the share.
const failureWeight = 1.0 / 32

// Observe takes in how one request went.
func (f *Failures) Observe(failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := 0.0
	if failed {
		seen = 1
	}
	f.share += (seen - f.share) * failureWeight
}

// Rate returns the share of failures.
func (f *Failures) Rate() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.share
}
