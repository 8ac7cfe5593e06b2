package rollout

import (
	"math"
	"sync"
	"time"
)

const (
	// usualHalfLife is the time in which half of what was seen of the versions before is
	// forgotten: what is compared are the same seconds.
	usualHalfLife = 3 * time.Second
	// priorAnswers count as if they had been seen before, priorShare of them bad.
	priorAnswers, priorShare = 10.0, 0.02
)

// Baseline remembers how often answers of the versions in use are bad, by route. It is
// safe for concurrent use; the zero value has seen none.
type Baseline struct {
	mu     sync.Mutex // guards routes
	routes map[string]*shares
}

// shares are counts that fade with time.
type shares struct {
	answers, failed, slow float64
	last                  time.Time
}

// Observe takes in one answer.
func (b *Baseline) Observe(route string, failed, slow bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.routes == nil {
		b.routes = map[string]*shares{}
	}
	held := b.routes[route]
	if held == nil {
		if len(b.routes) >= routesMost {
			return
		}
		held = &shares{last: now}
		b.routes[route] = held
	}
	held.fade(now)
	held.answers++
	if failed {
		held.failed++
	}
	if slow {
		held.slow++
	}
}

// BaselineRates returns the shares of a route.
func (b *Baseline) BaselineRates(route string, now time.Time) BaselineRates {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.routes[route]
	if held == nil {
		return BaselineRates{Failing: priorShare, Slow: priorShare}
	}
	held.fade(now)
	all := held.answers + priorAnswers
	return BaselineRates{
		Failing: (held.failed + priorAnswers*priorShare) / all,
		Slow:    (held.slow + priorAnswers*priorShare) / all,
	}
}

func (s *shares) fade(now time.Time) {
	part := math.Exp2(-float64(max(now.Sub(s.last), 0)) / float64(usualHalfLife))
	s.answers, s.failed, s.slow = s.answers*part, s.failed*part, s.slow*part
	s.last = now
}
