// Package evenly splits a sequence of requests by shares with a low-discrepancy sequence instead of
// random numbers: every contiguous part of it is split nearly like the whole.
package evenly

import (
	"math/rand/v2"
	"sync/atomic"
)

// goldenStep is the fractional part of the golden ratio in units of 2^-64. Its multiples modulo one are
// evenly distributed.
const goldenStep = 0x9e3779b97f4a7c15

// Sequence is an endless low-discrepancy sequence. It is safe for concurrent use.
type Sequence struct {
	position atomic.Uint64
}

// NewSequence returns a sequence that starts at a random position, so that the rounding errors of many
// nodes with few requests each do not all have the same sign.
func NewSequence() *Sequence {
	sequence := &Sequence{}
	sequence.position.Store(rand.Uint64())
	return sequence
}

// Next returns the next element, in units of 2^-64.
func (s *Sequence) Next() uint64 { return s.position.Add(goldenStep) }

// NextFraction returns the next element as a fraction of at least zero and less than one.
func (s *Sequence) NextFraction() float64 {
	const mantissaBits, scale = 53, 1.0 / (1 << 53)
	return float64(s.Next()>>(64-mantissaBits)) * scale
}
