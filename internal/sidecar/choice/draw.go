package choice

import "time"

// Pool holds the back ends that may take a request.
type Pool struct {
	// Local is how many of them are in the caller's zone, Remote how many are not.
	Local, Remote int
	// Describe returns what is known of one of them. Indices begin at zero, those
	// of the zone come first.
	Describe func(index int) Candidate
}

const (
	// sampleSize is how many back ends of the zone, and how many of others, are
	// compared at a time. With two the busiest back end stays close to the mean
	// however old the reports are; with more, all nodes that heard the same report
	// choose the same back end (Mitzenmacher, "How Useful Is Old Information?").
	// TestFleet has the figures for 4 to 1,000 nodes.
	sampleSize = 2
	// acceptableCost is the cost up to which the cheapest so far is taken: the
	// answer is likely to come in time. It is between the cost of an idle back end
	// of half the usual pace and that of one several times slower.
	acceptableCost = 0.25
	// maximumSamples is how many draws look for an acceptable one. Where two of five
	// back ends are slow, three draws find only such in one of 250 cases.
	maximumSamples = 3
)

// Select chooses the cheapest of a few back ends that are drawn at random. It draws
// again while the answer would be likely to come late, and for as long as none was
// found that is to be chosen at all. The index is -1 for an empty pool. intN
// returns a random number from zero up to its argument, as rand.IntN does.
func Select(pool Pool, targetLatency time.Duration, intN func(n int) int, weights Weights) (index int, drawn Candidate) {
	cost := func(candidate Candidate) float64 { return Cost(candidate, targetLatency, weights) }
	return selectCheapest(pool, sampleSize, intN, cost, func(draws int, lowest float64) bool {
		return lowest <= acceptableCost || (draws >= maximumSamples && lowest < weights.RecentFailure)
	})
}

// selectCheapest returns the cheapest of the back ends that were drawn, count of the zone and count of others
// at a time, when enough says so of the number of draws and the lowest price, or all were drawn.
func selectCheapest(pool Pool, count int, intN func(n int) int, price func(Candidate) float64, enough func(draws int, lowest float64) bool) (index int, drawn Candidate) {
	local, remote := newIndexSampler(0, pool.Local), newIndexSampler(pool.Local, pool.Remote)
	index, lowest := -1, 0.0
	for draws := 1; len(local)+len(remote) > 0; draws++ {
		for _, next := range append(local.sample(count, intN), remote.sample(count, intN)...) {
			candidate := pool.Describe(next)
			cost := price(candidate)
			if index < 0 || cost < lowest {
				index, drawn, lowest = next, candidate, cost
			}
		}
		if enough(draws, lowest) {
			break
		}
	}
	return index, drawn
}

// indexSampler holds the indices that were not drawn yet.
type indexSampler []int

func newIndexSampler(first, count int) indexSampler {
	indices := make(indexSampler, count)
	for i := range indices {
		indices[i] = first + i
	}
	return indices
}

// sample draws up to count indices without putting them back.
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
