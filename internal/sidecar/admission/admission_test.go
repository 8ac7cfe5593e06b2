package admission_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/admission"
)

func info(priority int, wait time.Duration) admission.RequestInfo {
	return admission.RequestInfo{Priority: priority, MaximumWait: wait}
}

// TestQueueOrder checks that waiting requests are served by urgency, first-time requests before retried
// ones, then the shorter by order of magnitude, then the newest.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := admission.New(time.Now)
		gate.Resize(1)
		first, err := gate.Acquire(t.Context(), info(0, time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		served := make(chan string, 11)
		waiters := []struct {
			name string
			info admission.RequestInfo
		}{
			{"least urgent", info(2, time.Minute)},
			{"long", admission.RequestInfo{Priority: 1, Work: 120 * time.Millisecond, MaximumWait: time.Minute}},
			{"as long, newer", admission.RequestInfo{Priority: 1, Work: 70 * time.Millisecond, MaximumWait: time.Minute}},
			{"nested", admission.RequestInfo{Priority: 2, Nested: true, Work: 120 * time.Millisecond, MaximumWait: time.Minute}},
			{"over its share", admission.RequestInfo{Priority: 1, OverShare: true, MaximumWait: time.Minute}},
			{"a retry", admission.RequestInfo{Priority: 1, Returning: true, MaximumWait: time.Minute}},
			{"a later retry", admission.RequestInfo{Priority: 1, Returning: true, MaximumWait: time.Minute}},
			{"a long retry", admission.RequestInfo{Priority: 1, Returning: true, Work: 120 * time.Millisecond, MaximumWait: time.Minute}},
			{"older", info(1, time.Minute)},
			{"newer", info(1, time.Minute)},
			{"most urgent", info(0, time.Minute)},
		}
		for _, waiter := range waiters {
			go func() {
				slot, err := gate.Acquire(t.Context(), waiter.info)
				g.Expect(err).NotTo(HaveOccurred())
				served <- waiter.name
				slot.Release(true)
			}()
			synctest.Wait()
		}
		first.Release(true)
		for _, want := range []string{"nested", "most urgent", "newer", "older", "as long, newer", "long", "a later retry", "a retry", "a long retry", "over its share", "least urgent"} {
			g.Expect(<-served).To(Equal(want))
		}
	})
}

// TestRefusals checks that a request is refused when it would wait too long, when a more urgent one
// displaces it and when it has waited too long.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := admission.New(time.Now)
		gate.Resize(1)
		held, err := gate.Acquire(t.Context(), info(0, time.Second))
		g.Expect(err).NotTo(HaveOccurred())

		_, err = gate.Acquire(t.Context(), info(1, 10*time.Millisecond))
		g.Expect(err).To(MatchError(admission.ErrWaitTooLong))

		refused := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := gate.Acquire(t.Context(), info(1, 110*time.Millisecond))
				refused <- err
			}()
			synctest.Wait()
		}
		go func() {
			slot, err := gate.Acquire(t.Context(), info(0, time.Minute))
			g.Expect(err).NotTo(HaveOccurred())
			slot.Release(true)
		}()
		g.Expect(<-refused).To(MatchError(admission.ErrDisplaced))

		started := time.Now()
		g.Expect(<-refused).To(MatchError(admission.ErrWaitTooLong))
		g.Expect(time.Since(started)).To(BeNumerically("<=", 150*time.Millisecond))
		g.Expect(gate.Load().Waiting).To(Equal(1))

		held.Release(true)
		synctest.Wait()
	})
}

// TestCanceledAcquireReleasesQueueEntryAndSlot checks that a caller that gives up keeps neither its place
// in the queue nor a slot that was granted at the same moment.
func TestCanceledAcquireReleasesQueueEntryAndSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := admission.New(time.Now)
		gate.Resize(1)
		held, err := gate.Acquire(t.Context(), info(0, time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		leaving, leave := context.WithCancel(t.Context())
		left := make(chan error, 1)
		go func() {
			_, err := gate.Acquire(leaving, info(0, time.Minute))
			left <- err
		}()
		synctest.Wait()
		leave()
		g.Expect(<-left).To(MatchError(context.Canceled))
		held.Release(true)
		g.Expect(gate.Load().Running).To(BeZero())
		g.Expect(gate.Load().Waiting).To(BeZero())
	})
}

func TestServiceTimeEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := admission.New(time.Now)
		gate.Resize(2)
		for range 100 {
			slot, err := gate.Acquire(t.Context(), info(0, time.Second))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(200 * time.Millisecond)
			slot.Release(true)
		}
		g.Expect(gate.Load().MeanHoldTime).To(BeNumerically("~", 200*time.Millisecond, 5*time.Millisecond))
		slot, err := gate.Acquire(t.Context(), info(0, time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		before := gate.Load().MeanHoldTime
		time.Sleep(time.Hour)
		slot.Release(false)
		g.Expect(gate.Load().MeanHoldTime).To(Equal(before))
	})
}

// TestExpectedWaitUsesWorkOfQueuedRequests checks that the expected wait behind long requests is long,
// even if the mean service time is short because of earlier short requests.
func TestExpectedWaitUsesWorkOfQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := admission.New(time.Now)
		gate.Resize(2)
		for range 100 {
			slot, err := gate.Acquire(t.Context(), admission.RequestInfo{Work: 10 * time.Millisecond, MaximumWait: time.Second})
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(10 * time.Millisecond)
			slot.Release(true)
		}
		long := admission.RequestInfo{Work: 200 * time.Millisecond, MaximumWait: 450 * time.Millisecond}
		waited := make(chan time.Duration, 20)
		refused := 0
		var refusedAtOnce atomic.Int64
		for range 20 {
			started := time.Now()
			go func() {
				slot, err := gate.Acquire(t.Context(), long)
				if err != nil {
					if time.Since(started) == 0 {
						refusedAtOnce.Add(1)
					}
					waited <- -1
					return
				}
				waited <- time.Since(started)
				time.Sleep(200 * time.Millisecond)
				slot.Release(true)
			}()
			synctest.Wait()
		}
		longest := time.Duration(0)
		for range 20 {
			wait := <-waited
			if wait < 0 {
				refused++
			}
			longest = max(longest, wait)
		}
		time.Sleep(time.Second) // let the last requests end
		g.Expect(longest).To(BeNumerically("<=", 500*time.Millisecond))
		g.Expect(refused).To(BeNumerically("~", 14, 1))
		g.Expect(refusedAtOnce.Load()).To(BeNumerically(">=", 12), "refused without waiting")
	})
}

// TestExpectedWaitIsCorrectedByMeasuredWaits has a back end work three times as long as the requests
// declare, and checks that few requests wait longer than they may once the correction has adapted.
func TestExpectedWaitIsCorrectedByMeasuredWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := admission.New(time.Now)
		gate.Resize(1)
		late := 0
		ended := make(chan struct{}, 1000)
		for number := range 400 {
			go func() {
				defer func() { ended <- struct{}{} }()
				started := time.Now()
				slot, err := gate.Acquire(t.Context(), admission.RequestInfo{Work: 20 * time.Millisecond, MaximumWait: 200 * time.Millisecond})
				if err != nil {
					return
				}
				if number >= 200 && time.Since(started) > 240*time.Millisecond {
					late++
				}
				time.Sleep(60 * time.Millisecond)
				slot.Release(true)
			}()
			time.Sleep(20 * time.Millisecond)
		}
		for range 400 {
			<-ended
		}
		g.Expect(late).To(BeNumerically("<", 10))
	})
}

// TestSustainedOverload has callers arrive at one and a half times the capacity and retry once after a
// refusal. Most requests that are served, including retried ones, must be served in time, and the slots
// must be used.
func TestSustainedOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			work  = 100 * time.Millisecond
			slots = 4
			aim   = 400 * time.Millisecond
			calls = 1200
		)
		g := NewWithT(t)
		gate := admission.New(time.Now)
		gate.Resize(slots)
		var inTime, late atomic.Int64
		attempt := func(returning bool) bool {
			began := time.Now()
			slot, err := gate.Acquire(t.Context(), admission.RequestInfo{
				Returning: returning, Work: work, MaximumWait: aim - work*3/2,
			})
			if err != nil {
				return false
			}
			time.Sleep(work)
			slot.Release(true)
			if time.Since(began) <= aim {
				inTime.Add(1)
			} else {
				late.Add(1)
			}
			return true
		}
		ended := make(chan struct{}, calls)
		for i := range calls {
			go func() {
				defer func() { ended <- struct{}{} }()
				// Some of the callers arrive for the first time; they alone would not keep the back end
				// busy.
				if i%5 >= 2 || !attempt(false) {
					time.Sleep(work / 2)
					attempt(true)
				}
			}()
			time.Sleep(work / slots * 2 / 3)
		}
		for range calls {
			<-ended
		}
		served := inTime.Load() + late.Load()
		g.Expect(served).To(BeNumerically(">", calls*6/10), "the slots are used")
		g.Expect(inTime.Load()).To(BeNumerically(">", served*9/10))
	})
}
