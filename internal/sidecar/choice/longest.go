package choice

import (
	"sync"
	"time"
)

// Longest estimates the longest service time of a back end's requests from the greatest ratio of
// actual to expected service time among recent ones. The zero value is ready to use. It is safe for concurrent use.
type Longest struct {
	mutex sync.Mutex // guards all below
	// current is the greatest ratio since began, previous that of the period before.
	current, previous float64
	began             time.Time
}

const (
	// assumedLongestRatio is the lowest bound of the ratio: few requests say little about the
	// longest ones.
	assumedLongestRatio = 8
	// longestMargin is the factor by which a request may exceed the longest one so far.
	longestMargin = 1.25
	// longestPeriod is the time for which a ratio counts at least.
	longestPeriod = time.Minute
)

// Observe records a request that ended after the given service time.
func (l *Longest) Observe(worked, expected time.Duration, now time.Time) {
	if expected <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	l.current = max(l.current, min(float64(worked)/float64(expected), highestFactor))
}

// Bound returns the estimated longest service time of requests with the given expected one.
func (l *Longest) Bound(expected time.Duration, now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	ratio := max(assumedLongestRatio, max(l.current, l.previous)*longestMargin)
	return time.Duration(float64(expected) * ratio)
}

// advance begins a new period when the current one is over. The caller holds the lock.
func (l *Longest) advance(now time.Time) {
	switch age := now.Sub(l.began); {
	case age < longestPeriod:
	case age < 2*longestPeriod:
		l.previous, l.current, l.began = l.current, 0, now
	default:
		l.previous, l.current, l.began = 0, 0, now
	}
}
