package choice

import "time"

// Pool holds the back ends that are eligible for a request.
type Pool struct {
	// Local is the number of back ends in the caller's zone, Remote the number in other zones.
	Local, Remote int
	// Describe returns the candidate with the given index. Indices start at zero, local back ends
	// first.
	Describe func(index int) Candidate
}

const (
	// sampleSize is the number of local, and of remote, back ends that are compared at a time. With
	// two, the load of the busiest back end stays close to the mean however old the load reports
	// are. With more, all nodes that received the same report choose the same back end
	// (Mitzenmacher, "How Useful Is Old Information?"). TestFleet of package occupancy simulates
	// it.
	sampleSize = 2
	// acceptableCost is the cost at which sampling stops, since the answer is likely to be in time.
	// It lies between the cost of an idle back end at half the usual speed and that of one several
	// times slower.
	acceptableCost = 0.25
	// maximumSamples is the maximum number of samples drawn in search of an acceptable candidate.
	// When two of five back ends are slow, three samples contain only slow ones in 1 of 250 cases.
	maximumSamples = 3
)

// Select returns the cheapest of a few back ends sampled at random. It samples again while the
// answer is likely to be late, and for as long as every candidate so far is a last resort. The
// index is -1 for an empty pool. intN returns a random number in [0, n), as rand.IntN does.
func Select(pool Pool, targetLatency time.Duration, intN func(n int) int, weights Weights) (index int, selected Candidate) {
	costOf := func(candidate Candidate) float64 { return Cost(candidate, targetLatency, weights) }
	return selectCheapest(pool, sampleSize, intN, costOf, func(samples int, lowest float64) bool {
		return lowest <= acceptableCost || (samples >= maximumSamples && lowest < weights.RecentFailure)
	})
}

// selectCheapest samples count local and count remote back ends at a time and returns the cheapest.
// It stops when enough returns true for the number of samples and the lowest cost, or when all were
// sampled.
func selectCheapest(pool Pool, count int, intN func(n int) int, costOf func(Candidate) float64, enough func(samples int, lowest float64) bool) (index int, selected Candidate) {
	local, remote := newIndexSampler(0, pool.Local), newIndexSampler(pool.Local, pool.Remote)
	index, lowest := -1, 0.0
	for samples := 1; len(local)+len(remote) > 0; samples++ {
		for _, next := range append(local.sample(count, intN), remote.sample(count, intN)...) {
			candidate := pool.Describe(next)
			cost := costOf(candidate)
			if index < 0 || cost < lowest {
				index, selected, lowest = next, candidate, cost
			}
		}
		if enough(samples, lowest) {
			break
		}
	}
	return index, selected
}

// indexSampler holds the indices that were not sampled yet.
type indexSampler []int

func newIndexSampler(first, count int) indexSampler {
	indices := make(indexSampler, count)
	for i := range indices {
		indices[i] = first + i
	}
	return indices
}

// sample removes up to count random indices and returns them.
func (s *indexSampler) sample(count int, intN func(n int) int) []int {
	indices := *s
	left := max(len(indices)-count, 0)
	for last := len(indices) - 1; last >= left; last-- {
		picked := intN(last + 1)
		indices[picked], indices[last] = indices[last], indices[picked]
	}
	*s = indices[:left]
	return indices[left:len(indices):len(indices)]
}
