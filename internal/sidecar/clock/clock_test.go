package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// testClock is a clock whose suspensions the test controls.
type testClock struct {
	*suspendClock
	suspended time.Duration
}

func newTestClock() *testClock {
	made := &testClock{}
	made.suspendClock = newSuspendClock(func() (time.Duration, error) { return made.suspended, nil })
	return made
}

// suspend simulates a suspension and its detection.
func (m *testClock) suspend(slept time.Duration) {
	m.suspended += slept
	m.detect(time.Now())
}

func TestNowCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		made := newTestClock()
		began := made.now()
		time.Sleep(time.Second)
		g.Expect(made.now().Sub(began)).To(Equal(time.Second))
		made.suspend(5 * time.Second)
		g.Expect(made.now().Sub(began)).To(Equal(6 * time.Second))
		made.suspend(tolerance / 2)
		g.Expect(made.now().Sub(began)).To(Equal(6*time.Second), "a difference within the tolerance is not a suspension")
		made.suspend(2 * time.Second)
		g.Expect(made.now().Sub(began)).To(Equal(8*time.Second + tolerance/2))
	})
}

// TestDeadlinesCountSuspensions checks that a deadline that passes during a suspension takes
// effect on waking, and that later deadlines are not delayed by the suspension.
func TestDeadlinesCountSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		made := newTestClock()
		within := func(left time.Duration) (context.Context, context.CancelFunc) {
			return made.withDeadline(t.Context(), made.now().Add(left))
		}
		short, endShort := within(2 * time.Second)
		defer endShort()
		long, endLong := within(10 * time.Second)
		defer endLong()
		over, endOver := within(time.Minute)
		endOver()
		g.Expect(over.Err()).To(HaveOccurred())
		g.Expect(made.deadlines).To(HaveLen(2))

		made.suspend(4 * time.Second)
		g.Expect(short.Err()).To(HaveOccurred())
		g.Expect(long.Err()).NotTo(HaveOccurred())
		time.Sleep(6*time.Second - time.Millisecond)
		synctest.Wait()
		g.Expect(long.Err()).NotTo(HaveOccurred())
		time.Sleep(time.Millisecond)
		synctest.Wait()
		g.Expect(long.Err()).To(HaveOccurred())
	})
}

// TestReceiveTimeAfterSuspension checks that a message read just after a suspension counts as
// received at the beginning of it.
func TestReceiveTimeAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		made := newTestClock()
		g.Expect(made.receiveTime()).To(Equal(made.now()))
		made.suspend(3 * time.Second)
		g.Expect(made.now().Sub(made.receiveTime())).To(Equal(3 * time.Second))
		time.Sleep(wakeUncertainty)
		g.Expect(made.receiveTime()).To(Equal(made.now()))
	})
}

func TestStampRoundTrip(t *testing.T) {
	g := NewWithT(t)
	now := Now()
	g.Expect(At(Stamp(now)).Sub(now)).To(BeZero())
}

// TestWallTimeIgnoresSuspensions checks that earlier suspensions do not shift the conversion to and
// from wall time.
func TestWallTimeIgnoresSuspensions(t *testing.T) {
	g := NewWithT(t)
	suspended := time.Duration(0)
	defer SetSuspensionSource(func() (time.Duration, error) { return suspended, nil })()
	suspended = time.Hour
	DetectSuspension()
	moment := Now().Add(time.Minute)
	g.Expect(time.Until(WallTime(moment))).To(BeNumerically("~", time.Minute, 10*time.Second))
	g.Expect(FromWallTime(WallTime(moment))).To(BeTemporally("~", moment, time.Second))
}

// TestOnWakeIsCalledOnce checks that a listener is called once for each suspension.
func TestOnWakeIsCalledOnce(t *testing.T) {
	g := NewWithT(t)
	suspensions := make(chan time.Duration, 4)
	defer OnWake(func(slept time.Duration) { suspensions <- slept })()
	suspended := time.Duration(0)
	defer SetSuspensionSource(func() (time.Duration, error) { return suspended, nil })()
	suspended = 3 * time.Second
	DetectSuspension()
	g.Eventually(suspensions).Should(Receive(BeNumerically("~", 3*time.Second, time.Second)))
	DetectSuspension()
	g.Consistently(suspensions, "50ms").ShouldNot(Receive())
}

func BenchmarkNow(b *testing.B) {
	b.Run("this clock", func(b *testing.B) {
		for b.Loop() {
			Now()
		}
	})
	b.Run("runtime", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
}

// TestPreemptionIsNoSuspension checks that a process that is preempted between two reads of the
// kernel's clocks does not take the pause for a suspension.
func TestPreemptionIsNoSuspension(t *testing.T) {
	const slept, pause = 3 * time.Second, time.Second
	for paused := range 3 {
		for _, always := range []bool{false, true} {
			g := NewWithT(t)
			passed, reads := time.Duration(0), 0
			ahead, err := compareClocks(func(id int32) (time.Duration, error) {
				passed += time.Microsecond
				if reads == paused || always {
					passed += pause
				}
				reads++
				if id == unix.CLOCK_BOOTTIME {
					return passed + slept, nil
				}
				return passed, nil
			})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(ahead).To(BeNumerically("<=", slept))
			if !always {
				g.Expect(ahead).To(BeNumerically("~", slept, tolerance/10))
			}
		}
	}
}
