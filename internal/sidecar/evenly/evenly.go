// Package evenly divides a run of requests by shares, without chance: every part of the run
// is divided nearly as the whole.
package evenly

import (
	"math/rand/v2"
	"sync/atomic"
)

// goldenStep is the fractional part of the golden ratio in units of 2^-64. Multiples of it
// are spread evenly.
const goldenStep = 0x9e3779b97f4a7c15

// Sequence is an endless run of places that are spread evenly. It is safe for concurrent use.
type Sequence struct {
	position atomic.Uint64
}

// NewSequence returns a sequence that begins at a random place: many nodes with few requests
// each are not all off in one direction.
func NewSequence() *Sequence {
	sequence := &Sequence{}
	sequence.position.Store(rand.Uint64())
	return sequence
}

// Next returns the next place, in units of 2^-64.
func (s *Sequence) Next() uint64 { return s.position.Add(goldenStep) }

// NextFraction returns the next place between zero and one.
func (s *Sequence) NextFraction() float64 {
	const mantissaBits, scale = 53, 1.0 / (1 << 53)
	return float64(s.Next()>>(64-mantissaBits)) * scale
}
