package rollout

import (
	"math"
	"sync"
	"time"
)

const (
	// usualHalfLife is the time in which half of what was seen of the versions before is
	// forgotten: what is compared are the same seconds.
	baselineHalfLife = 3 * time.Second
	// priorAnswers count as if they had been seen before, priorShare of them bad.
	priorAnswers, priorShare = 10.0, 0.02
)

// Baseline remembers how often answers of the versions in use are bad, by route. It is
// safe for concurrent use; the zero value has seen none.
type Baseline struct {
	mu     sync.Mutex // guards routes
	routes map[string]*decayedCounts
}

// shares are counts that fade with time.
type decayedCounts struct {
	answers, failed, slow float64
	last                  time.Time
}

// Observe takes in one answer.
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

// BaselineRates returns the shares of a route.
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
