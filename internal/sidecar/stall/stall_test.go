package stall_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/stall"
)

func TestTrackerStalled(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name      string
		ticks     []int
		from, now int
		want      time.Duration
	}{
		{"no tick yet", nil, 0, 500, 0},
		{"ticks on time", []int{0, 20, 41, 60}, 0, 70, 0},
		{"delay below the threshold", []int{0, 39}, 0, 39, 0},
		{"one stall", []int{0, 20, 540, 560}, 10, 570, 500 * time.Millisecond},
		{"measured at the end of the stall, before the next tick", []int{0, 20}, 10, 540, 500 * time.Millisecond},
		{"started during the stall", []int{0, 20, 540}, 340, 550, 200 * time.Millisecond},
		{"started after the stall", []int{0, 20, 540}, 541, 560, 0},
		{"several", []int{0, 120, 140, 260}, 0, 270, 200 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var tracker stall.Tracker
			for _, tick := range test.ticks {
				tracker.Tick(at(tick))
			}
			NewWithT(t).Expect(tracker.Stalled(at(test.from), at(test.now))).To(Equal(test.want))
		})
	}
}

// TestTimeWithoutMonitoringIsNoStall checks that the time during which the monitor does not tick does not
// count as a stall.
func TestTimeWithoutMonitoringIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		monitor := &stall.Monitor{}
		began := clock.Now()
		monitor.Extend()
		time.Sleep(time.Minute)
		g.Expect(monitor.Stalled(began)).To(BeZero())
		monitor.Extend()
		time.Sleep(time.Second)
		g.Expect(monitor.Stalled(began)).To(BeZero())
		time.Sleep(time.Minute)
	})
}
