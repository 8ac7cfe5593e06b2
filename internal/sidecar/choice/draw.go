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
	// drawnTogether is how many back ends of the zone, and how many of others, are
	// compared at a time. With two the busiest back end stays close to the mean
	// however old the reports are; with more, all nodes that heard the same report
	// choose the same back end (Mitzenmacher, "How Useful Is Old Information?").
	// TestFleet has the figures for 4 to 1,000 nodes.
	drawnTogether = 2
	// acceptableCost is the cost up to which the cheapest so far is taken: the
	// answer is likely to come in time. It is between the cost of an idle back end
	// of half the usual pace and that of one several times slower.
	acceptableCost = 0.25
	// drawsMost is how many draws look for an acceptable one. Where two of five
	// back ends are slow, three draws find only such in one of 250 cases.
	drawsMost = 3
)

// Select chooses the cheapest of a few back ends that are drawn at random. It draws
// again while the answer would be likely to come late, and for as long as none was
// found that is to be chosen at all. The index is -1 for an empty pool. intN
// returns a random number from zero up to its argument, as rand.IntN does.
func Select(pool Pool, aim time.Duration, intN func(n int) int, weights Weights) (index int, drawn Candidate) {
	price := func(candidate Candidate) float64 { return Cost(candidate, aim, weights) }
	return draw(pool, drawnTogether, intN, price, func(draws int, lowest float64) bool {
		return lowest <= acceptableCost || (draws >= drawsMost && lowest < weights.RecentFailure)
	})
}

// draw returns the cheapest of the back ends that were drawn, count of the zone and count of others
// at a time, when enough says so of the number of draws and the lowest price, or all were drawn.
func draw(pool Pool, count int, intN func(n int) int, price func(Candidate) float64, enough func(draws int, lowest float64) bool) (index int, drawn Candidate) {
	near, far := newUrn(0, pool.Local), newUrn(pool.Local, pool.Remote)
	index, lowest := -1, 0.0
	for draws := 1; len(near)+len(far) > 0; draws++ {
		for _, next := range append(near.take(count, intN), far.take(count, intN)...) {
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

// urn holds the indices that were not drawn yet.
type urn []int

func newUrn(first, count int) urn {
	indices := make(urn, count)
	for i := range indices {
		indices[i] = first + i
	}
	return indices
}

// take draws up to count indices without putting them back.
func (u *urn) take(count int, intN func(n int) int) []int {
	held := *u
	left := max(len(held)-count, 0)
	for last := len(held) - 1; last >= left; last-- {
		picked := intN(last + 1)
		held[picked], held[last] = held[last], held[picked]
	}
	*u = held[:left]
	return held[left:len(held):len(held)]
}
