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
// room. It rises with the square of the requests for each slot, also where every answer would be
// late, and with how long work takes. What is measured stays below the price of a back end that is
// to be chosen only when nothing else is left. A back end whose work alone takes longer than the
// target pays for the late answer.
func BalancedCost(candidate Candidate, aim time.Duration, weights Weights) float64 {
	if aim <= 0 {
		aim = assumedAim
	}
	perSlot := (max(candidate.Outstanding, 0) + 1) / float64(max(candidate.Slots, 1))
	work := float64(candidate.ServiceTime) / float64(aim)
	way := float64(candidate.RoundTrip+candidate.Wait) / float64(aim)
	measured := fullness*(perSlot*perSlot*work+way) + lateness*min(max(work+way-1, 0), 1)
	cost := measured / (1 + measured/(weights.RecentFailure/2))
	cost += max(candidate.FailureRate-usualFailing, 0)
	return candidate.added(cost, weights)
}

// SelectBalanced chooses the cheapest by BalancedCost of a few back ends that are drawn at random. It
// draws again only while none was found that is to be chosen at all. The index is -1 for an empty
// pool.
func SelectBalanced(pool Pool, aim time.Duration, intN func(n int) int, weights Weights) (index int, drawn Candidate) {
	price := func(candidate Candidate) float64 { return BalancedCost(candidate, aim, weights) }
	return draw(pool, drawnToBalance, intN, price, func(_ int, lowest float64) bool { return lowest < weights.RecentFailure })
}
