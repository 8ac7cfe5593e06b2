package lending

import "time"

// slidingSumBuckets is the number of time buckets of a SlidingSum.
const slidingSumBuckets = 16

// SlidingSum sums amounts over a sliding time window. Its zero value is empty.
type SlidingSum struct {
	buckets [slidingSumBuckets]float64
	// start is the time at which the first amount was added. current is the number of the latest
	// bucket, counted from start.
	start   time.Time
	current int64
}

// Add adds an amount at the given time.
func (s *SlidingSum) Add(amount float64, window time.Duration, now time.Time) {
	if s.start.IsZero() {
		s.start = now
	}
	s.advance(window, now)
	s.buckets[s.current%slidingSumBuckets] += amount
}

// Total returns the sum over the window. It leaves out up to a sixteenth of the window at its
// beginning, so that it never includes older amounts.
func (s *SlidingSum) Total(window time.Duration, now time.Time) (total float64) {
	s.advance(window, now)
	for _, bucket := range s.buckets {
		total += bucket
	}
	return total
}

// advance clears the buckets that have left the window. It clears all of them if the window has
// become so much longer that the bucket number falls back by slidingSumBuckets or more.
func (s *SlidingSum) advance(window time.Duration, now time.Time) {
	bucket := max(int64(now.Sub(s.start)/max(window/slidingSumBuckets, 1)), 0)
	if s.current-bucket >= slidingSumBuckets {
		s.buckets, s.current = [slidingSumBuckets]float64{}, bucket
		return
	}
	for offset := range min(bucket-s.current, slidingSumBuckets) {
		s.buckets[(bucket-offset)%slidingSumBuckets] = 0
	}
	s.current = max(s.current, bucket)
}
