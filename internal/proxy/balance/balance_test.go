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

// shares acquires and keeps that many slots and counts them by endpoint.
func shares(set *balance.Set, now time.Duration, requests int, release bool) []int {
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
	It("has no endpoint to give when empty", func() {
		_, err := newSet(0, 1).Acquire(0, 0, nil)
		Expect(err).To(MatchError(balance.ErrNoEndpoint))
	})

	It("fills every slot of every endpoint and no more", func() {
		set := newSet(5, 20)
		Expect(shares(set, 0, 200, false)).To(HaveEach(20))
		_, err := set.Acquire(0, 7, nil)
		Expect(err).To(MatchError(balance.ErrSaturated))
		set.Endpoints()[3].Release()
		Expect(set.Acquire(0, 7, nil)).To(Equal(set.Endpoints()[3]))
	})

	It("keeps load even while slots are free", func() {
		Expect(shares(newSet(10, 100), 0, 500, false)).To(HaveEach(BeNumerically("~", 50, 3)))
	})

	It("avoids the endpoint that failed while there is another one", func() {
		set := newSet(2, 1)
		avoid := set.Endpoints()[0]
		Expect(set.Acquire(0, 0, avoid)).To(Equal(set.Endpoints()[1]))
		Expect(set.Acquire(0, 0, avoid)).To(Equal(avoid))
	})

	It("gives a cold endpoint a share that grows to the full one", func() {
		now := time.Hour
		shareAt := func(age time.Duration) int {
			set := newSet(4, 1000)
			set.Endpoints()[0].BeginSlowStart(now)
			return shares(set, now+age, 1000, false)[0]
		}
		Expect(shareAt(0)).To(BeNumerically("~", 32, 10))
		Expect(shareAt(5 * time.Second)).To(BeNumerically("~", 155, 25))
		Expect(shareAt(10 * time.Second)).To(BeNumerically("~", 250, 10))
	})

	It("ejects after consecutive failures, longer each time, never more than half", func() {
		set := newSet(4, 10)
		failing := set.Endpoints()
		fail := func(now time.Duration, index, times int) (ejected bool) {
			for range times {
				ejected = set.RecordFailure(now, failing[index], balance.FailureIncomplete)
			}
			return ejected
		}
		Expect(fail(0, 0, 4)).To(BeFalse())
		failing[0].RecordSuccess()
		Expect(fail(0, 0, 4)).To(BeFalse())
		Expect(fail(0, 0, 1)).To(BeTrue())
		Expect(shares(set, 0, 100, true)[0]).To(BeZero())
		Expect(set.RecordFailure(0, failing[1], balance.FailureUnreachable)).To(BeTrue())
		Expect(set.RecordFailure(0, failing[2], balance.FailureUnreachable)).To(BeFalse())
		Expect(failing[0].Ejected(time.Second)).To(BeFalse())
		Expect(fail(time.Second, 0, 5)).To(BeTrue())
		Expect(failing[0].Ejected(2*time.Second + 500*time.Millisecond)).To(BeTrue())
		Expect(failing[0].Ejected(3 * time.Second)).To(BeFalse())
	})

	It("never ejects the only endpoint", func() {
		set := newSet(1, 1)
		Expect(set.RecordFailure(0, set.Endpoints()[0], balance.FailureUnreachable)).To(BeFalse())
	})

	DescribeTable("load hints", func(hint int, age time.Duration, lowest, highest int) {
		now := time.Hour
		set := newSet(2, 100)
		shares(set, now, 40, false)
		hinted := set.Endpoints()[0]
		hinted.RecordLoad(now-age, hint)
		Expect(shares(set, now, 100, true)[0]).To(And(BeNumerically(">=", lowest), BeNumerically("<=", highest)))
	},
		Entry("one that claims less than observed changes nothing", 0, time.Duration(0), 30, 100),
		Entry("one that claims more is believed", 60, time.Duration(0), 0, 0),
		Entry("an old one is ignored", 60, time.Second, 30, 100),
	)

	It("still uses endpoints that claim to be full, when others are", func() {
		set := newSet(2, 10)
		set.Endpoints()[0].RecordLoad(time.Hour, 1<<30)
		Expect(shares(set, time.Hour, 20, false)).To(HaveEach(10))
	})

	It("avoids an endpoint that shed for a moment", func() {
		set := newSet(2, 10)
		set.Endpoints()[0].RecordShed(0)
		Expect(shares(set, 0, 10, false)).To(Equal([]int{0, 10}))
		Expect(shares(set, 0, 1, false)).To(Equal([]int{1, 0}), "rather than none")
		Expect(shares(set, 60*time.Millisecond, 9, false)).To(Equal([]int{9, 0}))
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
	b.RunParallel(func(each *testing.PB) {
		for each.Next() {
			chosen, err := set.Acquire(time.Hour, rand.Uint64(), nil)
			if err != nil {
				b.Error(err)
				return
			}
			chosen.Release()
		}
	})
}
