// Package warmup limits the request rate of a back end while it is cold. A back end that has just
// started, or has become cold for another reason, fails at rates well above what it can serve in that
// state. All of its requests pass through the node beside it, so that this node enforces the limit alone.
// The package does no I/O and takes the time as an argument.
package warmup

import (
	"slices"
	"sync"
	"time"
)

const (
	// window is the period over which requests to a cold back end are counted.
	window = time.Second
	// maxSilence is the maximum time that a back end may go without a response before it may have
	// restarted unnoticed. Shorter outages are detected by refused connections.
	maxSilence = 500 * time.Millisecond
	// probeInterval is the minimum time between two probes of whether the back end is cold.
	probeInterval = 100 * time.Millisecond
	// probeThreshold is the part of a cold back end's limit that must be used before it is probed: a back
	// end with little load needs no probe.
	probeThreshold = 0.5
	// unconfiguredLimit is the number of requests per window that a back end that is, or may be, cold
	// gets while its limit is not configured yet. It is the lowest limit that can be configured.
	unconfiguredLimit = 1
)

// Limit limits the requests to one back end. The zero value has no configuration and assumes that the
// back end is cold. It is safe for concurrent use.
type Limit struct {
	mu sync.Mutex // guards all below
	// configured: the configuration of the back end's service has been applied.
	configured bool
	// maxPerWindow is the maximum number of requests that a cold back end can serve per window,
	// zero for any number.
	maxPerWindow int
	// warmupTime is the time for which a back end stays cold after its start.
	warmupTime time.Duration
	// admitted is a ring buffer of the times of the last admitted requests, as many as maxPerWindow; next
	// is the index of the oldest, which is overwritten next.
	admitted []time.Time
	next     int
	// coldUntil is the end time of a reported warm-up, suspectedUntil that of one that may have begun
	// unnoticed.
	coldUntil, suspectedUntil time.Time
	// suspectedAt is the time at which a restart was last suspected.
	suspectedAt time.Time
	// lastResponse is the time of the back end's last response, lastProbe that of its last probe.
	lastResponse, lastProbe time.Time
}

// Decision is the decision on one request.
type Decision struct {
	// Refused: the back end may be cold and its limit is exhausted. RetryAfter is the time until the next
	// request would be admitted.
	Refused    bool
	RetryAfter time.Duration
	// Probe: the caller is to probe whether the back end is cold and to pass the result to
	// SetProbeResult.
	Probe bool
}

// Configure sets how many requests per second a cold back end can serve, zero for any number, and how
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

// resize sets the number of requests per window. The most recent admitted requests continue to count; the
// lock is held.
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

// ExtendWarmup records a report of the back end that it stays cold for that long. A warm-up is never
// shortened.
func (l *Limit) ExtendWarmup(remaining time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := now.Add(remaining); remaining > 0 && until.After(l.coldUntil) {
		l.coldUntil = until
	}
}

// SuspectCold records that the back end may have become cold or restarted.
func (l *Limit) SuspectCold(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspect(now)
}

func (l *Limit) suspect(now time.Time) { l.suspectedAt, l.suspectedUntil = now, now.Add(l.warmupTime) }

// SetProbeResult records the result of a probe that was sent at the given time: how much longer the back
// end stays cold, zero if it is warm.
func (l *Limit) SetProbeResult(remaining time.Duration, probedAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldUntil, l.lastResponse = now.Add(remaining), now
	if !l.suspectedAt.After(probedAt) {
		l.suspectedUntil = time.Time{}
	}
}

// RecordResponse records that the back end has responded to a request.
func (l *Limit) RecordResponse(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxPerWindow > 0 {
		l.lastResponse = now
	}
}

// Admit decides on one request and counts it if it is admitted.
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

// recent returns how many requests were admitted within the last window, at most maxPerWindow; the lock
// is held.
func (l *Limit) recent(now time.Time) int {
	count := 0
	for _, at := range l.admitted {
		if !at.IsZero() && now.Sub(at) < window {
			count++
		}
	}
	return count
}
