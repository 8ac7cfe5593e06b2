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

func named(perSecond float64) ratelimit.Advertised {
	return ratelimit.Advertised{HasLimit: true, PerSecond: perSecond}
}

// limited returns a limit that was named at start.
func limited(perSecond float64) *ratelimit.Limit {
	limit := &ratelimit.Limit{}
	limit.Update(named(perSecond), start, start)
	return limit
}

// mostIn returns the most moments within any window.
func mostIn(moments []time.Time, window time.Duration) (most int) {
	first := 0
	for last := range moments {
		for moments[last].Sub(moments[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestNoWindowGetsMoreThanAllowed: for every rate, with arrivals of any pattern and pauses before bursts.
func TestNoWindowGetsMoreThanAllowed(t *testing.T) {
	for _, rate := range rates {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			limit, now := limited(rate), start
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
			NewWithT(t).Expect(float64(mostIn(passed, ratelimit.Window))).To(BeNumerically("<=", allowed), "rate %v, seed %d", rate, seed)
		}
	}
}

// TestFewerThanTheLimitPass: up to the limit in any second, evenly or at once, nothing waits.
func TestFewerThanTheLimitPass(t *testing.T) {
	for _, rate := range []float64{1, 2, 12.8, 1000} {
		for _, together := range []int{1, int(rate)} {
			limit, now := limited(rate), start.Add(time.Second)
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

// TestALimitCountsWhatPassedBeforeItWasNamed, within the time of a burst.
func TestALimitCountsWhatPassedBeforeItWasNamed(t *testing.T) {
	g := NewWithT(t)
	limit := &ratelimit.Limit{}
	for range 7 {
		limit.Consume(1, start)
	}
	now := start.Add(500 * time.Millisecond)
	limit.Update(named(10), now, now)
	for range 3 {
		g.Expect(limit.Ready(now)).To(BeTrue())
		limit.Consume(1, now)
	}
	g.Expect(limit.Ready(now)).To(BeFalse())
	g.Expect(limit.Recent(now)).To(Equal(10))
}

// TestWhichAnswerHolds: the later written one; where that is not known, the stricter one.
func TestWhichAnswerHolds(t *testing.T) {
	type answer struct {
		advertised     ratelimit.Advertised
		sent, answered int // in milliseconds
	}
	cases := []struct {
		name    string
		answers []answer
		holds   ratelimit.Advertised
	}{
		{"named", []answer{{named(10), 0, 5}}, named(10)},
		{"ended", []answer{{named(10), 0, 5}, {ratelimit.Advertised{}, 6, 9}}, ratelimit.Advertised{}},
		{"an answer that was begun before", []answer{{named(10), 0, 5}, {ratelimit.Advertised{}, 4, 9}}, named(10)},
		{"ended by one begun after all that named it", []answer{{named(10), 0, 5}, {named(10), 1, 12}, {ratelimit.Advertised{}, 6, 13}}, named(10)},
		{"raised", []answer{{named(10), 0, 5}, {named(20), 5, 9}}, named(20)},
		{"raised by an answer that crossed", []answer{{named(10), 0, 5}, {named(20), 1, 9}}, named(10)},
		{"lowered by an answer that crossed", []answer{{named(10), 0, 5}, {named(2), 1, 9}}, named(2)},
		{"lowered to nothing", []answer{{named(10), 0, 5}, {named(0), 6, 9}}, named(0)},
		{"ended and named anew", []answer{{named(10), 0, 5}, {ratelimit.Advertised{}, 6, 9}, {named(3), 8, 10}}, named(3)},
	}
	for _, held := range cases {
		t.Run(held.name, func(t *testing.T) {
			limit := &ratelimit.Limit{}
			for _, given := range held.answers {
				at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
				limit.Update(given.advertised, at(given.sent), at(given.answered))
			}
			advertised, _ := limit.Advertised()
			NewWithT(t).Expect(advertised).To(Equal(held.holds))
		})
	}
}

// TestALimitThatEndsLetsAllPass, and so does another incarnation.
func TestALimitThatEndsLetsAllPass(t *testing.T) {
	for name, end := range map[string]func(*ratelimit.Limit){
		"by its word":         func(limit *ratelimit.Limit) { limit.Update(ratelimit.Advertised{}, start, start) },
		"another incarnation": (*ratelimit.Limit).Reset,
	} {
		limit := limited(0)
		limit.Consume(1, start)
		limit.Consume(1, start)
		NewWithT(t).Expect(limit.Ready(start)).To(BeFalse(), name)
		end(limit)
		NewWithT(t).Expect(limit.Ready(start)).To(BeTrue(), name)
	}
}

// TestAWindowAcrossAChange holds what the higher of the two rates allows.
func TestAWindowAcrossAChange(t *testing.T) {
	for _, rates := range [][2]float64{{100, 1}, {1, 100}, {0, 12.8}, {12.8, 0}} {
		limit, now := limited(rates[0]), start
		var passed []time.Time
		for i := range 8000 {
			now = now.Add(time.Millisecond)
			if i == 4000 {
				limit.Update(named(rates[1]), now, now)
			}
			if limit.Ready(now) {
				limit.Consume(1, now)
				passed = append(passed, now)
			}
		}
		most := 1.5*max(rates[0], rates[1])*ratelimit.Window.Seconds() + 5
		NewWithT(t).Expect(float64(mostIn(passed, ratelimit.Window))).To(BeNumerically("<=", most), "%v", rates)
	}
}

// TestWhatWasNotSentDoesNotCount.
func TestWhatWasNotSentDoesNotCount(t *testing.T) {
	limit, now := limited(1), start.Add(time.Second)
	limit.Consume(1, now)
	limit.Refund(now)
	NewWithT(t).Expect(limit.Ready(now)).To(BeTrue())
}

// TestPeersAreToldTimesOfTheirOwn, one interval apart, a peer always the same until it has passed.
func TestPeersAreToldTimesOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	limit, now := limited(10), start
	told := map[time.Duration]bool{}
	for peer := range 20 {
		wait := limit.RetryAfter(fmt.Sprint("peer-", peer), 1, 0, now)
		g.Expect(told[wait.Round(time.Millisecond)]).To(BeFalse())
		told[wait.Round(time.Millisecond)] = true
		g.Expect(limit.RetryAfter(fmt.Sprint("peer-", peer), 1, 0, now)).To(Equal(wait))
	}
	g.Expect(limit.RetryAfter("another", 1, 0, now)).To(BeNumerically("~", 2*time.Second, time.Millisecond))
	g.Expect(limit.RetryAfter("urgent", 0, 0, now)).To(BeZero(), "does not wait for the less urgent")
}

// TestALimitOfANodeThatHasJustStartedBeginsWithoutRoom.
func TestALimitOfANodeThatHasJustStartedBeginsWithoutRoom(t *testing.T) {
	limit := &ratelimit.Limit{}
	limit.Restarted()
	limit.Consume(1, start)
	limit.Update(named(10), start, start)
	NewWithT(t).Expect(limit.Wait(0, start)).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
}

// TestTheLessUrgentAreNotStarved: while the urgent ask for more than the limit, others get about a fifth of it.
func TestTheLessUrgentAreNotStarved(t *testing.T) {
	g := NewWithT(t)
	const perSecond, seconds = 10.0, 60
	limit, now := limited(perSecond), start
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
	g.Expect(passed[1]).To(BeNumerically("~", passed[2], 5), "each of them as much")
	g.Expect(passed[1] + passed[2]).To(BeNumerically("~", 0.2*perSecond*seconds, 0.05*perSecond*seconds))
	g.Expect(passed[0]).To(BeNumerically(">=", 0.75*perSecond*seconds))
}

// TestWhatTheUrgentTakeIsNotExpected by others, which are told the longer wait.
func TestWhatTheUrgentTakeIsNotExpected(t *testing.T) {
	g := NewWithT(t)
	limit, now := limited(10), start
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
