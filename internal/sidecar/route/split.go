package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// goldenStep is the fractional part of the golden ratio in units of 2^-64.
// Multiples of it are spread evenly: every run of requests is divided nearly
// by the weights.
const goldenStep = 0x9e3779b97f4a7c15

// split divides the requests of one route. It begins at a random place, so
// that many sidecars with few requests each are not all off in one direction.
type split struct {
	position atomic.Uint64
}

func newSplit() *split {
	created := &split{}
	created.position.Store(rand.Uint64())
	return created
}

// next returns the service whose share of the weights holds the next position.
func (s *split) next(targets []Target) string {
	total := uint64(0)
	for _, target := range targets {
		total += uint64(target.Weight)
	}
	const half = 32
	place := (s.position.Add(goldenStep) >> half) * total >> half
	for _, target := range targets {
		weight := uint64(target.Weight)
		if place < weight {
			return target.Service
		}
		place -= weight
	}
	return targets[len(targets)-1].Service
}
