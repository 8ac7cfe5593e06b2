// Package stall measures for how long the node itself did not run, because its process was stopped or was
// not scheduled. Durations measured across a stall say nothing about other processes.
package stall

import "time"

const (
	// Interval is the time between two ticks, and the shortest stall that counts.
	Interval = 20 * time.Millisecond
	// maxStalls is the number of stalls remembered.
	maxStalls = 32
)

// Tracker detects stalls from ticks that arrive late. It takes the time as an argument. The zero value
// has seen no tick. The caller holds a lock.
type Tracker struct {
	// last is the time of the last tick.
	last   time.Time
	stalls [maxStalls]interval
	next   int
}

// interval is the time between two moments.
type interval struct{ from, to time.Time }

// overlap returns the length of the part that lies between two moments.
func (s interval) overlap(from, to time.Time) time.Duration {
	if s.from.After(from) {
		from = s.from
	}
	if s.to.Before(to) {
		to = s.to
	}
	return max(to.Sub(from), 0)
}

// Reset discards the last tick, so that the time until the next one does not count as a stall.
func (r *Tracker) Reset() { r.last = time.Time{} }

// Tick records a tick.
func (r *Tracker) Tick(now time.Time) {
	if late := r.late(now); late.to.Sub(late.from) >= Interval {
		r.stalls[r.next] = late
		r.next = (r.next + 1) % maxStalls
	}
	r.last = now
}

// late returns the interval by which the next tick is overdue.
func (r *Tracker) late(now time.Time) interval {
	if r.last.IsZero() {
		return interval{from: now, to: now}
	}
	return interval{from: r.last.Add(Interval), to: now}
}

// Stalled returns for how long the node did not run between two moments, of which the later one must be
// the current time.
func (r *Tracker) Stalled(from, now time.Time) (total time.Duration) {
	for _, past := range r.stalls {
		total += past.overlap(from, now)
	}
	if late := r.late(now); late.to.Sub(late.from) >= Interval {
		total += late.overlap(from, now)
	}
	return total
}
