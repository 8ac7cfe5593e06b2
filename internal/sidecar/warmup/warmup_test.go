package warmup_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/warmup"
)

const (
	perSecond  = 12
	warmupTime = 3 * time.Second
)

var start = time.Unix(1_000, 0)

// at returns the time that many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func configured() *warmup.Limit {
	limit := &warmup.Limit{}
	limit.Configure(perSecond, warmupTime)
	return limit
}

// countAdmitted counts how many requests, a millisecond apart, are admitted from a time on.
func countAdmitted(limit *warmup.Limit, from, requests int) (admitted int) {
	for i := range requests {
		if !limit.Admit(at(from + i)).Refused {
			admitted++
		}
	}
	return admitted
}

// TestAdmitByWarmupState checks, for each way in which a back end can become cold or warm, whether
// requests are limited.
func TestAdmitByWarmupState(t *testing.T) {
	const many = 100
	cases := []struct {
		name    string
		prepare func(*warmup.Limit)
		from    int // time of the first request, in milliseconds
		want    int
	}{
		{"initial state", func(*warmup.Limit) {}, 0, perSecond},
		{"probe reports warm", func(l *warmup.Limit) { l.SetProbeResult(0, at(-1), at(0)) }, 0, many},
		{"heartbeat reports warm-up", func(l *warmup.Limit) { l.SetProbeResult(0, at(-1), at(0)); l.ExtendWarmup(2*time.Second, at(0)) }, 10, perSecond},
		{"heartbeat with a shorter warm-up", func(l *warmup.Limit) {
			l.SetProbeResult(0, at(-1), at(0))
			l.ExtendWarmup(2*time.Second, at(0))
			l.ExtendWarmup(time.Millisecond, at(1))
		}, 10, perSecond},
		{"probe reports warm-up", func(l *warmup.Limit) { l.SetProbeResult(2*time.Second, at(-1), at(0)) }, 10, perSecond},
		{"warm-up has ended", func(l *warmup.Limit) { l.SetProbeResult(time.Second, at(-1), at(0)); l.RecordResponse(at(1000)) }, 1001, many},
		{"restart suspected", func(l *warmup.Limit) { l.SetProbeResult(0, at(-1), at(0)); l.SuspectCold(at(5)) }, 10, perSecond},
		{"probe sent after the suspicion", func(l *warmup.Limit) { l.SuspectCold(at(0)); l.SetProbeResult(0, at(1), at(5)) }, 10, many},
		{"probe sent before the suspicion", func(l *warmup.Limit) { l.SuspectCold(at(3)); l.SetProbeResult(0, at(1), at(5)) }, 10, perSecond},
		{"no responses for a while", func(l *warmup.Limit) { l.SetProbeResult(0, at(-1), at(0)) }, 600, perSecond},
		{"suspected warm-up has ended", func(l *warmup.Limit) { l.SuspectCold(at(0)); l.RecordResponse(at(3000)) }, 3001, many},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			limit := configured()
			test.prepare(limit)
			NewWithT(t).Expect(countAdmitted(limit, test.from, many)).To(Equal(test.want))
		})
	}
}

// TestUnlimitedBackEnd checks that a back end without a limit is neither limited nor probed.
func TestUnlimitedBackEnd(t *testing.T) {
	g := NewWithT(t)
	limit := &warmup.Limit{}
	limit.Configure(0, warmupTime)
	limit.ExtendWarmup(time.Minute, at(0))
	limit.SuspectCold(at(0))
	for i := range 1000 {
		g.Expect(limit.Admit(at(i))).To(Equal(warmup.Decision{}))
	}
}

// TestProbeRateIsBounded checks that a back end with little load is not probed, a busy one at most ten
// times per second, and one that reports itself warm not again.
func TestProbeRateIsBounded(t *testing.T) {
	g := NewWithT(t)
	countProbes := func(limit *warmup.Limit, gap, requests int) (count int) {
		for i := range requests {
			if limit.Admit(at(i * gap)).Probe {
				count++
			}
		}
		return count
	}
	g.Expect(countProbes(configured(), 700, 50)).To(Equal(0))
	g.Expect(countProbes(configured(), 1, 1000)).To(BeNumerically("<=", 10))
	warm := configured()
	g.Expect(countProbes(warm, 1, 10)).To(Equal(1))
	warm.SetProbeResult(0, at(9), at(10))
	g.Expect(countProbes(warm, 1, 400)).To(Equal(0))
}

// TestRateInAnyWindow checks that, for random arrivals, no second holds more requests than a cold back
// end can serve, and that refusals return a usable RetryAfter.
func TestRateInAnyWindow(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := NewWithT(t)
		limit := configured()
		limit.ExtendWarmup(time.Hour, at(0))
		var passed []time.Time
		now := at(0)
		for range 3000 {
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
			decision := limit.Admit(now)
			if decision.Refused {
				g.Expect(decision.RetryAfter).To(BeNumerically(">", 0))
				g.Expect(decision.RetryAfter).To(BeNumerically("<=", time.Second))
				continue
			}
			passed = append(passed, now)
		}
		g.Expect(len(passed)).To(BeNumerically(">", 3000*20/1000*perSecond/2), "the limit is used")
		for i := perSecond; i < len(passed); i++ {
			g.Expect(passed[i].Sub(passed[i-perSecond])).To(BeNumerically(">=", time.Second))
		}
	}
}

// TestLimitBeforeConfiguration checks that a cold back end gets the lowest limit that can be configured
// until the configuration arrives, and that requests admitted before count toward the configured limit.
func TestLimitBeforeConfiguration(t *testing.T) {
	g := NewWithT(t)
	limit := &warmup.Limit{}
	g.Expect(countAdmitted(limit, 0, 100)).To(Equal(1))
	limit.Configure(perSecond, warmupTime)
	g.Expect(countAdmitted(limit, 100, 100)).To(Equal(perSecond - 1))
}

// TestChangedLimitCountsEarlierRequests checks that requests admitted before a change of the limit count
// toward the new one.
func TestChangedLimitCountsEarlierRequests(t *testing.T) {
	g := NewWithT(t)
	limit := configured()
	g.Expect(countAdmitted(limit, 0, 100)).To(Equal(perSecond))
	limit.Configure(perSecond+3, warmupTime)
	g.Expect(countAdmitted(limit, 100, 100)).To(Equal(3))
	limit.Configure(perSecond/2, warmupTime)
	g.Expect(countAdmitted(limit, 200, 100)).To(BeZero())
}
