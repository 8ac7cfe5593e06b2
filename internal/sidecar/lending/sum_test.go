package lending_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
)

// TestSumCoversNoMoreThanItsTime at any distance, and at least 15 of its 16 parts.
func TestSumCoversNoMoreThanItsTime(t *testing.T) {
	g := NewWithT(t)
	const covers = 10 * time.Second
	began := time.Unix(1000, 0)
	for after := time.Duration(0); after < 3*covers; after += 37 * time.Millisecond {
		sum := lending.SlidingSum{}
		sum.Add(1, covers, began)
		sum.Add(2, covers, began.Add(400*time.Millisecond))
		switch left := sum.Total(covers, began.Add(400*time.Millisecond+after)); {
		case after < covers-400*time.Millisecond-covers/16:
			g.Expect(left).To(Equal(3.0), "%v", after)
		case after >= covers:
			g.Expect(left).To(BeZero(), "%v", after)
		}
	}
}

// TestSumOverALongerTime begins anew rather than count what is too old.
func TestSumOverALongerTime(t *testing.T) {
	g := NewWithT(t)
	began := time.Unix(1000, 0)
	sum := lending.SlidingSum{}
	sum.Add(1, time.Second, began)
	sum.Add(1, time.Second, began.Add(time.Minute))
	g.Expect(sum.Total(10*time.Second, began.Add(time.Minute))).To(BeNumerically("<=", 1))
}
