package admission

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestNoKindStarves has one kind of request flood all slots. Another kind, which is less urgent or takes
// longer at the same priority, must get slots at bounded intervals, but not many more. Without starvation
// protection it gets none.
func TestNoKindStarves(t *testing.T) {
	flooding := RequestInfo{Priority: 1, Work: 50 * time.Millisecond, MaximumWait: 300 * time.Millisecond}
	cases := []struct {
		name    string
		starved RequestInfo
	}{
		{"less urgent", RequestInfo{Priority: 2, Work: 50 * time.Millisecond, MaximumWait: 300 * time.Millisecond}},
		{"longer", RequestInfo{Priority: 1, Work: 200 * time.Millisecond, MaximumWait: 300 * time.Millisecond}},
	}
	for _, test := range cases {
		for _, bounded := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const last = 20 * time.Second
					g := NewWithT(t)
					gate := New(time.Now)
					gate.Resize(4)
					var mu sync.Mutex // guards all below
					var got []time.Time
					flooded := 0
					serve := func(info RequestInfo, began func()) {
						info.PreventStarvation = bounded
						slot, err := gate.Acquire(t.Context(), info)
						if err != nil {
							return
						}
						mu.Lock()
						began()
						mu.Unlock()
						time.Sleep(info.Work)
						slot.Release(true)
					}
					start := time.Now()
					for tick := 0; time.Since(start) < last; tick++ {
						go serve(flooding, func() { flooded++ })
						if tick%5 == 0 {
							go serve(test.starved, func() { got = append(got, time.Now()) })
						}
						time.Sleep(8 * time.Millisecond)
					}
					time.Sleep(5 * time.Second)
					mu.Lock()
					defer mu.Unlock()
					if !bounded {
						g.Expect(len(got)).To(BeNumerically("<=", 8), "only at the beginning and at the end")
						return
					}
					for i := 1; i < len(got); i++ {
						g.Expect(got[i].Sub(got[i-1])).To(BeNumerically("<=", starvationBound+300*time.Millisecond))
					}
					g.Expect(len(got)).To(And(BeNumerically(">=", 15), BeNumerically("<=", 30)))
					g.Expect(flooded).To(BeNumerically(">", 1400), "of a capacity of 1,600")
				})
			})
		}
	}
}

// TestOverdueGrantsLeaveTenantSharesIntact checks that slots granted to an overdue kind do not distort
// the fair shares of tenants, including one that arrives later.
func TestOverdueGrantsLeaveTenantSharesIntact(t *testing.T) {
	g := NewWithT(t)
	const last, joins = 30 * time.Second, 20 * time.Second
	asks := map[string]demand{
		"long": {every: 100 * time.Millisecond, work: 500 * time.Millisecond},
		"late": {every: 250 * time.Millisecond, work: 50 * time.Millisecond, start: joins},
	}
	for i := range 20 {
		asks[fmt.Sprint(i)] = demand{every: 50 * time.Millisecond, work: 50 * time.Millisecond, start: time.Duration(i) * time.Millisecond}
	}
	held := compete(t, asks, 4, last)
	perSecond := float64(held["late"]) / float64(asks["late"].work) / (last - joins).Seconds()
	g.Expect(perSecond).To(And(BeNumerically(">=", 3), BeNumerically("<=", 5)))
}

// overdueQueue returns a full gate with an overdue kind that has one request waiting.
func overdueQueue(g *WithT, clock *manualClock) (gate *Gate, running, waiting *waiter) {
	gate = New(clock.now)
	gate.Resize(1)
	running, err := gate.enter(RequestInfo{Priority: 1, MaximumWait: time.Hour})
	g.Expect(err).NotTo(HaveOccurred())
	gate.grants = grantsPerOverdue
	late := RequestInfo{Priority: 2, PreventStarvation: true, Work: 100 * time.Millisecond, MaximumWait: time.Hour}
	first, err := gate.enter(late)
	g.Expect(err).NotTo(HaveOccurred())
	gate.waiting.remove(first)
	clock.at = clock.at.Add(starvationBound)
	first.kind.lastArrival = clock.at.Add(-starvationBound / 2)
	waiting, err = gate.enter(late)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(waiting.kind.overdue(clock.at)).To(BeTrue())
	return gate, running, waiting
}

// TestNestedCallsPrecedeOverdueKind checks that a nested call is served before a request of an overdue
// kind.
func TestNestedCallsPrecedeOverdueKind(t *testing.T) {
	g := NewWithT(t)
	clock := &manualClock{at: time.Unix(1, 0)}
	gate, running, late := overdueQueue(g, clock)
	nested, err := gate.enter(RequestInfo{Nested: true, MaximumWait: time.Hour})
	g.Expect(err).NotTo(HaveOccurred())
	urgent, err := gate.enter(RequestInfo{Priority: 1, MaximumWait: time.Hour})
	g.Expect(err).NotTo(HaveOccurred())
	waiting := []*waiter{late, nested, urgent}
	for _, wanted := range []*waiter{nested, late, urgent} {
		(&Slot{gate: gate, entry: running, started: clock.at}).Release(true)
		running, waiting = takeGranted(waiting)
		g.Expect(running).To(BeIdenticalTo(wanted))
	}
}

// TestOverdueRequestDoesNotProtectOthersFromDisplacement checks that the exemption of an overdue request
// from displacement does not extend to other requests.
func TestOverdueRequestDoesNotProtectOthersFromDisplacement(t *testing.T) {
	g := NewWithT(t)
	clock := &manualClock{at: time.Unix(1, 0)}
	gate, _, late := overdueQueue(g, clock)
	var urgent []*waiter
	for range 6 {
		entry, err := gate.enter(RequestInfo{Priority: 1, Work: 100 * time.Millisecond, MaximumWait: 300 * time.Millisecond})
		g.Expect(err).NotTo(HaveOccurred())
		urgent = append(urgent, entry)
	}
	g.Expect(gate.waiting.holds(late)).To(BeTrue())
	g.Expect(urgent[0].result).To(Receive(MatchError(ErrDisplaced)))
}
