package rollout

import (
	"math"
	"sync"
	"time"
)

const (
	// baselineHalfLife is the half-life of the baseline counts. It is short so that the new
	// version is compared with answers of the same seconds.
	baselineHalfLife = 3 * time.Second
	// priorAnswers is the weight of the prior, in answers; priorShare is the share of them that
	// is bad.
	priorAnswers, priorShare = 10.0, 0.02
)

// Baseline tracks the rates of bad answers of the versions in use, by route. It is safe for
// concurrent use. The zero value is ready to use.
type Baseline struct {
	mu     sync.Mutex // guards routes
	routes map[string]*decayedCounts
}

// decayedCounts are counts that decay exponentially with time.
type decayedCounts struct {
	answers, failed, slow float64
	last                  time.Time
}

// Observe records one answer.
func (b *Baseline) Observe(route string, failed, slow bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.routes == nil {
		b.routes = map[string]*decayedCounts{}
	}
	counts := b.routes[route]
	if counts == nil {
		if len(b.routes) >= maxRoutes {
			return
		}
		counts = &decayedCounts{last: now}
		b.routes[route] = counts
	}
	counts.decay(now)
	counts.answers++
	if failed {
		counts.failed++
	}
	if slow {
		counts.slow++
	}
}

// BaselineRates returns the current baseline rates of a route.
func (b *Baseline) BaselineRates(route string, now time.Time) BaselineRates {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.routes[route]
	if counts == nil {
		return BaselineRates{Failing: priorShare, Slow: priorShare}
	}
	counts.decay(now)
	total := counts.answers + priorAnswers
	return BaselineRates{
		Failing: (counts.failed + priorAnswers*priorShare) / total,
		Slow:    (counts.slow + priorAnswers*priorShare) / total,
	}
}

func (c *decayedCounts) decay(now time.Time) {
	factor := math.Exp2(-float64(max(now.Sub(c.last), 0)) / float64(baselineHalfLife))
	c.answers, c.failed, c.slow = c.answers*factor, c.failed*factor, c.slow*factor
	c.last = now
}
