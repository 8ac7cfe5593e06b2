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
	// quietGap is how long without any answer a back end may have ended and started again
	// unheard: what is down for less is seen by connections that are refused.
	quietGap = 500 * time.Millisecond
	// askInterval is the least time between two questions of whether the back end is cold.
	askInterval = 100 * time.Millisecond
	// askShare is the part of what a cold back end bears that passes before it is asked: one
	// with little to do needs no question.
	askShare = 0.5
	// mostUnknown is how many requests a back end that is, or may be, cold gets in a window while the
	// configuration has not told what it bears: the least that it can tell.
	mostUnknown = 1
)

// Limit bounds the requests to one back end. The zero value knows of no configuration and takes the
// back end for one that is cold. It is safe for concurrent use.
type Limit struct {
	mu sync.Mutex // guards all below
	// configured: the configuration has told of the back end's service.
	configured bool
	// most is how many requests a cold back end bears in a window, zero for any number.
	most int
	// lasts is how long a back end stays cold after its start.
	lasts time.Duration
	// passed holds the moments of the last requests that passed, at most as many as a cold back
	// end bears, next where the next one goes: the oldest.
	passed []time.Time
	next   int
	// coldUntil is when a warm-up that was told of is over, suspectedUntil when one would be that
	// may have begun unheard.
	coldUntil, suspectedUntil time.Time
	// suspected is when that was last suspected.
	suspected time.Time
	// answered is when the back end last answered, asked when it was last asked.
	answered, asked time.Time
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
func (l *Limit) Configure(perSecond float64, lasts time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	if perSecond > 0 {
		most = max(int(perSecond*window.Seconds()), 1)
	}
	l.lasts = lasts
	if l.configured && most == l.most {
		return
	}
	l.configured = true
	l.resize(most)
	l.answered = time.Time{}
}

// resize sets how many requests pass in a window. The last that have passed go on counting; the lock is
// held.
func (l *Limit) resize(most int) {
	kept := slices.Clone(l.passed)
	slices.SortFunc(kept, time.Time.Compare)
	kept = kept[max(0, len(kept)-most):]
	l.most, l.passed = most, make([]time.Time, most)
	copy(l.passed, kept)
	l.next = 0
	if most > 0 {
		l.next = len(kept) % most
	}
}

// ExtendWarmup takes in the back end's word that it is cold for that much longer.
func (l *Limit) ExtendWarmup(left time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := now.Add(left); left > 0 && until.After(l.coldUntil) {
		l.coldUntil = until
	}
}

// SuspectCold takes in that the back end may have turned cold, or started again.
func (l *Limit) SuspectCold(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspect(now)
}

func (l *Limit) suspect(now time.Time) { l.suspected, l.suspectedUntil = now, now.Add(l.lasts) }

// SetProbeResult takes in what the back end itself answered to a question of a moment: for how much
// longer it is cold, zero when it is not.
func (l *Limit) SetProbeResult(left time.Duration, asked, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldUntil, l.answered = now.Add(left), now
	if !l.suspected.After(asked) {
		l.suspectedUntil = time.Time{}
	}
}

// RecordResponse takes in that the back end has answered a request.
func (l *Limit) RecordResponse(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.most > 0 {
		l.answered = now
	}
}

// Admit decides on one request, and counts it when it passes.
func (l *Limit) Admit(now time.Time) (verdict Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.configured && l.most == 0 {
		l.resize(mostUnknown)
	}
	if l.most == 0 {
		return Decision{}
	}
	if now.Sub(l.answered) > quietGap && !now.Before(l.suspectedUntil) {
		l.suspect(now)
	}
	cold, doubtful := now.Before(l.coldUntil) || !l.configured, now.Before(l.suspectedUntil)
	if doubtful && l.recent(now) >= int(askShare*float64(l.most)) && now.Sub(l.asked) >= askInterval {
		l.asked, verdict.Probe = now, true
	}
	oldest := l.passed[l.next]
	if wait := window - now.Sub(oldest); (cold || doubtful) && wait > 0 && !oldest.IsZero() {
		verdict.Refused, verdict.RetryAfter = true, wait
		return verdict
	}
	l.passed[l.next] = now
	l.next = (l.next + 1) % l.most
	return verdict
}

// recent returns how many requests passed within the last window, at most as many as a cold
// back end bears; the lock is held.
func (l *Limit) recent(now time.Time) int {
	count := 0
	for _, at := range l.passed {
		if !at.IsZero() && now.Sub(at) < window {
			count++
		}
	}
	return count
}
