package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/ratelimit"
)

var (
	start = time.Unix(1000, 0)
	rates = []float64{0, 0.1, 0.3, 1, 2, 12.8, 1000}
)

func advertise(perSecond float64) ratelimit.Advertised {
	return ratelimit.Advertised{HasLimit: true, PerSecond: perSecond}
}

// newLimit returns a limit that was advertised at start.
func newLimit(perSecond float64) *ratelimit.Limit {
	limit := &ratelimit.Limit{}
	limit.Update(advertise(perSecond), start, start)
	return limit
}

// maxInWindow returns the largest number of moments within any window.
func maxInWindow(moments []time.Time, window time.Duration) (most int) {
	first := 0
	for last := range moments {
		for moments[last].Sub(moments[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestRateInAnyWindow checks the bound of requests per window for each rate, with random arrivals, bursts
// and pauses before them.
func TestRateInAnyWindow(t *testing.T) {
	for _, rate := range rates {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			limit, now := newLimit(rate), start
			var passed []time.Time
			for range 4000 {
				gap := random.ExpFloat64() / max(rate, 1) / 3
				if random.IntN(500) == 0 {
					gap += random.Float64() * 6 // a pause
				}
				now = now.Add(time.Duration(gap * float64(time.Second)))
				class := ratelimit.Class(random.IntN(4))
				if limit.Ready(now) || limit.TakeMinimumShare(class, now) {
					limit.Consume(class, now)
					passed = append(passed, now)
				}
			}
			allowed := 1.5*rate*ratelimit.Window.Seconds() + 5
			NewWithT(t).Expect(float64(maxInWindow(passed, ratelimit.Window))).To(BeNumerically("<=", allowed), "rate %v, seed %d", rate, seed)
		}
	}
}

// TestNoWaitBelowLimit checks that nothing waits while no second holds more requests than the limit,
// whether they arrive evenly or at once.
func TestNoWaitBelowLimit(t *testing.T) {
	for _, rate := range []float64{1, 2, 12.8, 1000} {
		for _, together := range []int{1, int(rate)} {
			limit, now := newLimit(rate), start.Add(time.Second)
			for range 50 {
				for range together {
					NewWithT(t).Expect(limit.Wait(0, now)).To(BeZero(), "rate %v, %d together", rate, together)
					limit.Consume(1, now)
				}
				now = now.Add(time.Duration(float64(together)/rate*float64(time.Second)).Round(time.Microsecond) + time.Microsecond)
			}
		}
	}
}

// TestNewLimitCountsEarlierRequests checks that requests within burstTime before a limit was first
// advertised count toward it.
func TestNewLimitCountsEarlierRequests(t *testing.T) {
	g := NewWithT(t)
	limit := &ratelimit.Limit{}
	for range 7 {
		limit.Consume(1, start)
	}
	now := start.Add(500 * time.Millisecond)
	limit.Update(advertise(10), now, now)
	for range 3 {
		g.Expect(limit.Ready(now)).To(BeTrue())
		limit.Consume(1, now)
	}
	g.Expect(limit.Ready(now)).To(BeFalse())
	g.Expect(limit.Recent(now)).To(Equal(10))
}

// TestUpdatePrecedence checks which of several responses applies: the one written later; where the order
// is not known, the stricter one.
func TestUpdatePrecedence(t *testing.T) {
	type answer struct {
		advertised     ratelimit.Advertised
		sent, answered int // in milliseconds
	}
	cases := []struct {
		name    string
		answers []answer
		want    ratelimit.Advertised
	}{
		{"named", []answer{{advertise(10), 0, 5}}, advertise(10)},
		{"ended", []answer{{advertise(10), 0, 5}, {ratelimit.Advertised{}, 6, 9}}, ratelimit.Advertised{}},
		{"end in a response to an older request", []answer{{advertise(10), 0, 5}, {ratelimit.Advertised{}, 4, 9}}, advertise(10)},
		{"end in a response to a request sent before the last confirmation", []answer{{advertise(10), 0, 5}, {advertise(10), 1, 12}, {ratelimit.Advertised{}, 6, 13}}, advertise(10)},
		{"raised", []answer{{advertise(10), 0, 5}, {advertise(20), 5, 9}}, advertise(20)},
		{"raised in a concurrent response", []answer{{advertise(10), 0, 5}, {advertise(20), 1, 9}}, advertise(10)},
		{"lowered in a concurrent response", []answer{{advertise(10), 0, 5}, {advertise(2), 1, 9}}, advertise(2)},
		{"lowered to zero", []answer{{advertise(10), 0, 5}, {advertise(0), 6, 9}}, advertise(0)},
		{"ended and advertised again", []answer{{advertise(10), 0, 5}, {ratelimit.Advertised{}, 6, 9}, {advertise(3), 8, 10}}, advertise(3)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			limit := &ratelimit.Limit{}
			for _, given := range test.answers {
				at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
				limit.Update(given.advertised, at(given.sent), at(given.answered))
			}
			advertised, _ := limit.Advertised()
			NewWithT(t).Expect(advertised).To(Equal(test.want))
		})
	}
}

// TestEndedLimitAllowsEverything checks that everything passes once the back end ends its limit or
// another incarnation of it is running.
func TestEndedLimitAllowsEverything(t *testing.T) {
	for name, end := range map[string]func(*ratelimit.Limit){
		"ended by the back end": func(limit *ratelimit.Limit) { limit.Update(ratelimit.Advertised{}, start, start) },
		"another incarnation":   (*ratelimit.Limit).Reset,
	} {
		limit := newLimit(0)
		limit.Consume(1, start)
		limit.Consume(1, start)
		NewWithT(t).Expect(limit.Ready(start)).To(BeFalse(), name)
		end(limit)
		NewWithT(t).Expect(limit.Ready(start)).To(BeTrue(), name)
	}
}

// TestWindowAcrossRateChange checks that a window across a change of the rate holds no more than the
// higher of the two rates allows.
func TestWindowAcrossRateChange(t *testing.T) {
	for _, rates := range [][2]float64{{100, 1}, {1, 100}, {0, 12.8}, {12.8, 0}} {
		limit, now := newLimit(rates[0]), start
		var passed []time.Time
		for i := range 8000 {
			now = now.Add(time.Millisecond)
			if i == 4000 {
				limit.Update(advertise(rates[1]), now, now)
			}
			if limit.Ready(now) {
				limit.Consume(1, now)
				passed = append(passed, now)
			}
		}
		most := 1.5*max(rates[0], rates[1])*ratelimit.Window.Seconds() + 5
		NewWithT(t).Expect(float64(maxInWindow(passed, ratelimit.Window))).To(BeNumerically("<=", most), "%v", rates)
	}
}

// TestRefund checks that a request that was not sent does not count.
func TestRefund(t *testing.T) {
	limit, now := newLimit(1), start.Add(time.Second)
	limit.Consume(1, now)
	limit.Refund(now)
	NewWithT(t).Expect(limit.Ready(now)).To(BeTrue())
}

// TestRetryAfterIsSpreadOverPeers checks that peers get retry times one interval apart, and each peer the
// same one until it has passed.
func TestRetryAfterIsSpreadOverPeers(t *testing.T) {
	g := NewWithT(t)
	limit, now := newLimit(10), start
	assigned := map[time.Duration]bool{}
	for peer := range 20 {
		wait := limit.RetryAfter(fmt.Sprint("peer-", peer), 1, 0, now)
		g.Expect(assigned[wait.Round(time.Millisecond)]).To(BeFalse())
		assigned[wait.Round(time.Millisecond)] = true
		g.Expect(limit.RetryAfter(fmt.Sprint("peer-", peer), 1, 0, now)).To(Equal(wait))
	}
	g.Expect(limit.RetryAfter("another", 1, 0, now)).To(BeNumerically("~", 2*time.Second, time.Millisecond))
	g.Expect(limit.RetryAfter("urgent", 0, 0, now)).To(BeZero(), "does not wait for the less urgent")
}

// TestLimitAfterRestartStartsEmpty checks that the bucket of a restarted node starts empty.
func TestLimitAfterRestartStartsEmpty(t *testing.T) {
	limit := &ratelimit.Limit{}
	limit.Restarted()
	limit.Consume(1, start)
	limit.Update(advertise(10), start, start)
	NewWithT(t).Expect(limit.Wait(0, start)).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
}

// TestMinimumShareOfLessUrgentClasses checks that while urgent requests exceed the limit, other classes
// together get about a fifth of it.
func TestMinimumShareOfLessUrgentClasses(t *testing.T) {
	g := NewWithT(t)
	const perSecond, seconds = 10.0, 60
	limit, now := newLimit(perSecond), start
	var passed [3]int
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		for class := range passed {
			if class == 0 && limit.Ready(now) || class > 0 && limit.TakeMinimumShare(ratelimit.Class(class), now) {
				limit.Consume(ratelimit.Class(class), now)
				passed[class]++
			}
		}
	}
	g.Expect(passed[1]).To(BeNumerically("~", passed[2], 5), "equal parts")
	g.Expect(passed[1] + passed[2]).To(BeNumerically("~", 0.2*perSecond*seconds, 0.05*perSecond*seconds))
	g.Expect(passed[0]).To(BeNumerically(">=", 0.75*perSecond*seconds))
}

// TestWaitAccountsForMoreUrgentClasses checks that the wait reported to less urgent requests is
// longer by the rate that more urgent ones use.
func TestWaitAccountsForMoreUrgentClasses(t *testing.T) {
	g := NewWithT(t)
	limit, now := newLimit(10), start
	for range 100 { // half of the limit
		now = now.Add(200 * time.Millisecond)
		limit.Consume(0, now)
	}
	for limit.Ready(now) {
		limit.Consume(1, now)
	}
	g.Expect(limit.WaitForClass(0, 0, now)).To(Equal(limit.Wait(0, now)))
	g.Expect(limit.WaitForClass(1, 0, now)).To(BeNumerically("~", 2*limit.Wait(0, now), 20*time.Millisecond))
	g.Expect(limit.RetryAfter("peer", 1, 0, now)).To(Equal(limit.WaitForClass(1, 0, now)))
}
