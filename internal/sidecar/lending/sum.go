package lending

import "time"

// sumParts is in how many parts a Sum counts the time that it covers.
const sumParts = 16

// SlidingSum adds up what came lately. Its zero value is empty.
type SlidingSum struct {
	parts [sumParts]float64
	// began is when the first amount came, last the part of the time since then that was added
	// to last.
	began time.Time
	last  int64
}

// Add adds to the sum, which covers the time given.
func (s *SlidingSum) Add(amount float64, covers time.Duration, now time.Time) {
	if s.began.IsZero() {
		s.began = now
	}
	s.advance(covers, now)
	s.parts[s.last%sumParts] += amount
}

// Total returns what came within the time given, at most: up to a sixteenth of the time is left
// out at its beginning.
func (s *SlidingSum) Total(covers time.Duration, now time.Time) (total float64) {
	s.advance(covers, now)
	for _, part := range s.parts {
		total += part
	}
	return total
}

// advance empties the parts that the time given does not cover any more, all of them when that
// time has become longer.
func (s *SlidingSum) advance(covers time.Duration, now time.Time) {
	part := max(int64(now.Sub(s.began)/max(covers/sumParts, 1)), 0)
	if s.last-part >= sumParts {
		s.parts, s.last = [sumParts]float64{}, part
		return
	}
	for passed := range min(part-s.last, sumParts) {
		s.parts[(part-passed)%sumParts] = 0
	}
	s.last = max(s.last, part)
}
