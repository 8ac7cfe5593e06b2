// Package stall tells for how long the node itself did not run: its process was stopped, or got no
// processor. What is timed meanwhile says nothing of others.
package stall

import "time"

const (
	// Interval is the time between two ticks, and the shortest stall that counts.
	Interval = 20 * time.Millisecond
	// maxStalls is how many stalls are remembered.
	maxStalls = 32
)

// Tracker remembers stalls by ticks that came late. It is pure: it is told the time. The zero value has
// seen no tick. Its owner holds a lock.
type Tracker struct {
	// last is the last tick.
	last   time.Time
	stalls [maxStalls]interval
	next   int
}

// interval is the time between two moments.
type interval struct{ from, to time.Time }

// overlap returns how much of it lies between two moments.
func (s interval) overlap(from, to time.Time) time.Duration {
	if s.from.After(from) {
		from = s.from
	}
	if s.to.Before(to) {
		to = s.to
	}
	return max(to.Sub(from), 0)
}

// Reset forgets the last tick: none were due since.
func (r *Tracker) Reset() { r.last = time.Time{} }

// Tick takes in a tick.
func (r *Tracker) Tick(now time.Time) {
	if late := r.late(now); late.to.Sub(late.from) >= Interval {
		r.stalls[r.next] = late
		r.next = (r.next + 1) % maxStalls
	}
	r.last = now
}

// late is the time by which the next tick is late now.
func (r *Tracker) late(now time.Time) interval {
	if r.last.IsZero() {
		return interval{from: now, to: now}
	}
	return interval{from: r.last.Add(Interval), to: now}
}

// Stalled returns for how long the node did not run between two moments, the later of which is now.
func (r *Tracker) Stalled(from, now time.Time) (total time.Duration) {
	for _, past := range r.stalls {
		total += past.overlap(from, now)
	}
	if late := r.late(now); late.to.Sub(late.from) >= Interval {
		total += late.overlap(from, now)
	}
	return total
}
