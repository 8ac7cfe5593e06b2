package lending_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
)

// TestSlidingSumDropsOldAmounts: at any distance, the sum excludes amounts older than the window
// and covers at least 15 of its 16 buckets.
func TestSlidingSumDropsOldAmounts(t *testing.T) {
	g := NewWithT(t)
	const window = 10 * time.Second
	start := time.Unix(1000, 0)
	for after := time.Duration(0); after < 3*window; after += 37 * time.Millisecond {
		sum := lending.SlidingSum{}
		sum.Add(1, window, start)
		sum.Add(2, window, start.Add(400*time.Millisecond))
		switch total := sum.Total(window, start.Add(400*time.Millisecond+after)); {
		case after < window-400*time.Millisecond-window/16:
			g.Expect(total).To(Equal(3.0), "%v", after)
		case after >= window:
			g.Expect(total).To(BeZero(), "%v", after)
		}
	}
}

// TestSlidingSumResetsForLongerWindow: when the window becomes much longer, the sum starts over
// rather than include amounts that are too old.
func TestSlidingSumResetsForLongerWindow(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	sum := lending.SlidingSum{}
	sum.Add(1, time.Second, start)
	sum.Add(1, time.Second, start.Add(time.Minute))
	g.Expect(sum.Total(10*time.Second, start.Add(time.Minute))).To(BeNumerically("<=", 1))
}
