// Package warmup bounds what a back end gets while it is cold: one that has just started, or
// turned cold for another reason, falls over at well above the rate that it bears then. The
// node beside the back end is its only way in and keeps the bound alone. The package is pure:
// it is told the time.
package warmup

import (
	"slices"
	"sync"
	"time"
)

const (
	// window is the time over which requests to a cold back end are counted.
	window = time.Second
	// maxSilence is how long without any answer a back end may have ended and started again
	// unheard: what is down for less is seen by connections that are refused.
	maxSilence = 500 * time.Millisecond
	// probeInterval is the least time between two questions of whether the back end is cold.
	probeInterval = 100 * time.Millisecond
	// probeThreshold is the part of what a cold back end bears that passes before it is asked: one
	// with little to do needs no question.
	probeThreshold = 0.5
	// unconfiguredLimit is how many requests a back end that is, or may be, cold gets in a window while the
	// configuration has not told what it bears: the least that it can tell.
	unconfiguredLimit = 1
)

// Limit bounds the requests to one back end. The zero value knows of no configuration and takes the
// back end for one that is cold. It is safe for concurrent use.
type Limit struct {
	mu sync.Mutex // guards all below
	// configured: the configuration has told of the back end's service.
	configured bool
	// maxPerWindow is how many requests a cold back end bears in a window, zero for any number.
	maxPerWindow int
	// warmupTime is how long a back end stays cold after its start.
	warmupTime time.Duration
	// admitted holds the moments of the last requests that admitted, at most as many as a cold back
	// end bears, next where the next one goes: the oldest.
	admitted []time.Time
	next     int
	// coldUntil is when a warm-up that was told of is over, suspectedUntil when one would be that
	// may have begun unheard.
	coldUntil, suspectedUntil time.Time
	// suspectedAt is when that was last suspectedAt.
	suspectedAt time.Time
	// lastResponse is when the back end last lastResponse, lastProbe when it was last lastProbe.
	lastResponse, lastProbe time.Time
}

// Decision says what becomes of one request.
type Decision struct {
	// Refused: the back end may be cold and has got what it bears. Wait is the time until it
	// bears another one.
	Refused    bool
	RetryAfter time.Duration
	// Probe: the back end is to be asked whether it is cold. The answer goes to Answer.
	Probe bool
}

// Configure sets how many requests a second a cold back end bears, zero for any number, and how
// long it stays cold.
func (l *Limit) Configure(perSecond float64, warmupTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maxPerWindow := 0
	if perSecond > 0 {
		maxPerWindow = max(int(perSecond*window.Seconds()), 1)
	}
	l.warmupTime = warmupTime
	if l.configured && maxPerWindow == l.maxPerWindow {
		return
	}
	l.configured = true
	l.resize(maxPerWindow)
	l.lastResponse = time.Time{}
}

// resize sets how many requests pass in a window. The last that have passed go on counting; the lock is
// held.
func (l *Limit) resize(maxPerWindow int) {
	recent := slices.Clone(l.admitted)
	slices.SortFunc(recent, time.Time.Compare)
	recent = recent[max(0, len(recent)-maxPerWindow):]
	l.maxPerWindow, l.admitted = maxPerWindow, make([]time.Time, maxPerWindow)
	copy(l.admitted, recent)
	l.next = 0
	if maxPerWindow > 0 {
		l.next = len(recent) % maxPerWindow
	}
}

// ExtendWarmup takes in the back end's word that it is cold for that much longer.
func (l *Limit) ExtendWarmup(remaining time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := now.Add(remaining); remaining > 0 && until.After(l.coldUntil) {
		l.coldUntil = until
	}
}

// SuspectCold takes in that the back end may have turned cold, or started again.
func (l *Limit) SuspectCold(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspect(now)
}

func (l *Limit) suspect(now time.Time) { l.suspectedAt, l.suspectedUntil = now, now.Add(l.warmupTime) }

// SetProbeResult takes in what the back end itself answered to a question of a moment: for how much
// longer it is cold, zero when it is not.
func (l *Limit) SetProbeResult(remaining time.Duration, probedAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldUntil, l.lastResponse = now.Add(remaining), now
	if !l.suspectedAt.After(probedAt) {
		l.suspectedUntil = time.Time{}
	}
}

// RecordResponse takes in that the back end has answered a request.
func (l *Limit) RecordResponse(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxPerWindow > 0 {
		l.lastResponse = now
	}
}

// Admit decides on one request, and counts it when it passes.
func (l *Limit) Admit(now time.Time) (decision Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.configured && l.maxPerWindow == 0 {
		l.resize(unconfiguredLimit)
	}
	if l.maxPerWindow == 0 {
		return Decision{}
	}
	if now.Sub(l.lastResponse) > maxSilence && !now.Before(l.suspectedUntil) {
		l.suspect(now)
	}
	cold, maybeCold := now.Before(l.coldUntil) || !l.configured, now.Before(l.suspectedUntil)
	if maybeCold && l.recent(now) >= int(probeThreshold*float64(l.maxPerWindow)) && now.Sub(l.lastProbe) >= probeInterval {
		l.lastProbe, decision.Probe = now, true
	}
	oldest := l.admitted[l.next]
	if wait := window - now.Sub(oldest); (cold || maybeCold) && wait > 0 && !oldest.IsZero() {
		decision.Refused, decision.RetryAfter = true, wait
		return decision
	}
	l.admitted[l.next] = now
	l.next = (l.next + 1) % l.maxPerWindow
	return decision
}

// recent returns how many requests passed within the last window, at most as many as a cold
// back end bears; the lock is held.
func (l *Limit) recent(now time.Time) int {
	count := 0
	for _, at := range l.admitted {
		if !at.IsZero() && now.Sub(at) < window {
			count++
		}
	}
	return count
}
