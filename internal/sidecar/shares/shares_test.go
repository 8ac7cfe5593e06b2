package shares_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/shares"
)

func TestMaxMin(t *testing.T) {
	g := NewWithT(t)
	g.Expect(shares.MaxMin([]float64{1, 4, 9}, 9)).To(Equal(4.0))
	g.Expect(shares.MaxMin([]float64{1, 4, 9}, 3)).To(Equal(1.0))
	g.Expect(shares.MaxMin([]float64{1, 4, 9}, 14)).To(Equal(math.Inf(1)))
	g.Expect(shares.MaxMin(nil, 1)).To(Equal(math.Inf(1)))
}

// TestHeaders checks that header values are parsed as they were formatted, and that invalid
// ones are ignored.
func TestHeaders(t *testing.T) {
	g := NewWithT(t)
	g.Expect(shares.FormatFraction(shares.FullFraction)).To(BeEmpty())
	g.Expect(shares.ParseFraction(shares.FormatFraction(0.25))).To(Equal(0.25))
	g.Expect(shares.ParseFraction("0")).To(BeNumerically(">", 0), "some requests always report the demand")
	for _, text := range []string{"", "-1", "1001", "70000", "x"} {
		g.Expect(shares.ParseFraction(text)).To(Equal(shares.FullFraction), text)
	}
	allocation := shares.Allocation{Share: 3 * time.Second, Demand: 4500 * time.Millisecond}
	g.Expect(shares.ParseAllocation(allocation.Format())).To(Equal(allocation))
	g.Expect(shares.ParseAllocation(shares.Allocation{}.Format())).To(Equal(shares.Allocation{}))
	for _, text := range []string{"", "1", "-1 2", "1 2 3", "1 99999999999999999999"} {
		g.Expect(shares.ParseAllocation(text)).To(Equal(shares.Allocation{}), text)
	}
}

// overload records two tenants for a second, of which the larger demands nine times as much as
// the smaller, with capacity for half of the total.
func overload(meter *shares.Meter, start time.Time) (now time.Time) {
	now = start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		meter.RecordArrival(1, "small", time.Millisecond, shares.FullFraction, now)
		meter.RecordArrival(1, "large", 9*time.Millisecond, shares.FullFraction, now)
		meter.RecordServed(1, 5*time.Millisecond, now)
	}
	return now.Add(250 * time.Millisecond)
}

// TestAllocation checks that the large tenant may use what the small one leaves. The allocation
// is zero while capacity is sufficient, in another class, and after a while without requests.
func TestAllocation(t *testing.T) {
	g := NewWithT(t)
	var meter shares.Meter
	now := time.Unix(1, 0)
	g.Expect(meter.Allocation(1, "large", now)).To(Equal(shares.Allocation{}))
	now = overload(&meter, now)
	large, small := meter.Allocation(1, "large", now), meter.Allocation(1, "small", now)
	g.Expect(large.Demand.Seconds() / large.Share.Seconds()).To(BeNumerically("~", 9.0/4, 0.01))
	g.Expect(small.Demand).To(BeNumerically("<", small.Share))
	g.Expect(meter.Allocation(0, "large", now)).To(Equal(shares.Allocation{}))
	g.Expect(meter.Allocation(1, "large", now.Add(3*time.Second))).To(Equal(shares.Allocation{}))
}

// TestDemandIncludesMarkedRequests checks that unmarked requests are scaled up to include the
// marked ones.
func TestDemandIncludesMarkedRequests(t *testing.T) {
	g := NewWithT(t)
	var all, sampled shares.Meter
	now := time.Unix(1, 0)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		all.RecordArrival(0, "t", 8*time.Millisecond, shares.FullFraction, now)
		sampled.RecordArrival(0, "t", 2*time.Millisecond, 0.25, now)
	}
	now = now.Add(250 * time.Millisecond)
	g.Expect(sampled.Allocation(0, "t", now)).To(Equal(all.Allocation(0, "t", now)))
}

// TestTrackerExpiry checks that a tenant is within its share again after a while without
// replies.
func TestTrackerExpiry(t *testing.T) {
	g := NewWithT(t)
	var tracker shares.Tracker
	flow := shares.Flow{Service: "one", Tenant: "large"}
	now := time.Unix(1, 0)
	tracker.Observe(flow, shares.Allocation{}, now)
	g.Expect(tracker.Fraction(flow, now)).To(Equal(shares.FullFraction))
	tracker.Observe(flow, shares.Allocation{Share: time.Second, Demand: 8 * time.Second}, now)
	g.Expect(tracker.Fraction(flow, now)).To(Equal(0.25), "up to twice the share is left unmarked")
	g.Expect(tracker.Fraction(shares.Flow{Service: "two", Tenant: "large"}, now)).To(Equal(shares.FullFraction))
	g.Expect(tracker.Fraction(flow, now.Add(2*time.Second))).To(Equal(shares.FullFraction))
	for range 100 {
		tracker.Observe(flow, shares.Allocation{}, now)
	}
	g.Expect(tracker.Fraction(flow, now)).To(Equal(shares.FullFraction), "capacity is sufficient again")
}

// BenchmarkMeter measures one request with 2,000 tenants.
func BenchmarkMeter(b *testing.B) {
	var meter shares.Meter
	now := time.Unix(1, 0)
	names := make([]string, 2000)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond / 2)
		name := names[i*7%len(names)]
		meter.RecordArrival(0, name, 10*time.Millisecond, shares.FullFraction, now)
		meter.RecordServed(0, 5*time.Millisecond, now)
		meter.Allocation(0, name, now)
	}
}
