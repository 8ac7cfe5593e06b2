package choice

import "time"

const (
	// slotLoadCost is the cost of a back end whose service time equals the target latency and whose
	// slots are all taken. Twice as many requests per slot cost four times as much.
	slotLoadCost = 0.18
	// balancedSampleSize is the number of local, and of remote, back ends that are compared at a
	// time.
	balancedSampleSize = 3
)

// BalancedCost returns the cost of sending a request to the candidate while requests compete for
// capacity. The cost grows with the square of the requests per slot, even where every answer would
// be late, and linearly with the service time. The estimated part stays below the penalty of a back
// end that is only a last resort. A back end whose service time alone exceeds the target latency
// also pays for the late answer.
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

// SelectBalanced returns the cheapest back end by BalancedCost among a few sampled at random. It
// samples again only while every candidate so far is a last resort. The index is -1 for an empty
// pool.
func SelectBalanced(pool Pool, targetLatency time.Duration, intN func(n int) int, weights Weights) (index int, selected Candidate) {
	costOf := func(candidate Candidate) float64 { return BalancedCost(candidate, targetLatency, weights) }
	return selectCheapest(pool, balancedSampleSize, intN, costOf, func(_ int, lowest float64) bool { return lowest < weights.RecentFailure })
}
