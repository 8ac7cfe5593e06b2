package choice

import (
	"math"
	"sync"
	"time"
)

// Pace is how much longer one back end works than the callers' nodes expect of
// its service. Where the back end tells how long work takes there at the moment, that is
// divided out of what is learned: what is learned moves slowly, what is told at once. It is
// safe for concurrent use.
type Pace struct {
	mutex sync.Mutex // guards all below
	// factor is what is learned, beside what the back end tells.
	factor   float64
	samples  float64
	reported reported
	// running are the requests that it works on now.
	running map[*Run]struct{}
}

// Run is one request that a back end works on. It is immutable.
type Run struct {
	began    time.Time
	expected time.Duration
}

const (
	// paceSamples is how many requests the factor is an average of.
	paceSamples = 24
	// A single request moves the factor by no more than these bounds allow.
	lowestRatio, highestRatio = 0.1, 12
	// highestFactor bounds the factor that a peer may tell: a back end that is
	// slower serves nobody in time either, and it must be forgotten some time.
	highestFactor = 2 * highestRatio
	// neutralFactor is that of a back end of which nothing is known.
	neutralFactor = 1
	// priorSamples have the first requests count as if some usual ones had come
	// before.
	priorSamples = 3
	// paceHalfLife is how fast a factor that is not renewed is forgotten at least,
	// so that a back end that was slow is tried again.
	paceHalfLife = 3 * time.Second
)

// SetReported takes in how much longer work takes at the back end at the moment than usually, as it
// says itself. Zero has what it said forgotten: the back end does not tell.
func (p *Pace) SetReported(factor float64, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if factor <= 0 {
		p.reported = reported{}
		return
	}
	p.reported = p.reported.updated(min(max(factor, lowestRatio), highestRatio), now)
}

// Reported returns what the back end last said and how old that is; zero when it never did.
func (p *Pace) Reported(now time.Time) (factor float64, age time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.reported.expired(now) {
		return 0, 0
	}
	return p.reported.factor, now.Sub(p.reported.at)
}

// Begin notes that the back end begins a request that is expected to take that
// time. End is to be called with the result.
func (p *Pace) Begin(expected time.Duration, now time.Time) *Run {
	begun := &Run{began: now, expected: expected}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running == nil {
		p.running = map[*Run]struct{}{}
	}
	p.running[begun] = struct{}{}
	return begun
}

// End notes that a request is not worked on any more.
func (p *Pace) End(run *Run) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.running, run)
}

// Observe takes in one request of a back end that tells nothing.
func (p *Pace) Observe(worked, expected time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.observe(worked, expected, neutralFactor)
}

// ObserveReported takes in one request, whose answer told that factor; zero when it told none. Then
// what is believed by now stands in: the same that Factor goes by.
func (p *Pace) ObserveReported(worked, expected time.Duration, factor float64, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if factor <= 0 {
		factor = p.reported.current(now)
	}
	p.observe(worked, expected, min(max(factor, lowestRatio), highestRatio))
}

// observe learns from one request with the told factor divided out. The lock is held.
func (p *Pace) observe(worked, expected time.Duration, reported float64) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(worked)/float64(expected)/reported, lowestRatio), highestRatio)
	p.samples = min(p.samples+1, paceSamples)
	if p.factor == 0 {
		p.factor = neutralFactor
	}
	p.factor += (ratio - p.factor) / (p.samples + priorSamples)
}

// Factor returns the factor, one before the first request. Requests that have
// already taken longer than the factor makes expect count for what they have taken:
// a back end that became slow is known as such before it ends the first of them.
func (p *Pace) Factor(now time.Time) float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	factor := p.factor
	if factor == 0 {
		factor = neutralFactor
	}
	if !p.reported.expired(now) {
		factor = max(factor*p.reported.current(now), lowestRatio)
	}
	excess := 0.0
	for run := range p.running {
		if run.expected > 0 {
			ratio := min(float64(now.Sub(run.began))/float64(run.expected), highestRatio)
			excess += max(ratio-factor, 0)
		}
	}
	return min(factor+excess/(p.samples+priorSamples), highestFactor)
}

// DecayedPace returns what a factor of that age still says. heard is the time in which
// half of a report of the load is forgotten where it comes from: who hears of a back
// end rarely remembers its pace for longer.
func DecayedPace(factor float64, age, sourceHalfLife time.Duration) float64 {
	if factor <= 0 {
		return neutralFactor
	}
	return neutralFactor + (min(factor, highestFactor)-neutralFactor)*decay(age, sourceHalfLife)
}

// DecayedFailureRate returns what a share of failures of that age still says: a back end
// that was left alone is tried again.
func DecayedFailureRate(share float64, age, sourceHalfLife time.Duration) float64 {
	return min(share, 1) * decay(age, sourceHalfLife)
}

// decay is the part of a report that still counts after that time.
func decay(age, sourceHalfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(max(paceHalfLife, sourceHalfLife)))
}

// ServiceTime is the usual time that requests of one route are worked on. It is safe
// for concurrent use.
type ServiceTime struct {
	mutex   sync.Mutex // guards all below
	mean    float64
	samples float64
}

// workSamples is how many requests the mean is an average of.
const workSamples = 100

// Observe takes in one request.
func (w *ServiceTime) Observe(worked time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.samples = min(w.samples+1, workSamples)
	w.mean += (float64(worked) - w.mean) / w.samples
}

// Mean returns the usual time, or the assumed one before the first request.
func (w *ServiceTime) Mean(assumed time.Duration) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.samples == 0 {
		return assumed
	}
	return time.Duration(w.mean)
}
