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

// paces that differ 2.4 times.
var unevenPaces = []float64{0.6, 0.8, 1, 1.2, 1.44, 0.7, 0.9, 1.1, 1.3, 0.6, 1.44}

// brief and long are services of few and of many slots.
var (
	brief = service{slots: 6, work: 110 * time.Millisecond, aim: 500 * time.Millisecond}
	long  = service{slots: 18, work: 290 * time.Millisecond, aim: 800 * time.Millisecond}
)

// averagePace knows no more of a machine than how much its other work costs on average.
func averagePace(f *fleet, _ *server, _ heard) float64 {
	return 1 + f.shared.share*(f.shared.factor-1)
}

// toldPace is what the back end last told, forgotten as choice.Faded does.
func toldPace(f *fleet, s *server, told heard) float64 {
	average := averagePace(f, s, told)
	if told.beside == 0 {
		return average
	}
	const halfLife = 3 * time.Second
	return average + (told.beside-average)*math.Exp2(-float64(f.now-told.at)/float64(halfLife))
}

func balanced(pool choice.Pool, aim time.Duration, random *rand.Rand) int {
	index, _ := choice.SelectBalanced(pool, aim, random.IntN, choice.DefaultWeights())
	return index
}

// least returns a choice among three of each kind by another price.
func least(price func(c choice.Candidate, aim time.Duration) float64) func(choice.Pool, time.Duration, *rand.Rand) int {
	return func(pool choice.Pool, aim time.Duration, random *rand.Rand) int {
		const drawnOfEach = 3
		best, lowest := -1, 0.0
		consider := func(first, count int) {
			for _, offset := range random.Perm(count)[:min(drawnOfEach, count)] {
				candidate := pool.Describe(first + offset)
				if cost := price(candidate, aim); best < 0 || cost < lowest {
					best, lowest = first+offset, cost
				}
			}
		}
		consider(0, pool.Local)
		consider(pool.Local, pool.Remote)
		return best
	}
}

// hotAndCold goes by the work among back ends with room, and by what is there among the others.
func hotAndCold(c choice.Candidate, aim time.Duration) float64 {
	const hot, behindTheCold = 0.8, 10
	if used := c.Outstanding / float64(c.Slots); used > hot {
		return behindTheCold + used + fixedPrices(c)
	}
	return float64(c.ServiceTime)/float64(aim) + fixedPrices(c)
}

// cubic goes by the third power of what is there.
func cubic(c choice.Candidate, aim time.Duration) float64 {
	perSlot := (1 + c.Outstanding) / float64(c.Slots)
	return 0.18*perSlot*perSlot*perSlot*float64(c.ServiceTime)/float64(aim) + fixedPrices(c)
}

func fixedPrices(c choice.Candidate) float64 {
	weights, sum := choice.DefaultWeights(), 0.0
	if !c.SameZone {
		sum += weights.OtherZone
	}
	if c.Tried {
		sum += weights.AlreadyTried
	}
	return sum
}

func newEstimated() belief { return &estimated{} }

// The choices that are compared where requests compete for room.
var (
	usualChoice    = policy{name: "the usual choice", newBelief: newEstimated, choose: drawn, pace: averagePace}
	usualTold      = policy{name: "the usual choice, told pace", newBelief: newEstimated, choose: drawn, pace: toldPace}
	balancedChoice = policy{name: "balanced", newBelief: newEstimated, choose: balanced, pace: toldPace, average: true}
	otherChoices   = []policy{
		{name: "hot and cold", newBelief: newEstimated, choose: least(hotAndCold), pace: toldPace, average: true},
		{name: "cubic", newBelief: newEstimated, choose: least(cubic), pace: toldPace, average: true},
		{name: "balanced, no average", newBelief: newEstimated, choose: balanced, pace: toldPace},
		{name: "the usual choice, all known", newBelief: newEstimated, choose: drawn, pace: toldPace, knows: true},
	}
)

// playUneven plays 44 back ends that differ in speed and share their machines with other work, and
// 88 nodes whose requests come in clumps, in four zones with unequal demand.
func playUneven(of policy, played service, utilization float64, paces []float64, seeds int) outcome {
	var sum outcome
	for seed := range seeds {
		one := (&fleet{
			backEnds: 44, nodes: 88, zones: 4, demand: []float64{0.33, 0.27, 0.22, 0.18}, clump: 4,
			service: played, utilization: utilization, paces: paces,
			shared: shared{share: 0.15, factor: 2.5, period: 300 * time.Millisecond},
			length: 6 * time.Second, policy: of,
		}).play(uint64(seed))
		sum = sum.and(one, seeds)
	}
	return sum
}

// TestUneven: where requests compete for room, the balanced choice has fewer late answers, at
// every load and without more requests out of their zone than the load makes necessary.
func TestUneven(t *testing.T) {
	play := func(of policy, played service, utilization float64, paces []float64) outcome {
		sum := playUneven(of, played, utilization, paces, 3)
		t.Logf("%-28s %2d slots, utilization %.2f: late or failed %.4f, refused on the way %.3f, out of the zone %.3f, busiest %.2f",
			of.name, played.slots, utilization, sum.bad(), sum.refused(), sum.left(), sum.busiest)
		return sum
	}
	g := NewWithT(t)
	usualBad, chosenBad := 0.0, 0.0
	for _, played := range []service{brief, long} {
		for _, utilization := range []float64{0.6, 0.75} {
			usual, told := play(usualChoice, played, utilization, unevenPaces), play(usualTold, played, utilization, unevenPaces)
			chosen := play(balancedChoice, played, utilization, unevenPaces)
			g.Expect(told.bad()).To(BeNumerically("<", usual.bad()))
			g.Expect(chosen.bad()).To(BeNumerically("<", told.bad()))
			g.Expect(chosen.busiest).To(BeNumerically("<", usual.busiest))
			g.Expect(chosen.left()).To(BeNumerically("<", usual.left()+0.03))
			usualBad, chosenBad = usualBad+usual.bad(), chosenBad+chosen.bad()
		}
		// Back ends that are twelve times slower.
		g.Expect(play(balancedChoice, played, 0.5, slow).bad()).To(BeNumerically("<", 0.08))
	}
	g.Expect(chosenBad).To(BeNumerically("<", 0.7*usualBad))
}

// TestNewcomer: a back end that begins to take work among busy ones gets its part within a second,
// and no flood.
func TestNewcomer(t *testing.T) {
	for _, utilization := range []float64{0.6, 0.9} {
		g := NewWithT(t)
		const joins = 3 * time.Second
		f := &fleet{
			backEnds: 44, nodes: 88, zones: 4, clump: 4, service: brief, utilization: utilization, paces: []float64{1},
			joins: joins, length: joins + time.Second, policy: balancedChoice,
		}
		f.begin(1)
		f.playUntil(joins)
		for _, s := range f.servers {
			s.begun = 0
		}
		most, elsewhere := 0, 0
		for f.now < f.length {
			f.playUntil(f.now + 10*time.Millisecond)
			most = max(most, len(f.servers[0].queue))
			for _, s := range f.servers[1:] {
				elsewhere = max(elsewhere, len(s.queue))
			}
		}
		all := 0
		for _, s := range f.servers {
			all += s.begun
		}
		part := float64(f.servers[0].begun) * float64(f.backEnds) / float64(all)
		t.Logf("utilization %.2f: %.2f of its part in the first second, at most %d waited, %d elsewhere", utilization, part, most, elsewhere)
		g.Expect(part).To(BeNumerically(">", 0.8))
		g.Expect(part).To(BeNumerically("<", 2))
		g.Expect(most).To(BeNumerically("<=", elsewhere))
	}
}

// BenchmarkUneven has the figures of all choices, also near and above the room.
func BenchmarkUneven(b *testing.B) {
	for _, played := range []service{brief, long} {
		for _, utilization := range []float64{0.6, 0.75, 0.85, 0.95, 1.05} {
			for _, of := range append([]policy{usualChoice, usualTold, balancedChoice}, otherChoices...) {
				b.Run(fmt.Sprintf("%d slots/%.2f/%s", played.slots, utilization, of.name), func(b *testing.B) {
					var sum outcome
					for b.Loop() {
						sum = playUneven(of, played, utilization, unevenPaces, 3)
					}
					b.ReportMetric(sum.bad(), "bad/op")
					b.ReportMetric(sum.refused(), "refused/op")
					b.ReportMetric(sum.left(), "left/op")
					b.ReportMetric(sum.busiest, "busiest/op")
				})
			}
		}
	}
}
