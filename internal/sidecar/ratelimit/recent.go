package ratelimit

import "time"

const (
	// Window is the period over which requests are counted.
	Window = 4 * time.Second
	// step is the resolution of the count.
	step  = 100 * time.Millisecond
	steps = int(Window / step)
)

// recent counts the requests of the last Window in a ring of steps. The zero value has counted none.
type recent struct {
	counts [steps]int
	// first is the time of the first request; newest is the number of the last step, counted from there.
	first  time.Time
	newest int
}

// record counts a request.
func (r *recent) record(now time.Time) {
	if r.first.IsZero() {
		r.first = now
	}
	r.advance(now)
	r.counts[r.newest%steps]++
}

// advance clears the steps that are older than Window.
func (r *recent) advance(now time.Time) {
	reached := int(now.Sub(r.first) / step)
	for skipped := max(r.newest, reached-steps); skipped < reached; {
		skipped++
		r.counts[skipped%steps] = 0
	}
	r.newest = max(r.newest, reached)
}

// within returns the number of requests within the last period of that length, at most Window.
func (r *recent) within(length time.Duration, now time.Time) (count int) {
	if r.first.IsZero() {
		return 0
	}
	r.advance(now)
	for back := range min(int(length/step), steps, r.newest+1) {
		count += r.counts[(r.newest-back)%steps]
	}
	return count
}
