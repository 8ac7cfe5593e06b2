package occupancy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
)

// unevenSlowdowns differ by a factor of 2.4.
var unevenSlowdowns = []float64{0.6, 0.8, 1, 1.2, 1.44, 0.7, 0.9, 1.1, 1.3, 0.6, 1.44}

// shortService and longService have few and many slots.
var (
	shortService = service{slots: 6, work: 110 * time.Millisecond, targetLatency: 500 * time.Millisecond}
	longService  = service{slots: 18, work: 290 * time.Millisecond, targetLatency: 800 * time.Millisecond}
)

// averageSlowdown knows only the average cost of the other work on a machine.
func averageSlowdown(f *fleet, _ *server, _ lastReport) float64 {
	return 1 + f.shared.share*(f.shared.factor-1)
}

// reportedSlowdown is the last reported value, which decays as in choice.Faded.
func reportedSlowdown(f *fleet, s *server, report lastReport) float64 {
	average := averageSlowdown(f, s, report)
	if report.interference == 0 {
		return average
	}
	const halfLife = 3 * time.Second
	return average + (report.interference-average)*math.Exp2(-float64(f.now-report.at)/float64(halfLife))
}

func selectBalanced(pool choice.Pool, targetLatency time.Duration, random *rand.Rand) int {
	index, _ := choice.SelectBalanced(pool, targetLatency, random.IntN, choice.DefaultWeights())
	return index
}

// selectLeastCost returns a selection by another cost function, among three local and three
// remote back ends.
func selectLeastCost(costOf func(c choice.Candidate, targetLatency time.Duration) float64) func(choice.Pool, time.Duration, *rand.Rand) int {
	return func(pool choice.Pool, targetLatency time.Duration, random *rand.Rand) int {
		const samplesOfEach = 3
		best, lowest := -1, 0.0
		consider := func(first, count int) {
			for _, offset := range random.Perm(count)[:min(samplesOfEach, count)] {
				candidate := pool.Describe(first + offset)
				if cost := costOf(candidate, targetLatency); best < 0 || cost < lowest {
					best, lowest = first+offset, cost
				}
			}
		}
		consider(0, pool.Local)
		consider(pool.Local, pool.Remote)
		return best
	}
}

// hotColdCost ranks back ends with spare capacity by service time and the others by load.
func hotColdCost(c choice.Candidate, targetLatency time.Duration) float64 {
	const hot, hotPenalty = 0.8, 10
	if used := c.Outstanding / float64(c.Slots); used > hot {
		return hotPenalty + used + fixedCosts(c)
	}
	return float64(c.ServiceTime)/float64(targetLatency) + fixedCosts(c)
}

// cubicCost grows with the third power of the load per slot.
func cubicCost(c choice.Candidate, targetLatency time.Duration) float64 {
	perSlot := (1 + c.Outstanding) / float64(c.Slots)
	return 0.18*perSlot*perSlot*perSlot*float64(c.ServiceTime)/float64(targetLatency) + fixedCosts(c)
}

func fixedCosts(c choice.Candidate) float64 {
	weights, sum := choice.DefaultWeights(), 0.0
	if !c.SameZone {
		sum += weights.OtherZone
	}
	if c.Tried {
		sum += weights.AlreadyTried
	}
	return sum
}

func newOccupancyEstimator() estimator { return &occupancyEstimator{} }

// The selection policies that are compared under contention.
var (
	defaultPolicy   = policy{name: "default selection", newEstimator: newOccupancyEstimator, selectBackEnd: selectSampled, slowdown: averageSlowdown}
	defaultReported = policy{name: "default, reported slowdown", newEstimator: newOccupancyEstimator, selectBackEnd: selectSampled, slowdown: reportedSlowdown}
	balancedPolicy  = policy{name: "balanced", newEstimator: newOccupancyEstimator, selectBackEnd: selectBalanced, slowdown: reportedSlowdown, useAverage: true}
	otherPolicies   = []policy{
		{name: "hot and cold", newEstimator: newOccupancyEstimator, selectBackEnd: selectLeastCost(hotColdCost), slowdown: reportedSlowdown, useAverage: true},
		{name: "cubic", newEstimator: newOccupancyEstimator, selectBackEnd: selectLeastCost(cubicCost), slowdown: reportedSlowdown, useAverage: true},
		{name: "balanced, no average", newEstimator: newOccupancyEstimator, selectBackEnd: selectBalanced, slowdown: reportedSlowdown},
		{name: "default, exact load", newEstimator: newOccupancyEstimator, selectBackEnd: selectSampled, slowdown: reportedSlowdown, exactLoad: true},
	}
)

// runUneven simulates 44 back ends that differ in speed and share their machines with other
// work, and 88 nodes whose requests arrive in bursts, in four zones with unequal demand.
func runUneven(p policy, svc service, utilization float64, slowdowns []float64, seeds int) outcome {
	var sum outcome
	for seed := range seeds {
		result := (&fleet{
			backEnds: 44, nodes: 88, zones: 4, demand: []float64{0.33, 0.27, 0.22, 0.18}, burstSize: 4,
			service: svc, utilization: utilization, slowdowns: slowdowns,
			shared: shared{share: 0.15, factor: 2.5, period: 300 * time.Millisecond},
			length: 6 * time.Second, policy: p,
		}).run(uint64(seed))
		sum = sum.add(result, seeds)
	}
	return sum
}

// TestUneven checks that under contention the balanced selection has fewer late answers at
// every load, without more cross-zone requests than the load requires.
func TestUneven(t *testing.T) {
	play := func(p policy, svc service, utilization float64, slowdowns []float64) outcome {
		sum := runUneven(p, svc, utilization, slowdowns, 3)
		t.Logf("%-28s %2d slots, utilization %.2f: late or failed %.4f, refusals per request %.3f, cross-zone %.3f, busiest %.2f",
			p.name, svc.slots, utilization, sum.badRate(), sum.refusalRate(), sum.crossZoneRate(), sum.busiest)
		return sum
	}
	g := NewWithT(t)
	defaultBad, balancedBad := 0.0, 0.0
	for _, svc := range []service{shortService, longService} {
		for _, utilization := range []float64{0.6, 0.75} {
			defaultOutcome, reportedOutcome := play(defaultPolicy, svc, utilization, unevenSlowdowns), play(defaultReported, svc, utilization, unevenSlowdowns)
			balancedOutcome := play(balancedPolicy, svc, utilization, unevenSlowdowns)
			g.Expect(reportedOutcome.badRate()).To(BeNumerically("<", defaultOutcome.badRate()))
			g.Expect(balancedOutcome.badRate()).To(BeNumerically("<", reportedOutcome.badRate()))
			g.Expect(balancedOutcome.busiest).To(BeNumerically("<", defaultOutcome.busiest))
			g.Expect(balancedOutcome.crossZoneRate()).To(BeNumerically("<", defaultOutcome.crossZoneRate()+0.03))
			defaultBad, balancedBad = defaultBad+defaultOutcome.badRate(), balancedBad+balancedOutcome.badRate()
		}
		// Two fifths of the back ends are twelve times slower.
		g.Expect(play(balancedPolicy, svc, 0.5, severeSlowdowns).badRate()).To(BeNumerically("<", 0.08))
	}
	g.Expect(balancedBad).To(BeNumerically("<", 0.7*defaultBad))
}

// TestJoiningBackEnd checks that a back end that joins a busy service gets its share of
// requests within a second and is not flooded.
func TestJoiningBackEnd(t *testing.T) {
	for _, utilization := range []float64{0.6, 0.9} {
		g := NewWithT(t)
		const joinsAt = 3 * time.Second
		f := &fleet{
			backEnds: 44, nodes: 88, zones: 4, burstSize: 4, service: shortService, utilization: utilization, slowdowns: []float64{1},
			joinsAt: joinsAt, length: joinsAt + time.Second, policy: balancedPolicy,
		}
		f.setUp(1)
		f.runUntil(joinsAt)
		for _, s := range f.servers {
			s.startedRequests = 0
		}
		maxQueue, maxQueueElsewhere := 0, 0
		for f.now < f.length {
			f.runUntil(f.now + 10*time.Millisecond)
			maxQueue = max(maxQueue, len(f.servers[0].queue))
			for _, s := range f.servers[1:] {
				maxQueueElsewhere = max(maxQueueElsewhere, len(s.queue))
			}
		}
		all := 0
		for _, s := range f.servers {
			all += s.startedRequests
		}
		relativeShare := float64(f.servers[0].startedRequests) * float64(f.backEnds) / float64(all)
		t.Logf("utilization %.2f: %.2f of its share in the first second, maximum queue %d, %d elsewhere", utilization, relativeShare, maxQueue, maxQueueElsewhere)
		g.Expect(relativeShare).To(BeNumerically(">", 0.8))
		g.Expect(relativeShare).To(BeNumerically("<", 2))
		g.Expect(maxQueue).To(BeNumerically("<=", maxQueueElsewhere))
	}
}

// BenchmarkUneven reports the results of all policies, also near and above capacity.
func BenchmarkUneven(b *testing.B) {
	for _, svc := range []service{shortService, longService} {
		for _, utilization := range []float64{0.6, 0.75, 0.85, 0.95, 1.05} {
			for _, p := range append([]policy{defaultPolicy, defaultReported, balancedPolicy}, otherPolicies...) {
				b.Run(fmt.Sprintf("%d slots/%.2f/%s", svc.slots, utilization, p.name), func(b *testing.B) {
					var sum outcome
					for b.Loop() {
						sum = runUneven(p, svc, utilization, unevenSlowdowns, 3)
					}
					b.ReportMetric(sum.badRate(), "bad/op")
					b.ReportMetric(sum.refusalRate(), "refused/op")
					b.ReportMetric(sum.crossZoneRate(), "left/op")
					b.ReportMetric(sum.busiest, "busiest/op")
				})
			}
		}
	}
}
