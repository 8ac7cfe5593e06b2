package choice

import (
	"math"
	"sync"
	"time"
)

// Pace is how much longer one back end works than the callers' nodes expect of
// its service. It is safe for concurrent use.
type Pace struct {
	mutex   sync.Mutex // guards all below
	factor  float64
	samples float64
}

const (
	// paceSamples is how many requests the factor is an average of.
	paceSamples = 24
	// A single request moves the factor by no more than these bounds allow.
	lowestRatio, highestRatio = 0.1, 12
	// paceHalfLife is how fast a factor that is not renewed is forgotten, so
	// that a back end that was slow is tried again.
	paceHalfLife = 3 * time.Second
)

// Observe takes in one request.
func (p *Pace) Observe(worked, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(worked)/float64(expected), lowestRatio), highestRatio)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.samples = min(p.samples+1, paceSamples)
	// The first requests count as if some usual ones had come before.
	const prior = 3
	if p.factor == 0 {
		p.factor = 1
	}
	p.factor += (ratio - p.factor) / (p.samples + prior)
}

// Factor returns the factor, one before the first request.
func (p *Pace) Factor() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.factor == 0 {
		return 1
	}
	return p.factor
}

// Faded returns what a factor of that age still says.
func Faded(factor float64, age time.Duration) float64 {
	if factor <= 0 {
		return 1
	}
	return 1 + (factor-1)*fading(age)
}

// FadedShare returns what a share of failures of that age still says: a back end
// that was left alone is tried again.
func FadedShare(share float64, age time.Duration) float64 { return share * fading(age) }

// fading is the part of a report that still counts after that time.
func fading(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(paceHalfLife)) }

// Work is the usual time that requests of one route are worked on. It is safe
// for concurrent use.
type Work struct {
	mutex   sync.Mutex // guards all below
	mean    float64
	samples float64
}

// workSamples is how many requests the mean is an average of.
const workSamples = 100

// Observe takes in one request.
func (w *Work) Observe(worked time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.samples = min(w.samples+1, workSamples)
	w.mean += (float64(worked) - w.mean) / w.samples
}

// Mean returns the usual time, or the assumed one before the first request.
func (w *Work) Mean(assumed time.Duration) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.samples == 0 {
		return assumed
	}
	return time.Duration(w.mean)
}
