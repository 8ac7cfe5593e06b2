package choice

import "time"

const (
	// fullness is the price of a back end that works for as long as the target latency and whose
	// slots are all taken. Twice as many requests there cost four times as much.
	fullness = 0.18
	// drawnToBalance is how many back ends of the zone, and how many of others, are compared.
	drawnToBalance = 3
)

// BalancedCost is the price of sending a request to the candidate where requests compete for
// room. The chance that an answer comes late, which Cost goes by, is the same for all once most
// back ends have queues: requests would be spread blindly just when room is short, and stay in a
// zone that has none. This price rises with what is there already, by the square of requests for
// each slot, and with how long work takes; it has no upper bound. An idle back end whose work
// alone takes longer than the target pays for the answer that comes late.
func BalancedCost(candidate Candidate, aim time.Duration, weights Weights) float64 {
	if aim <= 0 {
		aim = assumedAim
	}
	perSlot := (candidate.Busy + 1) / float64(max(candidate.Slots, 1))
	share := float64(candidate.Work+candidate.RoundTrip) / float64(aim)
	cost := fullness*perSlot*perSlot*share + lateness*min(max(share-1, 0), 1)
	cost += max(candidate.Failing-usualFailing, 0)
	return candidate.added(cost, weights)
}

// DrawBalanced chooses the cheapest by BalancedCost of a few back ends that are drawn at random. It
// draws again only while none was found that is to be chosen at all. The index is -1 for an empty
// pool.
func DrawBalanced(pool Pool, aim time.Duration, intN func(n int) int, weights Weights) (index int, drawn Candidate) {
	near, far := newUrn(0, pool.Near), newUrn(pool.Near, pool.Far)
	index, lowest := -1, 0.0
	for len(near)+len(far) > 0 && (index < 0 || lowest >= weights.Avoided) {
		for _, next := range append(near.take(drawnToBalance, intN), far.take(drawnToBalance, intN)...) {
			candidate := pool.Describe(next)
			cost := BalancedCost(candidate, aim, weights)
			if index < 0 || cost < lowest {
				index, drawn, lowest = next, candidate, cost
			}
		}
	}
	return index, drawn
}
