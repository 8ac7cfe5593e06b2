package admission_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/admission"
)

// TestReserveKeepsSlotsForShortUrgentRequests has long, less urgent requests arrive faster than they can
// be served. Short urgent requests must mostly start in time nevertheless, and all slots must serve the
// others once the urgent ones stop arriving.
func TestReserveKeepsSlotsForShortUrgentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots  = 6
			long   = 300 * time.Millisecond
			short  = 30 * time.Millisecond
			slack  = 40 * time.Millisecond
			period = 20 * time.Second
		)
		g := NewWithT(t)
		gate := admission.New(time.Now)
		gate.Resize(slots)
		var late, urgent, running, most atomic.Int64
		began := time.Now()
		learned := func() bool { return time.Since(began) > period/4 }
		serve := func(info admission.RequestInfo, work time.Duration) {
			slot, err := gate.Acquire(t.Context(), info)
			if info.Priority == 1 && learned() {
				urgent.Add(1)
				if err != nil {
					late.Add(1)
				}
			}
			if err != nil {
				return
			}
			most.Store(max(most.Load(), running.Add(1)))
			time.Sleep(work)
			running.Add(-1)
			slot.Release(true)
		}
		for i := 0; time.Since(began) < 2*period; i++ {
			go serve(admission.RequestInfo{Priority: 2, Work: long, MaximumWait: long}, long)
			if time.Since(began) < period {
				// Urgent requests arrive in pairs at irregular intervals.
				time.Sleep(time.Duration(i%7) * time.Millisecond)
				for range i % 3 {
					go serve(admission.RequestInfo{Priority: 1, Work: short, MaximumWait: slack}, short)
				}
			} else if time.Since(began) < period+period/2 {
				most.Store(0)
			}
			time.Sleep(25 * time.Millisecond)
		}
		synctest.Wait()
		g.Expect(urgent.Load()).To(BeNumerically(">", 300))
		g.Expect(late.Load()).To(BeNumerically("<", urgent.Load()*12/100))
		g.Expect(most.Load()).To(BeEquivalentTo(slots), "the reserve is released")
		time.Sleep(time.Second) // let the last requests end
	})
}

// TestNoReserveWithOnePriority checks that all slots are used.
func TestNoReserveWithOnePriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := admission.New(time.Now)
		gate.Resize(3)
		for range 50 {
			go func() {
				slot, err := gate.Acquire(t.Context(), info(3, time.Second))
				if err == nil {
					time.Sleep(50 * time.Millisecond)
					slot.Release(true)
				}
			}()
		}
		time.Sleep(25 * time.Millisecond)
		g.Expect(gate.Load().Running).To(Equal(3))
		time.Sleep(5 * time.Second)
	})
}
