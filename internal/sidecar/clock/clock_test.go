package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// machine is a source whose machine is suspended as told.
type machine struct {
	*source
	suspended time.Duration
}

func newMachine() *machine {
	made := &machine{}
	made.source = newSource(func() (time.Duration, error) { return made.suspended, nil })
	return made
}

// sleep suspends the machine; somebody looks afterwards.
func (m *machine) sleep(slept time.Duration) {
	m.suspended += slept
	m.look(time.Now())
}

func TestASuspensionCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		made := newMachine()
		began := made.now()
		time.Sleep(time.Second)
		g.Expect(made.now().Sub(began)).To(Equal(time.Second))
		made.sleep(5 * time.Second)
		g.Expect(made.now().Sub(began)).To(Equal(6 * time.Second))
		made.sleep(tolerance / 2)
		g.Expect(made.now().Sub(began)).To(Equal(6*time.Second), "clocks that are read one after the other")
		made.sleep(2 * time.Second)
		g.Expect(made.now().Sub(began)).To(Equal(8*time.Second + tolerance/2))
	})
}

// TestDeadlinesAreKept: what should have ended while the machine slept ends when it wakes,
// the rest in time.
func TestDeadlinesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		made := newMachine()
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

		made.sleep(4 * time.Second)
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

// TestWhatIsReadAfterASuspension may have come at its beginning.
func TestWhatIsReadAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		made := newMachine()
		g.Expect(made.received()).To(Equal(made.now()))
		made.sleep(3 * time.Second)
		g.Expect(made.now().Sub(made.received())).To(Equal(3 * time.Second))
		time.Sleep(uncertainFor)
		g.Expect(made.received()).To(Equal(made.now()))
	})
}

func TestStamps(t *testing.T) {
	g := NewWithT(t)
	now := Now()
	g.Expect(At(Stamp(now)).Sub(now)).To(BeZero())
}

// TestTimesOfDay: a moment that others are told does not move by suspensions before.
func TestTimesOfDay(t *testing.T) {
	g := NewWithT(t)
	suspended := time.Duration(0)
	defer SetSuspensionSource(func() (time.Duration, error) { return suspended, nil })()
	suspended = time.Hour
	DetectSuspension()
	moment := Now().Add(time.Minute)
	g.Expect(time.Until(WallTime(moment))).To(BeNumerically("~", time.Minute, 10*time.Second))
	g.Expect(FromWallTime(WallTime(moment))).To(BeTemporally("~", moment, time.Second))
}

// TestListenersHearOfASuspension once each.
func TestListenersHearOfASuspension(t *testing.T) {
	g := NewWithT(t)
	heard := make(chan time.Duration, 4)
	defer OnWake(func(slept time.Duration) { heard <- slept })()
	suspended := time.Duration(0)
	defer SetSuspensionSource(func() (time.Duration, error) { return suspended, nil })()
	suspended = 3 * time.Second
	DetectSuspension()
	g.Eventually(heard).Should(Receive(BeNumerically("~", 3*time.Second, time.Second)))
	DetectSuspension()
	g.Consistently(heard, "50ms").ShouldNot(Receive())
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

// TestAPauseBetweenTwoReadsIsNoSuspension: a process that is preempted while it compares the kernel's clocks.
func TestAPauseBetweenTwoReadsIsNoSuspension(t *testing.T) {
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
