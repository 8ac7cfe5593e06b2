package choice

import "sync"

// Failures tracks the failure rate of a back end's recent requests. It is safe for concurrent use;
// the zero value starts at zero.
type Failures struct {
	mu sync.Mutex // guards share
	// share is an exponential moving average over requests, between zero and one.
	share float64
}

// failureWeight is the weight of one request in the moving average.
const failureWeight = 1.0 / 32

// Observe records the result of one request.
func (f *Failures) Observe(failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := 0.0
	if failed {
		seen = 1
	}
	f.share += (seen - f.share) * failureWeight
}

// Rate returns the failure rate.
func (f *Failures) Rate() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.share
}
