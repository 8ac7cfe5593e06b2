package choice_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
)

const ms = time.Millisecond

func TestSelect(t *testing.T) {
	near := choice.Candidate{SameZone: true, Slots: 8, ServiceTime: 80 * ms, HoldTime: 80 * ms}
	far := choice.Candidate{Slots: 8, ServiceTime: 80 * ms, HoldTime: 80 * ms, RoundTrip: 2 * ms}
	with := func(from choice.Candidate, change func(*choice.Candidate)) choice.Candidate {
		change(&from)
		return from
	}
	cases := []struct {
		name          string
		candidates    []choice.Candidate
		targetLatency time.Duration
		want          int
	}{
		{"none", nil, 300 * ms, -1},
		{"the zone", []choice.Candidate{far, near}, 300 * ms, 1},
		{"the zone, although it is twice as slow", []choice.Candidate{far, with(near, func(c *choice.Candidate) { c.ServiceTime = 160 * ms })}, 400 * ms, 1},
		{"the region, although another one's back end is faster", []choice.Candidate{
			with(far, func(c *choice.Candidate) { c.OtherRegion, c.ServiceTime = true, 20*ms }), far,
		}, 300 * ms, 1},
		{"another region when the own one's would be late", []choice.Candidate{
			with(far, func(c *choice.Candidate) { c.OtherRegion = true }), with(far, func(c *choice.Candidate) { c.Outstanding = 60 }),
		}, 300 * ms, 0},
		{"another zone when this one's would be late", []choice.Candidate{far, with(near, func(c *choice.Candidate) { c.ServiceTime = 320 * ms })}, 300 * ms, 0},
		{"another zone when this one's queue is long", []choice.Candidate{far, with(near, func(c *choice.Candidate) { c.Outstanding = 40 })}, 300 * ms, 0},
		{"the shorter of two queues that are both too long", []choice.Candidate{
			with(near, func(c *choice.Candidate) { c.Outstanding = 200 }), with(near, func(c *choice.Candidate) { c.Outstanding = 150 }),
		}, 300 * ms, 1},
		{"not the one that failed", []choice.Candidate{far, with(near, func(c *choice.Candidate) { c.RecentlyFailed = true })}, 300 * ms, 0},
		{"not the one at which many fail, although it answers fast", []choice.Candidate{
			far, with(near, func(c *choice.Candidate) { c.FailureRate, c.ServiceTime = 0.3, 5*ms }),
		}, 300 * ms, 0},
		{"the zone in spite of occasional failures", []choice.Candidate{far, with(near, func(c *choice.Candidate) { c.FailureRate = 0.04 })}, 300 * ms, 1},
		{"of two in the zone the one that works, although it is slower", []choice.Candidate{
			with(near, func(c *choice.Candidate) { c.FailureRate = 0.4 }), with(near, func(c *choice.Candidate) { c.ServiceTime = 130 * ms }),
		}, 300 * ms, 1},
		{"one that failed before a draining one", []choice.Candidate{
			with(near, func(c *choice.Candidate) { c.Draining = true }), with(far, func(c *choice.Candidate) { c.RecentlyFailed = true }),
		}, 300 * ms, 1},
		{"a draining one before an unresponsive one", []choice.Candidate{
			with(near, func(c *choice.Candidate) { c.Unresponsive = true }), with(far, func(c *choice.Candidate) { c.Draining = true }),
		}, 300 * ms, 1},
		{"an unresponsive one before one that was tried", []choice.Candidate{
			with(near, func(c *choice.Candidate) { c.Tried = true }), with(far, func(c *choice.Candidate) { c.Unresponsive = true }),
		}, 300 * ms, 1},
		{"a draining one before one that was tried", []choice.Candidate{
			with(near, func(c *choice.Candidate) { c.Tried = true }), with(far, func(c *choice.Candidate) { c.Draining = true }),
		}, 300 * ms, 1},
		{"without a target latency the less busy", []choice.Candidate{
			with(near, func(c *choice.Candidate) { c.Outstanding = 20 }), near,
		}, 0, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(20) {
				g.Expect(selectFrom(tc.candidates, tc.targetLatency, rand.New(rand.NewPCG(seed, 0)))).To(Equal(tc.want))
			}
		})
	}
}

// selectFrom runs Select on candidates in any order and returns the position of the selected one.
func selectFrom(candidates []choice.Candidate, targetLatency time.Duration, random *rand.Rand) int {
	return selectWith(choice.Select, candidates, targetLatency, random)
}

// selectFunc is Select or SelectBalanced.
type selectFunc func(choice.Pool, time.Duration, func(int) int, choice.Weights) (int, choice.Candidate)

// selectWith is selectFrom with the given selection function.
func selectWith(selectBackend selectFunc, candidates []choice.Candidate, targetLatency time.Duration, random *rand.Rand) int {
	var places []int
	near := 0
	for place, candidate := range candidates {
		if candidate.SameZone {
			places = slices.Insert(places, near, place)
			near++
		} else {
			places = append(places, place)
		}
	}
	pool := choice.Pool{Local: near, Remote: len(candidates) - near, Describe: func(index int) choice.Candidate {
		return candidates[places[index]]
	}}
	index, _ := selectBackend(pool, targetLatency, random.IntN, choice.DefaultWeights())
	if index < 0 {
		return index
	}
	return places[index]
}

// TestSelectSamplesAgain checks that the only usable back end among many is found at any position,
// and that a good one among slow ones is found nearly always.
func TestSelectSamplesAgain(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	good := choice.Candidate{SameZone: true, Slots: 8, ServiceTime: 80 * ms, HoldTime: 80 * ms}
	pool := func(count, place int, other func(*choice.Candidate)) []choice.Candidate {
		candidates := make([]choice.Candidate, count)
		for i := range candidates {
			candidates[i] = good
			if i != place {
				other(&candidates[i])
			}
		}
		return candidates
	}
	for name, unusable := range map[string]func(*choice.Candidate){
		"avoided": func(c *choice.Candidate) { c.RecentlyFailed = true },
		"leaving": func(c *choice.Candidate) { c.Draining = true },
		"silent":  func(c *choice.Candidate) { c.Unresponsive = true },
		"tried":   func(c *choice.Candidate) { c.Tried = true },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for place := range 40 {
				g.Expect(selectFrom(pool(40, place, unusable), 300*ms, random)).To(Equal(place))
			}
		})
	}
	t.Run("two of five are slow", func(t *testing.T) {
		g := NewWithT(t)
		candidates := pool(20, -1, func(*choice.Candidate) {})
		for i := range candidates {
			if i%5 < 2 {
				candidates[i].ServiceTime *= 12
			}
		}
		slow := 0
		for range 1000 {
			if selectFrom(candidates, 300*ms, random)%5 < 2 {
				slow++
			}
		}
		g.Expect(slow).To(BeNumerically("<=", 10))
	})
}

// TestSelectBalanced checks that, while requests compete for capacity, the back end with the fewest
// requests per slot and the shortest service time is selected, and that another zone is used once
// the gain exceeds the penalty.
func TestSelectBalanced(t *testing.T) {
	near := choice.Candidate{SameZone: true, Slots: 8, Outstanding: 4, ServiceTime: 80 * ms, HoldTime: 80 * ms}
	far := choice.Candidate{Slots: 8, Outstanding: 4, ServiceTime: 80 * ms, HoldTime: 80 * ms, RoundTrip: 2 * ms}
	with := func(from choice.Candidate, change func(*choice.Candidate)) choice.Candidate {
		change(&from)
		return from
	}
	busy := func(from choice.Candidate, count float64) choice.Candidate {
		return with(from, func(c *choice.Candidate) { c.Outstanding = count })
	}
	slow := func(from choice.Candidate, times time.Duration) choice.Candidate {
		return with(from, func(c *choice.Candidate) { c.ServiceTime *= times })
	}
	cases := []struct {
		name          string
		candidates    []choice.Candidate
		targetLatency time.Duration
		want          int
	}{
		{"none", nil, 300 * ms, -1},
		{"the zone", []choice.Candidate{far, near}, 300 * ms, 1},
		{"the zone, although it has more requests", []choice.Candidate{far, busy(near, 7)}, 300 * ms, 1},
		{"another zone when this one's queues are long", []choice.Candidate{far, busy(near, 24)}, 300 * ms, 0},
		{"the zone when queues are as long elsewhere", []choice.Candidate{busy(far, 24), busy(near, 24)}, 300 * ms, 1},
		{"fewer requests", []choice.Candidate{near, busy(near, 2)}, 300 * ms, 1},
		{"fewer requests, though both are far beyond the target", []choice.Candidate{busy(near, 200), busy(near, 150)}, 300 * ms, 1},
		{"the faster one", []choice.Candidate{slow(near, 2), near}, 300 * ms, 1},
		{"the one with more slots for as many requests", []choice.Candidate{
			with(near, func(c *choice.Candidate) { c.Slots = 4 }), near,
		}, 300 * ms, 1},
		{"another zone when an idle one alone would be late", []choice.Candidate{busy(slow(near, 12), 0), far}, 300 * ms, 1},
		{"the region, although another one has more room", []choice.Candidate{
			with(busy(far, 0), func(c *choice.Candidate) { c.OtherRegion = true }), far,
		}, 300 * ms, 1},
		{"another region when this one has no room", []choice.Candidate{
			with(far, func(c *choice.Candidate) { c.OtherRegion = true }), busy(far, 40),
		}, 300 * ms, 0},
		{"not the one at which many fail", []choice.Candidate{
			with(near, func(c *choice.Candidate) { c.FailureRate = 0.4 }), busy(near, 9),
		}, 300 * ms, 1},
		{"not the one that failed", []choice.Candidate{far, with(near, func(c *choice.Candidate) { c.RecentlyFailed = true })}, 300 * ms, 0},
		{"one that failed before a draining one", []choice.Candidate{
			with(near, func(c *choice.Candidate) { c.Draining = true }), with(far, func(c *choice.Candidate) { c.RecentlyFailed = true }),
		}, 300 * ms, 1},
		{"an unresponsive one before one that was tried", []choice.Candidate{
			with(near, func(c *choice.Candidate) { c.Tried = true }), with(far, func(c *choice.Candidate) { c.Unresponsive = true }),
		}, 300 * ms, 1},
		{"a route without a target", []choice.Candidate{busy(near, 7), near}, 0, 1},
		{"a back end that reports no slots", []choice.Candidate{with(near, func(c *choice.Candidate) { c.Slots = 0 }), near}, 300 * ms, 1},
	}
	random := rand.New(rand.NewPCG(3, 4))
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			for range 20 {
				g.Expect(selectWith(choice.SelectBalanced, tc.candidates, tc.targetLatency, random)).To(Equal(tc.want))
			}
		})
	}
	t.Run("the only usable one of many", func(t *testing.T) {
		g := NewWithT(t)
		for place := range 40 {
			candidates := slices.Repeat([]choice.Candidate{with(near, func(c *choice.Candidate) { c.Draining = true })}, 40)
			candidates[place] = near
			g.Expect(selectWith(choice.SelectBalanced, candidates, 300*ms, random)).To(Equal(place))
		}
	})
}

func TestEligibleForRetry(t *testing.T) {
	g := NewWithT(t)
	for _, left := range []choice.Candidate{{Tried: true}, {Draining: true}, {Unresponsive: true}} {
		g.Expect(left.EligibleForRetry()).To(BeFalse())
	}
	g.Expect(choice.Candidate{RecentlyFailed: true}.EligibleForRetry()).To(BeTrue())
}

// TestEqualCandidates checks that equal back ends get equal shares of the requests.
func TestEqualCandidates(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	equal := choice.Candidate{SameZone: true, Slots: 4}
	same := []choice.Candidate{equal, equal, equal, equal, equal}
	taken := make([]int, len(same))
	const selections = 5000
	for range selections {
		taken[selectFrom(same, time.Second, random)]++
	}
	for _, count := range taken {
		g.Expect(count).To(BeNumerically("~", selections/len(same), 100))
	}
}

func TestMaximumWait(t *testing.T) {
	cases := []struct {
		name    string
		request choice.Request
		wait    time.Duration
	}{
		{"no target latency", choice.Request{Remaining: time.Second, CallerRemaining: time.Second}, 500 * ms},
		{"time to spare", choice.Request{LatencyTarget: 600 * ms, Remaining: 4 * time.Second, CallerRemaining: 4 * time.Second, ExpectedServiceTime: 200 * ms}, 300 * ms},
		{"part of it gone", choice.Request{LatencyTarget: 600 * ms, Remaining: 4 * time.Second, CallerRemaining: 4 * time.Second, ExpectedServiceTime: 200 * ms, Elapsed: 100 * ms}, 200 * ms},
		{"time to retry, but not within the route's timeout", choice.Request{LatencyTarget: 400 * ms, Remaining: 1190 * ms, CallerRemaining: 2500 * ms, ExpectedServiceTime: 100 * ms}, 250 * ms},
		{"hardly in time", choice.Request{LatencyTarget: 400 * ms, Remaining: 4 * time.Second, CallerRemaining: 4 * time.Second, ExpectedServiceTime: 390 * ms}, 100 * ms},
		{"a retry", choice.Request{LatencyTarget: 600 * ms, Remaining: 4 * time.Second, CallerRemaining: 4 * time.Second, ExpectedServiceTime: 200 * ms, Returning: true}, 300 * ms},
		{"no time to retry", choice.Request{LatencyTarget: 100 * ms, Remaining: 250 * ms, CallerRemaining: 250 * ms, ExpectedServiceTime: 20 * ms}, 125 * ms},
		{"no time to retry, slow back end", choice.Request{LatencyTarget: 200 * ms, Remaining: 590 * ms, CallerRemaining: 590 * ms, ExpectedServiceTime: 400 * ms}, 190 * ms},
		{"no time to retry, too slow a back end", choice.Request{LatencyTarget: 200 * ms, Remaining: 590 * ms, CallerRemaining: 590 * ms, ExpectedServiceTime: 580 * ms}, 50 * ms},
		{"a retry, no time for another", choice.Request{LatencyTarget: 200 * ms, Remaining: 400 * ms, CallerRemaining: 400 * ms, ExpectedServiceTime: 100 * ms, Returning: true}, 200 * ms},
		{"hardly any time at all", choice.Request{LatencyTarget: 100 * ms, Remaining: 40 * ms, CallerRemaining: 40 * ms, ExpectedServiceTime: 20 * ms}, 20 * ms},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(choice.MaximumWait(tc.request)).To(Equal(tc.wait))
		})
	}
}

func TestPace(t *testing.T) {
	g := NewWithT(t)
	pace, now := &choice.Pace{}, time.Unix(100, 0)
	g.Expect(pace.Factor(now)).To(Equal(1.0))
	pace.Observe(time.Hour, 0)
	g.Expect(pace.Factor(now)).To(Equal(1.0), "no expected service time")
	for range 200 {
		pace.Observe(50*ms, 100*ms)
	}
	g.Expect(pace.Factor(now)).To(BeNumerically("~", 0.5, 0.01))
	pace.Observe(time.Hour, 100*ms)
	g.Expect(pace.Factor(now)).To(BeNumerically("<", 1.0), "a single request has little weight")
	g.Expect(choice.DecayedPace(5, 0, 0)).To(Equal(5.0))
	g.Expect(choice.DecayedPace(5, 3*time.Second, time.Second)).To(BeNumerically("~", 3, 0.001))
	g.Expect(choice.DecayedPace(5, time.Hour, time.Second)).To(BeNumerically("~", 1, 0.001))
	g.Expect(choice.DecayedPace(0, 0, 0)).To(Equal(1.0))
	g.Expect(choice.DecayedPace(1e12, 0, 0)).To(Equal(24.0), "reports are bounded")
	g.Expect(choice.DecayedPace(5, 8*time.Second, 8*time.Second)).To(BeNumerically("~", 3, 0.001), "rarely refreshed")
}

// TestPaceOfRunningRequests checks that a slowdown is visible before the first slow request
// completes, and that a single hanging request does not make the back end slow.
func TestPaceOfRunningRequests(t *testing.T) {
	g := NewWithT(t)
	pace, now := &choice.Pace{}, time.Unix(100, 0)
	for range 200 {
		pace.Observe(100*ms, 100*ms)
	}
	var runs []*choice.Run
	for range 8 {
		runs = append(runs, pace.Begin(100*ms, now))
	}
	g.Expect(pace.Factor(now.Add(100*ms))).To(BeNumerically("~", 1, 0.01), "as expected")
	g.Expect(pace.Factor(now.Add(300 * ms))).To(BeNumerically(">", 1.5))
	g.Expect(pace.Factor(now.Add(600 * ms))).To(BeNumerically(">", 2.4))
	g.Expect(pace.Factor(now.Add(time.Hour))).To(BeNumerically("<", 5), "bounded")
	for _, run := range runs[1:] {
		pace.End(run)
	}
	g.Expect(pace.Factor(now.Add(500*ms))).To(BeNumerically("<", 1.2), "a single hanging request")
	pace.End(runs[0])
	g.Expect(pace.Factor(now.Add(500 * ms))).To(BeNumerically("~", 1, 0.01))
}

// TestReportedPace checks that a reported factor takes effect at once and is not learned as well.
// An old report counts as the mean of the reports, a very old one not at all.
func TestReportedPace(t *testing.T) {
	g := NewWithT(t)
	pace, now := &choice.Pace{}, time.Unix(100, 0)
	answer := func(worked time.Duration, reported float64) {
		now = now.Add(40 * ms)
		pace.SetReported(reported, now)
		pace.ObserveReported(worked, 100*ms, reported, now)
	}
	for range 400 {
		answer(80*ms, 0.8)
	}
	g.Expect(pace.Factor(now)).To(BeNumerically("~", 0.8, 0.01))
	answer(200*ms, 2)
	g.Expect(pace.Factor(now)).To(BeNumerically("~", 2, 0.02), "current report")
	g.Expect(pace.Factor(now.Add(300*ms))).To(BeNumerically("~", 1.4, 0.02), "half way to the mean")
	g.Expect(pace.Factor(now.Add(5*time.Second))).To(BeNumerically("~", 0.8, 0.02), "the mean")
	reported, age := pace.Reported(now.Add(time.Second))
	g.Expect(reported).To(Equal(2.0))
	g.Expect(age).To(Equal(time.Second))
	g.Expect(pace.Factor(now.Add(time.Minute))).To(BeNumerically("~", 1, 0.02), "too old")
	reported, _ = pace.Reported(now.Add(time.Minute))
	g.Expect(reported).To(BeZero())
}

// TestWrongReportedPace checks that observed service times correct a factor that is always reported
// wrongly.
func TestWrongReportedPace(t *testing.T) {
	g := NewWithT(t)
	pace, now := &choice.Pace{}, time.Unix(100, 0)
	for range 400 {
		pace.SetReported(0.5, now)
		pace.ObserveReported(150*ms, 100*ms, 0.5, now)
	}
	g.Expect(pace.Factor(now)).To(BeNumerically("~", 1.5, 0.02))
	pace.SetReported(1e9, now)
	g.Expect(pace.Factor(now)).To(BeNumerically("<=", 24), "reports are bounded")
	pace.SetReported(0, now)
	g.Expect(pace.Factor(now)).To(BeNumerically("~", 3, 0.02), "the report was cleared")
}

// TestReportedPaceStops covers a back end whose reports end with one from a short load peak while
// its service time stays normal. The learned factor must not treat the old report as current.
func TestReportedPaceStops(t *testing.T) {
	g := NewWithT(t)
	pace, now := &choice.Pace{}, time.Unix(100, 0)
	for range 200 {
		now = now.Add(40 * ms)
		pace.SetReported(1, now)
		pace.ObserveReported(100*ms, 100*ms, 1, now)
	}
	pace.SetReported(4, now)
	for range 2000 {
		now = now.Add(40 * ms)
		pace.ObserveReported(100*ms, 100*ms, 0, now)
		if now.Sub(time.Unix(100, 0)) > 12*time.Second {
			g.Expect(pace.Factor(now)).To(BeNumerically("~", 1, 0.1))
		}
	}
	pace.SetReported(3, now)
	g.Expect(pace.Factor(now.Add(5*time.Second))).To(BeNumerically("~", 3, 0.1), "reports older than half a minute do not count in the mean")
	pace.SetReported(1e-9, now)
	for range 100 {
		pace.ObserveReported(time.Nanosecond, 100*ms, 1e-9, now)
	}
	g.Expect(pace.Factor(now)).To(BeNumerically(">=", 0.1), "bounded below")
}

// TestBalancedCostKeepsTheRank checks that an ordinary back end, however loaded and slow, costs
// less than one that is only a last resort.
func TestBalancedCostKeepsTheRank(t *testing.T) {
	weights := choice.DefaultWeights()
	idle := choice.Candidate{SameZone: true, Slots: 6, ServiceTime: 100 * ms}
	for name, last := range map[string]func(*choice.Candidate){
		"avoided": func(c *choice.Candidate) { c.RecentlyFailed = true },
		"leaving": func(c *choice.Candidate) { c.Draining = true },
		"silent":  func(c *choice.Candidate) { c.Unresponsive = true },
		"tried":   func(c *choice.Candidate) { c.Tried = true },
	} {
		resort := idle
		last(&resort)
		for _, ordinary := range []choice.Candidate{
			{Slots: 1, Outstanding: 40, ServiceTime: 100 * ms},
			{Slots: 6, Outstanding: 240, ServiceTime: 2400 * ms},
			{Slots: 6, ServiceTime: 100 * ms, RoundTrip: 16 * time.Second},
			{Slots: 1, Outstanding: 1e9, ServiceTime: time.Hour, RoundTrip: time.Hour, OtherRegion: true, FailureRate: 1},
		} {
			g := NewWithT(t)
			g.Expect(choice.BalancedCost(ordinary, 300*ms, weights)).To(BeNumerically("<", choice.BalancedCost(resort, 300*ms, weights)), name)
		}
	}
	longer := choice.Candidate{Slots: 6, Outstanding: 49, ServiceTime: 2400 * ms}
	shorter := choice.Candidate{Slots: 6, Outstanding: 48, ServiceTime: 2400 * ms}
	NewWithT(t).Expect(choice.BalancedCost(shorter, 300*ms, weights)).To(BeNumerically("<", choice.BalancedCost(longer, 300*ms, weights)))
}

func TestServiceTime(t *testing.T) {
	g := NewWithT(t)
	work := &choice.ServiceTime{}
	g.Expect(work.Mean(70 * ms)).To(Equal(70 * ms))
	work.Observe(20 * ms)
	work.Observe(40 * ms)
	g.Expect(work.Mean(70 * ms)).To(Equal(30 * ms))
}

func TestFailures(t *testing.T) {
	g := NewWithT(t)
	failures := &choice.Failures{}
	g.Expect(failures.Rate()).To(BeZero())
	for i := range 200 {
		failures.Observe(i%2 == 0)
	}
	g.Expect(failures.Rate()).To(BeNumerically("~", 0.5, 0.05))
	for range 200 {
		failures.Observe(false)
	}
	g.Expect(failures.Rate()).To(BeNumerically("<", 0.01))
	g.Expect(choice.DecayedFailureRate(1e12, 0, 0)).To(Equal(1.0), "reports are bounded")
	g.Expect(choice.DecayedFailureRate(0.4, 3*time.Second, 0)).To(BeNumerically("~", 0.2, 0.001))
}

// TestShortWaits checks that the first sends wait only a part of the permitted time, but never the
// last remaining one.
func TestShortWaits(t *testing.T) {
	cases := []struct {
		name              string
		sends, candidates int
		short             bool
	}{
		{"the first of many", 0, 22, true},
		{"the second", 1, 22, true},
		{"the third", 2, 22, false},
		{"the first of three", 0, 3, true},
		{"the second of three", 1, 3, false},
		{"the first of two", 0, 2, false},
		{"the only one", 0, 1, false},
		{"no known candidates", 0, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			request := choice.Request{
				LatencyTarget: 600 * ms, Remaining: 4000 * ms, CallerRemaining: 4000 * ms, ExpectedServiceTime: 200 * ms,
			}
			whole := choice.MaximumWait(request)
			request.Sends, request.Candidates = tc.sends, tc.candidates
			wait := choice.MaximumWait(request)
			if tc.short {
				g.Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<", whole/2)))
			} else {
				g.Expect(wait).To(Equal(whole))
			}
		})
	}
}
