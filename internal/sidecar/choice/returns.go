package choice

import (
	"sync"
	"time"
)

// Returns is the share of callers that came back after a refusal and were refused
// again. While it is high, whoever is refused does better to come back later: a
// rush passes, and a back end that has just started becomes faster. It is safe
// for concurrent use; the zero value has seen none.
type Returns struct {
	mu sync.Mutex // guards all below
	// share is a mean that fades by caller and with time; between zero and one.
	share float64
	// seen is when a caller last came back; zero before the first.
	seen time.Time
}

const (
	// returnWeight is the weight of one caller in the share.
	returnWeight = 1.0 / 8
	// heededShare is the part of the remaining time that callers wait at most
	// before they come back.
	heededShare = 0.32
)

// Observe takes in whether a caller that came back was refused again.
func (r *Returns) Observe(refused bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	share := r.at(now)
	seen := 0.0
	if refused {
		seen = 1
	}
	r.share = share + (seen-share)*returnWeight
	r.seen = now
}

// at returns the share at that moment; the lock is held.
func (r *Returns) at(now time.Time) float64 { return r.share * fading(now.Sub(r.seen)) }

// Wait returns how long a caller that is refused now is to stay away: what the
// queue makes expect, more where those who came back were refused, and no more
// than callers heed.
func (r *Returns) Wait(expected, remaining time.Duration, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := time.Duration(float64(max(remaining, 0)) * heededShare)
	return min(max(expected, time.Duration(float64(most)*r.at(now))), most)
}
