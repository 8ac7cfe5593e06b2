package admission_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"gonum.org/v1/gonum/stat"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/admission"
)

// The load of TestRecoveryFromOverload: three seconds at 1.8 times the capacity of the back end, followed
// by a demand of nine tenths of it.
const (
	overloadSlots         = 12
	overloadWork          = 100 * time.Millisecond
	overloadTargetLatency = 400 * time.Millisecond
	overloadDuration      = 3 * time.Second
	overloadSeconds       = 20
	// overloadAttempts is the total number of attempts of a caller, overloadRetryDelay the delay after a
	// refusal.
	overloadAttempts   = 3
	overloadRetryDelay = 150 * time.Millisecond
)

// overloadPolicy waits for a slot for as long as the policy allows and returns a function that frees it;
// nil if the request is refused.
type overloadPolicy func(returning bool) (release func())

// fifoPolicy is the former policy: in order of arrival, each request waiting up to half of the time
// within which its response is useful.
func fifoPolicy() overloadPolicy {
	const maximumWait = 600 * time.Millisecond
	slots := make(chan struct{}, overloadSlots)
	return func(bool) func() {
		select {
		case slots <- struct{}{}: // waiters are admitted in order of arrival
			return func() { <-slots }
		case <-time.After(maximumWait):
			return nil
		}
	}
}

func lifoPolicy() overloadPolicy {
	gate := admission.New(time.Now)
	gate.Resize(overloadSlots)
	return func(returning bool) func() {
		slot, err := gate.Acquire(context.Background(), admission.RequestInfo{
			Returning: returning, Work: overloadWork, MaximumWait: overloadTargetLatency - overloadWork*3/2,
		})
		if err != nil {
			return nil
		}
		return func() { slot.Release(true) }
	}
}

// inTimeBySecond simulates the load and returns, for each second, the share of the callers that were
// served within the target latency. The latency counts from the first attempt or, after refusals within a
// quarter of the target latency, from the attempt that was served.
func inTimeBySecond(acquire overloadPolicy, seed uint64) []float64 {
	var (
		mu      sync.Mutex
		came    = make([]float64, overloadSeconds)
		inTime  = make([]float64, overloadSeconds)
		callers sync.WaitGroup
	)
	random := rand.New(rand.NewPCG(seed, 0))
	capacity := float64(overloadSlots) / overloadWork.Seconds()
	began := time.Now()
	for time.Since(began) < overloadSeconds*time.Second {
		second := int(time.Since(began) / time.Second)
		work := overloadWork/2 + time.Duration(random.Int64N(int64(overloadWork)))
		came[second]++
		callers.Go(func() {
			counted := time.Now()
			for try := range overloadAttempts {
				tried := time.Now()
				release := acquire(try > 0)
				if release != nil {
					time.Sleep(work)
					release()
					break
				}
				if time.Since(tried) <= overloadTargetLatency/4 {
					counted = time.Now().Add(overloadRetryDelay)
				}
				time.Sleep(overloadRetryDelay)
				if try == overloadAttempts-1 {
					return
				}
			}
			if time.Since(counted) <= overloadTargetLatency {
				mu.Lock()
				inTime[second]++
				mu.Unlock()
			}
		})
		rate := capacity * 0.9
		if time.Since(began) < overloadDuration {
			rate = capacity * 1.8
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	callers.Wait()
	for second := range came {
		inTime[second] /= max(came[second], 1)
	}
	return inTime
}

// secondsToRecover returns the number of seconds after the overload until nine tenths of the callers of
// one second are served in time again, and of all callers from then on: arrivals are random, so a single
// later second may fall short.
func secondsToRecover(shares []float64) int {
	last := int(overloadDuration / time.Second)
	for second := last; second < len(shares); second++ {
		if shares[second] >= 0.9 && stat.Mean(shares[second:], nil) >= 0.9 {
			return second - last
		}
	}
	return len(shares) - last
}

// TestRecoveryFromOverload checks that the backlog of an overload is gone within two seconds of its end.
// Under the former policy it persists: everyone is served, but too late.
func TestRecoveryFromOverload(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			before := inTimeBySecond(fifoPolicy(), seed)
			g.Expect(secondsToRecover(before)).To(BeNumerically(">", 5), "the former policy does not recover: %.2f", before)
			after := inTimeBySecond(lifoPolicy(), seed)
			g.Expect(secondsToRecover(after)).To(BeNumerically("<=", 2), "%.2f", after)
		})
	}
}
