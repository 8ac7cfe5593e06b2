package exchange

import (
	"math/rand/v2"
	"sync"
)

// Streams of the random draws. Draws of the proof checker do not depend on how many others there were.
const (
	exchangeStream = iota
	proofStream
)

// newRandom returns a generator that is safe for concurrent use. Seed zero stands for one
// that is drawn at random. Streams of one seed are independent.
func newRandom(seed, stream uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(&lockedSource{source: rand.NewPCG(seed, stream)})
}

// lockedSource is a source that is safe for concurrent use.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source // guarded by mu
}

// Uint64 implements rand.Source.
func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}
