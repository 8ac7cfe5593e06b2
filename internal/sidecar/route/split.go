package route

import "github.com/kestrelstream/kestrelstream/internal/sidecar/evenly"

// split distributes the requests of one route over its targets.
type split struct {
	sequence *evenly.Sequence
}

func newSplit() *split { return &split{sequence: evenly.NewSequence()} }

// next returns the service whose share of the weights contains the next position of the sequence.
func (s *split) next(targets []Target) string {
	total := uint64(0)
	for _, target := range targets {
		total += uint64(target.Weight)
	}
	const half = 32
	position := (s.sequence.Next() >> half) * total >> half
	for _, target := range targets {
		weight := uint64(target.Weight)
		if position < weight {
			return target.Service
		}
		position -= weight
	}
	return targets[len(targets)-1].Service
}
