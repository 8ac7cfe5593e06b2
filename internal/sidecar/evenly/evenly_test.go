package evenly_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/evenly"
)

// TestRunsAreSplitByShare checks that the split of any contiguous run of requests deviates from the share
// by at most three requests.
func TestRunsAreSplitByShare(t *testing.T) {
	g := NewWithT(t)
	for _, share := range []float64{0.01, 0.1, 0.5, 0.9} {
		sequence := evenly.NewSequence()
		for _, run := range []int{1, 10, 100, 1000} {
			taken := 0
			for range run {
				fraction := sequence.NextFraction()
				g.Expect(fraction).To(And(BeNumerically(">=", 0), BeNumerically("<", 1)))
				if fraction < share {
					taken++
				}
			}
			g.Expect(math.Abs(float64(taken)-share*float64(run))).To(BeNumerically("<=", 3), "%v of %d", share, run)
		}
	}
}
