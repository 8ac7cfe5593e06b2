package admission

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/shares"
)

// manualClock is a clock that is set by the test.
type manualClock struct{ at time.Time }

func (m *manualClock) now() time.Time { return m.at }

// takeGranted returns the waiter that got the freed slot, and the remaining ones.
func takeGranted(waiting []*waiter) (got *waiter, left []*waiter) {
	for i, entry := range waiting {
		select {
		case err := <-entry.result:
			if err == nil {
				return entry, slices.Delete(waiting, i, i+1)
			}
		default:
		}
	}
	return nil, waiting
}

// TestOrderWithoutTenants checks that without tenants there is no fair queueing: the order is by level,
// magnitude and age under random arrivals and departures.
func TestOrderWithoutTenants(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 0))
	clock := &manualClock{at: time.Unix(1, 0)}
	gate := New(clock.now)
	gate.Resize(1)
	running, err := gate.enter(RequestInfo{MaximumWait: time.Hour})
	g.Expect(err).NotTo(HaveOccurred())
	var waiting []*waiter
	for step := range 4000 {
		clock.at = clock.at.Add(time.Duration(random.IntN(20)) * time.Millisecond)
		if step < 200 || random.IntN(2) == 0 {
			entry, err := gate.enter(RequestInfo{
				Priority: random.IntN(3), Nested: random.IntN(8) == 0, OverShare: random.IntN(4) == 0, Returning: random.IntN(3) == 0,
				Work: time.Duration(random.IntN(300)) * time.Millisecond, MaximumWait: 10 * time.Hour,
			})
			g.Expect(err).NotTo(HaveOccurred())
			waiting = append(waiting, entry)
		}
		if step < 200 || len(waiting) == 0 {
			continue
		}
		// Among equal requests the newest is expected, the one that joined last.
		wanted := waiting[0]
		for _, other := range waiting[1:] {
			if cmp.Or(cmp.Compare(other.info.precedence().Level(), wanted.info.precedence().Level()),
				cmp.Compare(magnitude(other.info.Work), magnitude(wanted.info.Work))) <= 0 {
				wanted = other
			}
		}
		(&Slot{gate: gate, entry: running, started: clock.at}).Release(true)
		running, waiting = takeGranted(waiting)
		g.Expect(running).To(BeIdenticalTo(wanted), "step %d", step)
	}
}

// TestTenantsShareSlotTimeNotRequestCount checks that two tenants that always have requests waiting hold
// slots for the same time, although the requests of one take four times as long.
func TestTenantsShareSlotTimeNotRequestCount(t *testing.T) {
	g := NewWithT(t)
	held := compete(t, map[string]demand{
		"long":  {every: 20 * time.Millisecond, work: 200 * time.Millisecond},
		"short": {every: 5 * time.Millisecond, work: 50 * time.Millisecond},
	}, 4, 20*time.Second)
	g.Expect(held["short"].Seconds() / held["long"].Seconds()).To(BeNumerically("~", 1, 0.05))
}

// TestUnusedShareGoesToOtherTenants checks that a small tenant gets all that it asks for, and that two
// that ask for more than their shares get equal parts of the rest.
func TestUnusedShareGoesToOtherTenants(t *testing.T) {
	g := NewWithT(t)
	const work = 100 * time.Millisecond
	held := compete(t, map[string]demand{
		"small":  {every: 250 * time.Millisecond, work: work},
		"large":  {every: 20 * time.Millisecond, work: work},
		"larger": {every: 4 * time.Millisecond, work: work},
	}, 4, 20*time.Second)
	g.Expect(held["small"].Seconds()).To(BeNumerically("~", 20*0.4, 0.4))
	g.Expect(held["larger"].Seconds() / held["large"].Seconds()).To(BeNumerically("~", 1, 0.05))
}

// TestIdleTenantGainsNoCredit checks that a tenant that arrives after ten seconds gets its share from
// then on, without compensation for the time before.
func TestIdleTenantGainsNoCredit(t *testing.T) {
	g := NewWithT(t)
	const work = 100 * time.Millisecond
	held := compete(t, map[string]demand{
		"there": {every: 10 * time.Millisecond, work: work},
		"away":  {every: 10 * time.Millisecond, work: work, start: 10 * time.Second},
	}, 4, 12*time.Second)
	g.Expect(held["away"].Seconds()).To(BeNumerically("~", 2*4/2, 0.5))
}

// TestRequestsWithoutTenantCountSeparately checks that four waiting requests without a tenant beside
// those of one tenant get four fifths of the slots.
func TestRequestsWithoutTenantCountSeparately(t *testing.T) {
	g := NewWithT(t)
	clock := &manualClock{at: time.Unix(1, 0)}
	gate := New(clock.now)
	gate.Resize(1)
	running, _ := gate.enter(RequestInfo{MaximumWait: time.Hour})
	var waiting []*waiter
	join := func(tenant string, count int) {
		for range count {
			entry, err := gate.enter(RequestInfo{Tenant: tenant, Work: 100 * time.Millisecond, MaximumWait: time.Hour})
			g.Expect(err).NotTo(HaveOccurred())
			waiting = append(waiting, entry)
		}
	}
	join("", 4)
	join("named", 4)
	served := map[string]int{}
	for range 100 {
		clock.at = clock.at.Add(100 * time.Millisecond)
		(&Slot{gate: gate, entry: running, started: clock.at.Add(-100 * time.Millisecond)}).Release(true)
		running, waiting = takeGranted(waiting)
		served[running.info.Tenant]++
		join(running.info.Tenant, 1)
	}
	g.Expect(served[""]).To(BeNumerically("~", 80, 2))
}

// TestDisplacedIsTenantWithLargestExcess checks that a request of the tenant that has asked for the most
// is displaced, not the request that arrived last.
func TestDisplacedIsTenantWithLargestExcess(t *testing.T) {
	g := NewWithT(t)
	clock := &manualClock{at: time.Unix(1, 0)}
	gate := New(clock.now)
	gate.Resize(1)
	_, _ = gate.enter(RequestInfo{MaximumWait: time.Hour})
	var flood []*waiter
	for range 4 {
		entry, err := gate.enter(RequestInfo{Tenant: "flood", Work: 100 * time.Millisecond, MaximumWait: 440 * time.Millisecond})
		g.Expect(err).NotTo(HaveOccurred())
		flood = append(flood, entry)
	}
	small, err := gate.enter(RequestInfo{Tenant: "small", Work: 100 * time.Millisecond, MaximumWait: 440 * time.Millisecond})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gate.waiting.holds(small)).To(BeTrue())
	g.Expect(flood[0].result).To(Receive(MatchError(ErrDisplaced)), "the oldest request of the tenant with the largest excess")
	g.Expect(gate.waiting.holds(flood[3])).To(BeTrue())
}

// TestTenantAccountsAreBounded checks that accounts of tenants without requests are removed, so that
// memory stays bounded.
func TestTenantAccountsAreBounded(t *testing.T) {
	g := NewWithT(t)
	clock := &manualClock{at: time.Unix(1, 0)}
	gate := New(clock.now)
	gate.Resize(2)
	for number := range 100_000 {
		entry, err := gate.enter(RequestInfo{Tenant: fmt.Sprint(number), Work: time.Millisecond, MaximumWait: time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		clock.at = clock.at.Add(time.Millisecond)
		(&Slot{gate: gate, entry: entry, started: clock.at.Add(-time.Millisecond)}).Release(true)
	}
	g.Expect(len(gate.waiting.accounts.classes[0].tenants)).To(BeNumerically("<=", maxTenants))
	top, others := gate.Usage(3)
	g.Expect(top).To(HaveLen(3))
	g.Expect(others).To(Equal(99_997*time.Millisecond), "slot time of removed accounts is counted")
}

// TestClassesAreBounded checks that memory stays bounded whatever priorities other nodes send.
func TestClassesAreBounded(t *testing.T) {
	g := NewWithT(t)
	clock := &manualClock{at: time.Unix(1, 0)}
	gate := New(clock.now)
	gate.Resize(2)
	for number := range 10_000 {
		entry, err := gate.enter(RequestInfo{Priority: number, PreventStarvation: true, Tenant: "t", MaximumWait: time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		(&Slot{gate: gate, entry: entry, started: clock.at}).Release(true)
	}
	g.Expect(len(gate.waiting.accounts.classes)).To(BeNumerically("<=", maxClasses))
}

// demand is how often a tenant sends requests, how long they take and when it starts.
type demand struct {
	every, work, start time.Duration
}

// compete simulates tenants at one back end and returns the slot time of each.
func compete(t *testing.T, tenants map[string]demand, slots int, last time.Duration) map[string]time.Duration {
	held := map[string]time.Duration{}
	synctest.Test(t, func(t *testing.T) {
		gate := New(time.Now)
		gate.Resize(slots)
		end := time.Now().Add(last)
		results := make(chan string, 1<<16)
		for name, asks := range tenants {
			go func() {
				time.Sleep(asks.start)
				for time.Now().Before(end) {
					go func() {
						slot, err := gate.Acquire(context.Background(), RequestInfo{Tenant: name, PreventStarvation: true, Work: asks.work, MaximumWait: 500 * time.Millisecond})
						if err != nil {
							return
						}
						time.Sleep(asks.work)
						slot.Release(true)
						results <- name
					}()
					time.Sleep(asks.every)
				}
			}()
		}
		time.Sleep(last)
		synctest.Wait()
		for range len(results) {
			name := <-results
			held[name] += tenants[name].work
		}
		time.Sleep(5 * time.Second) // let the last requests end
	})
	return held
}

// BenchmarkTurn adds a request to a queue of 2,000 waiting requests, of none, 77 or 2,000 tenants, and
// grants the next one a slot.
func BenchmarkTurn(b *testing.B) {
	for _, tenants := range []int{0, 77, 2000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			clock := &manualClock{at: time.Unix(1, 0)}
			gate := New(clock.now)
			names := make([]string, max(tenants, 1))
			for i := range tenants {
				names[i] = fmt.Sprintf("tenant-%d", i)
			}
			waiting := make([]*waiter, 2000)
			for i := range waiting {
				info := RequestInfo{Tenant: names[i%len(names)], Work: 100 * time.Millisecond}
				owner := gate.waiting.accounts.accountFor(info, clock.at)
				waiting[i] = &waiter{info: info, work: info.Work, account: owner, kind: owner.class.kind(magnitude(info.Work))}
				gate.waiting.add(waiting[i])
			}
			b.ReportAllocs()
			for b.Loop() {
				next := gate.waiting.next()
				queued := next.group.flow.length
				gate.waiting.remove(next)
				next.account.begin(next, queued, true)
				next.account.end(next, 90*time.Millisecond, clock.at)
				next.account = gate.waiting.accounts.accountFor(next.info, clock.at)
				gate.waiting.workBefore(next)
				gate.waiting.add(next)
				gate.waiting.last(clock.at)
			}
		})
	}
}

// TestMaxMinSharesOfManyTenants has 77 tenants with skewed demands ask for one and a half times the
// capacity. Each tenant with enough demand to be measured must get at least nine tenths of its max-min
// fair share.
func TestMaxMinSharesOfManyTenants(t *testing.T) {
	const (
		tenants = 77
		skew    = 1.2
		slots   = 18
		work    = 100 * time.Millisecond
		last    = 20 * time.Second
		// enough is the demand above which the last request of a tenant has little influence on its
		// measured share.
		enough = 2 * time.Second
	)
	g := NewWithT(t)
	total := 0.0
	for i := range tenants {
		total += math.Pow(float64(i+1), -skew)
	}
	asks := map[string]demand{}
	var wanted []float64
	for i := range tenants {
		part := math.Pow(float64(i+1), -skew) / total * 1.5 * slots
		wanted = append(wanted, part*last.Seconds())
		asks[fmt.Sprint(i)] = demand{every: time.Duration(float64(work) / part), work: work, start: time.Duration(i) * time.Millisecond}
	}
	held := compete(t, asks, slots, last)
	served := 0.0
	for _, had := range held {
		served += had.Seconds()
	}
	g.Expect(served).To(BeNumerically(">", slots*last.Seconds()*0.97), "the capacity is used")
	share := shares.MaxMin(slices.Sorted(slices.Values(wanted)), served)
	least := math.Inf(1)
	for i, asked := range wanted {
		if asked >= enough.Seconds() {
			least = min(least, held[fmt.Sprint(i)].Seconds()/min(share, asked))
		}
	}
	t.Logf("lowest ratio of served to max-min share: %.3f", least)
	g.Expect(least).To(BeNumerically(">=", 0.9))
}
