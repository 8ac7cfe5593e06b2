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

// software is how the answers of one version are, for a simulated trial.
type software struct {
	// failing is the share of failures, slow that of answers that take slowness times as
	// long, from onset on.
	failing, slow, slowness float64
	onset                   time.Duration
	// route is the only one that is bad; empty for all.
	route string
}

// trial plays the evidence of a move: back ends of different pace, one on trial in each
// second, at a rate of requests that the schedule weighs, with times that scatter as in a
// log-normal distribution.
type trial struct {
	random *rand.Rand
	// perSecond is the rate of the one on trial in the mean over the trial.
	perSecond float64
	version   software
	// trouble strikes a share of the back ends of all versions for a time: they are
	// slow or fail as those of trouble do.
	trouble         software
	struck          float64
	troubleAt, ends time.Duration
}

// outcome is how a trial went.
type outcome struct {
	condemned, promoted bool
	// bad is how many bad answers were given before.
	bad int
}

var routes = []string{"first", "second", "third"}

func (p *trial) play() outcome {
	const backEnds = 3
	move := rollout.NewState(order(1), start)
	trialTime := move.PromoteAt(rollout.DefaultLimits()).Sub(start)
	judges := make([]rollout.Detector, backEnds)
	struck := make([]bool, backEnds)
	for i := range struck {
		struck[i] = p.random.Float64() < p.struck
	}
	paces := []float64{0.6, 1, 1.5}
	var result outcome
	const firstAnswer = 2 * time.Second
	for at := firstAnswer; at < trialTime; at += p.pause(&move, at) {
		index := p.onTrial(at, judges)
		if index < 0 {
			return result
		}
		answer, bad := p.answer(at, paces[index%len(paces)], struck[index])
		if bad {
			result.bad++
		}
		judges[index].Observe(answer, start.Add(at))
		if tallyOf(judges, at).Condemns() {
			result.condemned = true
			return result
		}
	}
	result.promoted = tallyOf(judges, trialTime).Promotes()
	return result
}

// pause is the time between two requests that go to the version.
func (p *trial) pause(move *rollout.State, at time.Duration) time.Duration {
	return time.Duration(float64(time.Second) / (p.perSecond * move.TrialWeight(rollout.DefaultLimits(), start.Add(at))))
}

// onTrial returns the back end that is on trial: in turn, those that are faulty aside.
func (p *trial) onTrial(at time.Duration, judges []rollout.Detector) int {
	var candidates []int
	for i := range judges {
		if !judges[i].Evidence(start.Add(at)).Faulty {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	return candidates[int(at/time.Second)%len(candidates)]
}

func tallyOf(judges []rollout.Detector, at time.Duration) rollout.Tally {
	tally := rollout.Tally{Present: 8, Others: 8}
	for i := range judges {
		seen := judges[i].Evidence(start.Add(at))
		tally.Add(seen.Answers, seen.Faulty, seen.LogOdds)
	}
	return tally
}

// answer draws one answer, and whether the version made it bad.
func (p *trial) answer(at time.Duration, pace float64, struck bool) (rollout.Answer, bool) {
	const scatter, usualFailing, usualSlow = 0.7, 0.005, 0.03
	made := rollout.Answer{Route: routes[p.random.IntN(len(routes))], BaselineRates: rollout.BaselineRates{Failing: usualFailing, Slow: usualSlow}}
	ratio := pace * math.Exp(p.random.NormFloat64()*scatter-scatter*scatter/2)
	made.Failed = p.random.Float64() < usualFailing
	bad := false
	if at >= p.version.onset && (p.version.route == "" || p.version.route == made.Route) {
		bad = p.spoil(&p.version, &made, &ratio)
	}
	if at >= p.troubleAt && at < p.ends {
		made.BaselineRates.Failing += p.struck * p.trouble.failing
		made.BaselineRates.Slow += p.struck * p.trouble.slow
		if struck {
			p.spoil(&p.trouble, &made, &ratio)
		}
	}
	made.Slow = ratio > rollout.SlowFactor
	return made, bad
}

func (p *trial) spoil(by *software, answer *rollout.Answer, ratio *float64) (bad bool) {
	if p.random.Float64() < by.failing {
		answer.Failed, bad = true, true
	}
	if p.random.Float64() < by.slow {
		*ratio *= by.slowness
		bad = true
	}
	return bad
}

const seeds = 1000

// play plays a trial with each seed.
func play(make func(random *rand.Rand) *trial) (condemned, promoted int, bad []int) {
	for seed := range uint64(seeds) {
		result := make(rand.New(rand.NewPCG(seed, 7))).play()
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

// TestGoodVersions: of a thousand good versions at most ten are taken back, also while a
// tenth of the back ends of all versions fail or are slow for six seconds.
func TestGoodVersions(t *testing.T) {
	cases := map[string]software{
		"calm":                {},
		"some back ends fail": {failing: 0.45},
		"some are slow":       {slow: 1, slowness: 5},
	}
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			condemned, promoted, _ := play(func(random *rand.Rand) *trial {
				return &trial{random: random, perSecond: 25, trouble: trouble, struck: 0.1, troubleAt: 5 * time.Second, ends: 11 * time.Second}
			})
			t.Logf("%d condemned, %d promoted", condemned, promoted)
			most := 10
			if trouble != (software{}) {
				most = 40 // two of three back ends are struck in 2.8 of 100 cases
			}
			g.Expect(condemned).To(BeNumerically("<=", most))
			g.Expect(promoted).To(BeNumerically(">=", seeds-2*most))
		})
	}
}

// TestBadVersions: how often a bad version is found, and after how many bad answers. The
// last column bounds how many of a thousand are promoted all the same.
func TestBadVersions(t *testing.T) {
	cases := []struct {
		name          string
		version       software
		median, most  int
		promotedAtAll int
	}{
		{"a third fails", software{failing: 0.33}, 25, 50, 0},
		{"a third is eight times as slow", software{slow: 0.33, slowness: 8}, 25, 50, 0},
		{"half is five times as slow", software{slow: 0.5, slowness: 5}, 30, 75, 0},
		{"a third fails from the middle on", software{failing: 0.33, onset: 7 * time.Second}, 25, 50, 0},
		{"a third is slow from the middle on", software{slow: 0.33, slowness: 8, onset: 7 * time.Second}, 25, 50, 0},
		{"a third is slow from late on", software{slow: 0.33, slowness: 8, onset: 10 * time.Second}, 25, 50, 0},
		{"half of one route fails", software{failing: 0.5, route: "second"}, 25, 50, 0},
		{"half of one route is slow", software{slow: 0.5, slowness: 8, route: "second"}, 30, 60, 0},
	}
	for _, met := range cases {
		t.Run(met.name, func(t *testing.T) {
			g := NewWithT(t)
			condemned, promoted, bad := play(func(random *rand.Rand) *trial {
				return &trial{random: random, perSecond: 25, version: met.version}
			})
			t.Logf("%d condemned, %d promoted, bad answers until then: median %d, 99 of 100 %d",
				condemned, promoted, quantile(bad, 0.5), quantile(bad, 0.99))
			g.Expect(promoted).To(BeNumerically("<=", met.promotedAtAll))
			g.Expect(quantile(bad, 0.5)).To(BeNumerically("<=", met.median))
			g.Expect(quantile(bad, 0.99)).To(BeNumerically("<=", met.most))
		})
	}
}

// TestALoneBackEnd: a good version of a single back end is promoted, though no single one can
// say as much as several.
func TestALoneBackEnd(t *testing.T) {
	const perSecond, answers = 8, 80
	judge := &rollout.Detector{}
	now := start
	for range answers {
		judge.Observe(rollout.Answer{Route: "first"}, now)
		now = now.Add(time.Second / perSecond)
	}
	seen := judge.Evidence(now)
	tally := rollout.Tally{Present: 1, Others: 1}
	tally.Add(seen.Answers, seen.Faulty, seen.LogOdds)
	NewWithT(t).Expect(tally.Promotes()).To(BeTrue(), "lean %v", seen.LogOdds)
}

// TestFewRequests: how many of a thousand versions are promoted where few requests are on
// trial. Bad ones go first: of the good ones some are taken back for want of evidence.
func TestFewRequests(t *testing.T) {
	cases := []struct {
		name      string
		version   software
		perSecond float64
		// least and most bound how many are promoted.
		least, most int
	}{
		{"good", software{}, 8, 990, seeds},
		{"good", software{}, 4, 700, seeds},
		{"a third fails from late on", software{failing: 0.33, onset: 10 * time.Second}, 8, 0, 0},
		{"a third fails from late on", software{failing: 0.33, onset: 10 * time.Second}, 4, 0, 0},
		{"a third is slow from the middle on", software{slow: 0.33, slowness: 8, onset: 7 * time.Second}, 8, 0, 5},
		{"a third is slow from late on", software{slow: 0.33, slowness: 8, onset: 10 * time.Second}, 8, 0, 20},
		{"a third is slow from late on", software{slow: 0.33, slowness: 8, onset: 10 * time.Second}, 4, 0, 5},
		// One answer of six is bad there: 8 a second for 14 s do not show it.
		{"half of one route is slow", software{slow: 0.5, slowness: 8, route: "second"}, 8, 0, 75},
		{"half of one route is slow", software{slow: 0.5, slowness: 8, route: "second"}, 4, 0, 10},
	}
	for _, met := range cases {
		t.Run(fmt.Sprintf("%s, %.0f a second", met.name, met.perSecond), func(t *testing.T) {
			g := NewWithT(t)
			condemned, promoted, _ := play(func(random *rand.Rand) *trial {
				return &trial{random: random, perSecond: met.perSecond, version: met.version}
			})
			t.Logf("%d condemned, %d promoted", condemned, promoted)
			g.Expect(promoted).To(And(BeNumerically(">=", met.least), BeNumerically("<=", met.most)))
		})
	}
}

func quantile(values []int, part float64) int {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(part*float64(len(sorted)-1))]
}
