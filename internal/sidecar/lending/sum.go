package lending

import "time"

// sumParts is in how many parts a Sum counts the time that it covers.
const slidingSumBuckets = 16

// SlidingSum adds up what came lately. Its zero value is empty.
type SlidingSum struct {
	buckets [slidingSumBuckets]float64
	// began is when the first amount came, last the part of the time since then that was added
	// to last.
	start   time.Time
	current int64
}

// Add adds to the sum, which covers the time given.
func (s *SlidingSum) Add(amount float64, window time.Duration, now time.Time) {
	if s.start.IsZero() {
		s.start = now
	}
	s.advance(window, now)
	s.buckets[s.current%slidingSumBuckets] += amount
}

// Total returns what came within the time given, at most: up to a sixteenth of the time is left
// out at its beginning.
func (s *SlidingSum) Total(window time.Duration, now time.Time) (total float64) {
	s.advance(window, now)
	for _, bucket := range s.buckets {
		total += bucket
	}
	return total
}

// advance empties the parts that the time given does not cover any more, all of them when that
// time has become longer.
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
