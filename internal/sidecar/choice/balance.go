package choice

import "time"

const (
	// slotLoadCost is the price of a back end that works for as long as the target latency and whose
	// slots are all taken. Twice as many requests there cost four times as much.
	slotLoadCost = 0.18
	// balancedSampleSize is how many back ends of the zone, and how many of others, are compared.
	balancedSampleSize = 3
)

// BalancedCost is the price of sending a request to the candidate where requests compete for
// room. It rises with the square of the requests for each slot, also where every answer would be
// late, and with how long work takes. What is measured stays below the price of a back end that is
// to be chosen only when nothing else is left. A back end whose work alone takes longer than the
// target pays for the late answer.
func BalancedCost(candidate Candidate, targetLatency time.Duration, weights Weights) float64 {
	if targetLatency <= 0 {
		targetLatency = defaultTargetLatency
	}
	perSlot := (max(candidate.Outstanding, 0) + 1) / float64(max(candidate.Slots, 1))
	serviceTime := float64(candidate.ServiceTime) / float64(targetLatency)
	delay := float64(candidate.RoundTrip+candidate.Wait) / float64(targetLatency)
	estimated := slotLoadCost*(perSlot*perSlot*serviceTime+delay) + lateAnswerCost*min(max(serviceTime+delay-1, 0), 1)
	cost := estimated / (1 + estimated/(weights.RecentFailure/2))
	cost += max(candidate.FailureRate-toleratedFailureRate, 0)
	return candidate.withPenalties(cost, weights)
}

// SelectBalanced chooses the cheapest by BalancedCost of a few back ends that are drawn at random. It
// draws again only while none was found that is to be chosen at all. The index is -1 for an empty
// pool.
func SelectBalanced(pool Pool, targetLatency time.Duration, intN func(n int) int, weights Weights) (index int, drawn Candidate) {
	cost := func(candidate Candidate) float64 { return BalancedCost(candidate, targetLatency, weights) }
	return selectCheapest(pool, balancedSampleSize, intN, cost, func(_ int, lowest float64) bool { return lowest < weights.RecentFailure })
}
