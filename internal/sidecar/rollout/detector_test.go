package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
)

// versionBehavior describes the answers of a version in a simulated trial.
type versionBehavior struct {
	// failing is the rate of failures and slow the rate of answers that take slowFactor times
	// as long, from onset on.
	failing, slow, slowFactor float64
	onset                     time.Duration
	// route is the only affected route; empty for all.
	route string
}

// simulation generates the evidence of a rollout: back ends of different speed, one on trial in
// each second, at the request rate of the schedule, with log-normally distributed durations.
type simulation struct {
	random *rand.Rand
	// requestsPerSecond is the mean rate at the back end on trial.
	requestsPerSecond float64
	version           versionBehavior
	// disturbance makes a fraction of the back ends of all versions slow or failing for a time.
	disturbance                   versionBehavior
	affected                      float64
	disturbedFrom, disturbedUntil time.Duration
}

// outcome is the result of one simulated trial.
type outcome struct {
	condemned, promoted bool
	// bad is the number of bad answers until then.
	bad int
}

var routes = []string{"first", "second", "third"}

func (p *simulation) run() outcome {
	const backEnds = 3
	state := rollout.NewState(newOrder(1), start)
	trialTime := state.PromoteAt(rollout.DefaultLimits()).Sub(start)
	detectors := make([]rollout.Detector, backEnds)
	affected := make([]bool, backEnds)
	for i := range affected {
		affected[i] = p.random.Float64() < p.affected
	}
	slowdowns := []float64{0.6, 1, 1.5}
	var result outcome
	const firstAnswer = 2 * time.Second
	for at := firstAnswer; at < trialTime; at += p.requestInterval(&state, at) {
		index := p.onTrial(at, detectors)
		if index < 0 {
			return result
		}
		answer, bad := p.answer(at, slowdowns[index%len(slowdowns)], affected[index])
		if bad {
			result.bad++
		}
		detectors[index].Observe(answer, start.Add(at))
		if tallyOf(detectors, at).Condemns() {
			result.condemned = true
			return result
		}
	}
	result.promoted = tallyOf(detectors, trialTime).Promotes()
	return result
}

// requestInterval returns the time between two requests to the version.
func (p *simulation) requestInterval(state *rollout.State, at time.Duration) time.Duration {
	return time.Duration(float64(time.Second) / (p.requestsPerSecond * state.TrialWeight(rollout.DefaultLimits(), start.Add(at))))
}

// onTrial returns the back end on trial: those that are not faulty take turns.
func (p *simulation) onTrial(at time.Duration, detectors []rollout.Detector) int {
	var candidates []int
	for i := range detectors {
		if !detectors[i].Evidence(start.Add(at)).Faulty {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	return candidates[int(at/time.Second)%len(candidates)]
}

func tallyOf(detectors []rollout.Detector, at time.Duration) rollout.Tally {
	tally := rollout.Tally{Present: 8, Others: 8}
	for i := range detectors {
		evidence := detectors[i].Evidence(start.Add(at))
		tally.Add(evidence.Answers, evidence.Faulty, evidence.LogOdds)
	}
	return tally
}

// answer draws one answer, and reports whether the version made it bad.
func (p *simulation) answer(at time.Duration, slowdown float64, affected bool) (rollout.Answer, bool) {
	const scatter, baselineFailing, baselineSlow = 0.7, 0.005, 0.03
	result := rollout.Answer{Route: routes[p.random.IntN(len(routes))], BaselineRates: rollout.BaselineRates{Failing: baselineFailing, Slow: baselineSlow}}
	ratio := slowdown * math.Exp(p.random.NormFloat64()*scatter-scatter*scatter/2)
	result.Failed = p.random.Float64() < baselineFailing
	bad := false
	if at >= p.version.onset && (p.version.route == "" || p.version.route == result.Route) {
		bad = p.degrade(&p.version, &result, &ratio)
	}
	if at >= p.disturbedFrom && at < p.disturbedUntil {
		result.BaselineRates.Failing += p.affected * p.disturbance.failing
		result.BaselineRates.Slow += p.affected * p.disturbance.slow
		if affected {
			p.degrade(&p.disturbance, &result, &ratio)
		}
	}
	result.Slow = ratio > rollout.SlowFactor
	return result, bad
}

func (p *simulation) degrade(behavior *versionBehavior, answer *rollout.Answer, ratio *float64) (bad bool) {
	if p.random.Float64() < behavior.failing {
		answer.Failed, bad = true, true
	}
	if p.random.Float64() < behavior.slow {
		*ratio *= behavior.slowFactor
		bad = true
	}
	return bad
}

const seeds = 1000

// run runs one simulation for each seed.
func run(make func(random *rand.Rand) *simulation) (condemned, promoted int, bad []int) {
	for seed := range uint64(seeds) {
		result := make(rand.New(rand.NewPCG(seed, 7))).run()
		if result.condemned {
			condemned++
			bad = append(bad, result.bad)
		}
		if result.promoted {
			promoted++
		}
	}
	return condemned, promoted, bad
}

// TestGoodVersions checks that at most ten of 1,000 good versions are rolled back, and at most
// 40 while a tenth of the back ends of all versions fail or are slow for six seconds.
func TestGoodVersions(t *testing.T) {
	cases := map[string]versionBehavior{
		"calm":                {},
		"some back ends fail": {failing: 0.45},
		"some are slow":       {slow: 1, slowFactor: 5},
	}
	for name, disturbance := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			condemned, promoted, _ := run(func(random *rand.Rand) *simulation {
				return &simulation{random: random, requestsPerSecond: 25, disturbance: disturbance, affected: 0.1, disturbedFrom: 5 * time.Second, disturbedUntil: 11 * time.Second}
			})
			t.Logf("%d condemned, %d promoted", condemned, promoted)
			maxCondemned := 10
			if disturbance != (versionBehavior{}) {
				maxCondemned = 40 // two of three back ends are affected in 2.8 of 100 cases
			}
			g.Expect(condemned).To(BeNumerically("<=", maxCondemned))
			g.Expect(promoted).To(BeNumerically(">=", seeds-2*maxCondemned))
		})
	}
}

// TestBadVersions checks how often a bad version is found and after how many bad answers. The
// last column bounds how many of 1,000 are promoted nevertheless.
func TestBadVersions(t *testing.T) {
	cases := []struct {
		name        string
		version     versionBehavior
		p50, p99    int
		maxPromoted int
	}{
		{"a third fails", versionBehavior{failing: 0.33}, 25, 50, 0},
		{"a third is eight times as slow", versionBehavior{slow: 0.33, slowFactor: 8}, 25, 50, 0},
		{"half is five times as slow", versionBehavior{slow: 0.5, slowFactor: 5}, 30, 75, 0},
		{"a third fails from the middle on", versionBehavior{failing: 0.33, onset: 7 * time.Second}, 25, 50, 0},
		{"a third is slow from the middle on", versionBehavior{slow: 0.33, slowFactor: 8, onset: 7 * time.Second}, 25, 50, 0},
		{"a third is slow from late on", versionBehavior{slow: 0.33, slowFactor: 8, onset: 10 * time.Second}, 25, 50, 0},
		{"half of one route fails", versionBehavior{failing: 0.5, route: "second"}, 25, 50, 0},
		{"half of one route is slow", versionBehavior{slow: 0.5, slowFactor: 8, route: "second"}, 30, 60, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			condemned, promoted, bad := run(func(random *rand.Rand) *simulation {
				return &simulation{random: random, requestsPerSecond: 25, version: tc.version}
			})
			t.Logf("%d condemned, %d promoted, bad answers until then: median %d, 99 of 100 %d",
				condemned, promoted, quantile(bad, 0.5), quantile(bad, 0.99))
			g.Expect(promoted).To(BeNumerically("<=", tc.maxPromoted))
			g.Expect(quantile(bad, 0.5)).To(BeNumerically("<=", tc.p50))
			g.Expect(quantile(bad, 0.99)).To(BeNumerically("<=", tc.p99))
		})
	}
}

// TestSingleBackEnd checks that a good version with one back end is promoted, although its log
// odds are bounded below the threshold for several back ends.
func TestSingleBackEnd(t *testing.T) {
	const requestsPerSecond, answers = 8, 80
	detector := &rollout.Detector{}
	now := start
	for range answers {
		detector.Observe(rollout.Answer{Route: "first"}, now)
		now = now.Add(time.Second / requestsPerSecond)
	}
	evidence := detector.Evidence(now)
	tally := rollout.Tally{Present: 1, Others: 1}
	tally.Add(evidence.Answers, evidence.Faulty, evidence.LogOdds)
	NewWithT(t).Expect(tally.Promotes()).To(BeTrue(), "log odds %v", evidence.LogOdds)
}

// TestLowRequestRate checks how many of 1,000 versions are promoted with few trial requests.
// Detecting bad versions has priority: some good ones are rolled back for lack of evidence.
func TestLowRequestRate(t *testing.T) {
	cases := []struct {
		name              string
		version           versionBehavior
		requestsPerSecond float64
		// minPromoted and maxPromoted bound the number of promoted versions.
		minPromoted, maxPromoted int
	}{
		{"good", versionBehavior{}, 8, 990, seeds},
		{"good", versionBehavior{}, 4, 700, seeds},
		{"a third fails from late on", versionBehavior{failing: 0.33, onset: 10 * time.Second}, 8, 0, 0},
		{"a third fails from late on", versionBehavior{failing: 0.33, onset: 10 * time.Second}, 4, 0, 0},
		{"a third is slow from the middle on", versionBehavior{slow: 0.33, slowFactor: 8, onset: 7 * time.Second}, 8, 0, 5},
		{"a third is slow from late on", versionBehavior{slow: 0.33, slowFactor: 8, onset: 10 * time.Second}, 8, 0, 20},
		{"a third is slow from late on", versionBehavior{slow: 0.33, slowFactor: 8, onset: 10 * time.Second}, 4, 0, 5},
		// One answer in six is bad, which 8 requests per second for 14 s do not reveal.
		{"half of one route is slow", versionBehavior{slow: 0.5, slowFactor: 8, route: "second"}, 8, 0, 75},
		{"half of one route is slow", versionBehavior{slow: 0.5, slowFactor: 8, route: "second"}, 4, 0, 10},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%s, %.0f a second", tc.name, tc.requestsPerSecond), func(t *testing.T) {
			g := NewWithT(t)
			condemned, promoted, _ := run(func(random *rand.Rand) *simulation {
				return &simulation{random: random, requestsPerSecond: tc.requestsPerSecond, version: tc.version}
			})
			t.Logf("%d condemned, %d promoted", condemned, promoted)
			g.Expect(promoted).To(And(BeNumerically(">=", tc.minPromoted), BeNumerically("<=", tc.maxPromoted)))
		})
	}
}

func quantile(values []int, fraction float64) int {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(fraction*float64(len(sorted)-1))]
}
