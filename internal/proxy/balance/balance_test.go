package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/proxy/balance"
)

func newSet(count, slots int) *balance.Set {
	endpoints := make([]*balance.Endpoint, count)
	for index := range endpoints {
		id := endpoint.ID{Service: "s", Name: fmt.Sprint(index)}
		endpoints[index] = balance.NewEndpoint(id, "z", "", nil)
	}
	return balance.NewSet(endpoints, slots, balance.DefaultEjectionPolicy())
}

// acquireAll acquires a slot per request and returns the number acquired at each endpoint. With
// release, each slot is released at once; otherwise all are kept.
func acquireAll(set *balance.Set, now time.Duration, requests int, release bool) []int {
	random := rand.New(rand.NewPCG(1, 1))
	counts := make([]int, set.Len())
	for range requests {
		chosen, err := set.Acquire(now, random.Uint64(), nil)
		if err != nil {
			continue
		}
		for index, candidate := range set.Endpoints() {
			if candidate == chosen {
				counts[index]++
			}
		}
		if release {
			chosen.Release()
		}
	}
	return counts
}

var _ = Describe("Set", func() {
	It("returns ErrNoEndpoint when empty", func() {
		_, err := newSet(0, 1).Acquire(0, 0, nil)
		Expect(err).To(MatchError(balance.ErrNoEndpoint))
	})

	It("acquires every slot of every endpoint and no more", func() {
		set := newSet(5, 20)
		Expect(acquireAll(set, 0, 200, false)).To(HaveEach(20))
		_, err := set.Acquire(0, 7, nil)
		Expect(err).To(MatchError(balance.ErrSaturated))
		set.Endpoints()[3].Release()
		Expect(set.Acquire(0, 7, nil)).To(Equal(set.Endpoints()[3]))
	})

	It("balances the load evenly while slots are free", func() {
		Expect(acquireAll(newSet(10, 100), 0, 500, false)).To(HaveEach(BeNumerically("~", 50, 3)))
	})

	It("avoids the failed endpoint while another one has a free slot", func() {
		set := newSet(2, 1)
		avoid := set.Endpoints()[0]
		Expect(set.Acquire(0, 0, avoid)).To(Equal(set.Endpoints()[1]))
		Expect(set.Acquire(0, 0, avoid)).To(Equal(avoid))
	})

	It("raises the share of a cold endpoint to the full one during slow start", func() {
		now := time.Hour
		shareAt := func(age time.Duration) int {
			set := newSet(4, 1000)
			set.Endpoints()[0].BeginSlowStart(now)
			return acquireAll(set, now+age, 1000, false)[0]
		}
		Expect(shareAt(0)).To(BeNumerically("~", 32, 10))
		Expect(shareAt(5 * time.Second)).To(BeNumerically("~", 155, 25))
		Expect(shareAt(10 * time.Second)).To(BeNumerically("~", 250, 10))
	})

	It("ejects after consecutive failures, with doubled time, and at most half of the endpoints", func() {
		set := newSet(4, 10)
		endpoints := set.Endpoints()
		fail := func(now time.Duration, index, times int) (ejected bool) {
			for range times {
				ejected = set.RecordFailure(now, endpoints[index], balance.FailureIncomplete)
			}
			return ejected
		}
		Expect(fail(0, 0, 4)).To(BeFalse())
		endpoints[0].RecordSuccess()
		Expect(fail(0, 0, 4)).To(BeFalse())
		Expect(fail(0, 0, 1)).To(BeTrue())
		Expect(acquireAll(set, 0, 100, true)[0]).To(BeZero())
		Expect(set.RecordFailure(0, endpoints[1], balance.FailureUnreachable)).To(BeTrue())
		Expect(set.RecordFailure(0, endpoints[2], balance.FailureUnreachable)).To(BeFalse())
		Expect(endpoints[0].Ejected(time.Second)).To(BeFalse())
		Expect(fail(time.Second, 0, 5)).To(BeTrue())
		Expect(endpoints[0].Ejected(2*time.Second + 500*time.Millisecond)).To(BeTrue())
		Expect(endpoints[0].Ejected(3 * time.Second)).To(BeFalse())
	})

	It("never ejects the only endpoint", func() {
		set := newSet(1, 1)
		Expect(set.RecordFailure(0, set.Endpoints()[0], balance.FailureUnreachable)).To(BeFalse())
	})

	DescribeTable("reported loads", func(load int, age time.Duration, lowest, highest int) {
		now := time.Hour
		set := newSet(2, 100)
		acquireAll(set, now, 40, false)
		reporting := set.Endpoints()[0]
		reporting.RecordLoad(now-age, load)
		Expect(acquireAll(set, now, 100, true)[0]).To(And(BeNumerically(">=", lowest), BeNumerically("<=", highest)))
	},
		Entry("a load below the observed one has no effect", 0, time.Duration(0), 30, 100),
		Entry("a load above the observed one is used", 60, time.Duration(0), 0, 0),
		Entry("an expired load is ignored", 60, time.Second, 30, 100),
	)

	It("uses endpoints that report being full when all others are full", func() {
		set := newSet(2, 10)
		set.Endpoints()[0].RecordLoad(time.Hour, 1<<30)
		Expect(acquireAll(set, time.Hour, 20, false)).To(HaveEach(10))
	})

	It("avoids an endpoint for a short time after it shed a request", func() {
		set := newSet(2, 10)
		set.Endpoints()[0].RecordShed(0)
		Expect(acquireAll(set, 0, 10, false)).To(Equal([]int{0, 10}))
		Expect(acquireAll(set, 0, 1, false)).To(Equal([]int{1, 0}), "the only endpoint with free slots is used although it shed a request")
		Expect(acquireAll(set, 60*time.Millisecond, 9, false)).To(Equal([]int{9, 0}))
	})
})

func BenchmarkAcquire1000Endpoints(b *testing.B) {
	set := newSet(1000, 20)
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		chosen, err := set.Acquire(time.Hour, random.Uint64(), nil)
		if err != nil {
			b.Fatal(err)
		}
		chosen.Release()
	}
}

func BenchmarkAcquire1000EndpointsParallel(b *testing.B) {
	set := newSet(1000, 20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			chosen, err := set.Acquire(time.Hour, rand.Uint64(), nil)
			if err != nil {
				b.Error(err)
				return
			}
			chosen.Release()
		}
	})
}
