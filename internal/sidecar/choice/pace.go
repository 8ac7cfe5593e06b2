package choice

import (
	"math"
	"sync"
	"time"
)

// Pace estimates how much longer one back end works on requests than callers' nodes expect of its
// service. If the back end reports its current slowdown, observed service times are divided by the
// reported factor: the learned factor changes slowly, the reported one takes effect at once. It is
// safe for concurrent use.
type Pace struct {
	mutex sync.Mutex // guards all below
	// factor is the learned factor, without the reported one.
	factor   float64
	samples  float64
	reported reported
	// running holds the requests in progress.
	running map[*Run]struct{}
}

// Run is one request in progress at a back end. It is immutable.
type Run struct {
	began    time.Time
	expected time.Duration
}

const (
	// paceSamples is the number of requests that the learned factor averages over.
	paceSamples = 24
	// Bounds of the ratio that a single request contributes.
	lowestRatio, highestRatio = 0.1, 12
	// highestFactor bounds the factor that a peer may report. A slower back end serves no request
	// in time either, and a larger value would take too long to decay.
	highestFactor = 2 * highestRatio
	// neutralFactor is the factor of a back end without observations.
	neutralFactor = 1
	// priorSamples is the number of requests at the neutral factor that precede the first
	// observation in the average.
	priorSamples = 3
	// paceHalfLife is the minimum half-life of a factor that is not refreshed, so that a back end
	// that was slow is tried again.
	paceHalfLife = 3 * time.Second
)

// SetReported records the back end's own report of how much longer work currently takes there than
// usual. Zero clears the report: the back end does not report a factor.
func (p *Pace) SetReported(factor float64, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if factor <= 0 {
		p.reported = reported{}
		return
	}
	p.reported = p.reported.updated(min(max(factor, lowestRatio), highestRatio), now)
}

// Reported returns the last reported factor and its age, or zeros without a current report.
func (p *Pace) Reported(now time.Time) (factor float64, age time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.reported.expired(now) {
		return 0, 0
	}
	return p.reported.factor, now.Sub(p.reported.at)
}

// Begin records the start of a request with the given expected service time. Pass the result to
// End.
func (p *Pace) Begin(expected time.Duration, now time.Time) *Run {
	started := &Run{began: now, expected: expected}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running == nil {
		p.running = map[*Run]struct{}{}
	}
	p.running[started] = struct{}{}
	return started
}

// End records that a request is no longer in progress.
func (p *Pace) End(run *Run) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.running, run)
}

// Observe records one request of a back end that reports no factor.
func (p *Pace) Observe(worked, expected time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.observe(worked, expected, neutralFactor)
}

// ObserveReported records one request and the factor reported with its answer. If that is zero, the
// current value of earlier reports is used, as in Factor.
func (p *Pace) ObserveReported(worked, expected time.Duration, factor float64, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if factor <= 0 {
		factor = p.reported.current(now)
	}
	p.observe(worked, expected, min(max(factor, lowestRatio), highestRatio))
}

// observe updates the learned factor by one request, with the reported factor divided out. The
// caller holds the lock.
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

// Factor returns the factor, which is one before the first request. Requests in progress that have
// taken longer than the factor predicts count with the time taken so far: a back end that became
// slow is detected before it completes the first of them.
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

// DecayedPace returns the value of a factor that was reported that long ago. sourceHalfLife is the
// half-life of load reports at their source: a back end with rare reports keeps its reported
// pace for longer.
func DecayedPace(factor float64, age, sourceHalfLife time.Duration) float64 {
	if factor <= 0 {
		return neutralFactor
	}
	return neutralFactor + (min(factor, highestFactor)-neutralFactor)*decay(age, sourceHalfLife)
}

// DecayedFailureRate returns the value of a failure rate that was reported that long ago. The decay
// makes sure that a back end without requests is tried again.
func DecayedFailureRate(share float64, age, sourceHalfLife time.Duration) float64 {
	return min(share, 1) * decay(age, sourceHalfLife)
}

// decay returns the remaining weight of a report of that age.
func decay(age, sourceHalfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(max(paceHalfLife, sourceHalfLife)))
}

// ServiceTime averages the service time of one route's requests. It is safe for concurrent use.
type ServiceTime struct {
	mutex   sync.Mutex // guards all below
	mean    float64
	samples float64
}

// serviceTimeSamples is the number of requests that the mean averages over.
const serviceTimeSamples = 100

// Observe records the service time of one request.
func (s *ServiceTime) Observe(worked time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.samples = min(s.samples+1, serviceTimeSamples)
	s.mean += (float64(worked) - s.mean) / s.samples
}

// Mean returns the average service time, or the assumed one before the first request.
func (s *ServiceTime) Mean(assumed time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.samples == 0 {
		return assumed
	}
	return time.Duration(s.mean)
}
