package load

import (
	"math/rand/v2"
	"time"
)

// Streams of random numbers that stay apart under one seed.
const (
	streamArrivals = iota
	streamTargets
	streamCancellation
)

// Schedule yields the arrival times of a Poisson process. Equal seeds and
// rates yield equal times.
type Schedule struct {
	random *rand.Rand
	rate   float64
	next   time.Duration
}

// NewSchedule returns a schedule of rate arrivals a second on average.
func NewSchedule(seed uint64, rate float64) *Schedule {
	return &Schedule{random: rand.New(rand.NewPCG(seed, streamArrivals)), rate: rate}
}

// Next returns the next arrival, counted from the start of the run.
func (s *Schedule) Next() time.Duration {
	s.next += time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second))
	return s.next
}

// draw returns a number below the bound that depends on seed, stream and call
// number only.
func draw(seed, stream, number uint64, bound uint32) uint32 {
	return rand.New(rand.NewPCG(seed+stream<<32, number)).Uint32N(bound)
}
