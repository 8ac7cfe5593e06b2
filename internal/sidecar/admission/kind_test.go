package admission

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestNoKindWaitsInVain: beside a kind that alone takes all slots, one that is less urgent, or takes longer at
// the same priority, gets a slot at least every so often, and no more than that. Where requests are not
// bounded it gets none.
func TestNoKindWaitsInVain(t *testing.T) {
	flooding := Ticket{Priority: 1, Work: 50 * time.Millisecond, MaximumWait: 300 * time.Millisecond}
	cases := []struct {
		name    string
		starved Ticket
	}{
		{"less urgent", Ticket{Priority: 2, Work: 50 * time.Millisecond, MaximumWait: 300 * time.Millisecond}},
		{"longer", Ticket{Priority: 1, Work: 200 * time.Millisecond, MaximumWait: 300 * time.Millisecond}},
	}
	for _, played := range cases {
		for _, bounded := range []bool{true, false} {
			t.Run(played.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const last = 20 * time.Second
					g := NewWithT(t)
					gate := New(time.Now)
					gate.Resize(4)
					var mu sync.Mutex // guards all below
					var got []time.Time
					flooded := 0
					serve := func(ticket Ticket, began func()) {
						ticket.Bounded = bounded
						slot, err := gate.Acquire(t.Context(), ticket)
						if err != nil {
							return
						}
						mu.Lock()
						began()
						mu.Unlock()
						time.Sleep(ticket.Work)
						slot.Release(true)
					}
					start := time.Now()
					for tick := 0; time.Since(start) < last; tick++ {
						go serve(flooding, func() { flooded++ })
						if tick%5 == 0 {
							go serve(played.starved, func() { got = append(got, time.Now()) })
						}
						time.Sleep(8 * time.Millisecond)
					}
					time.Sleep(5 * time.Second)
					mu.Lock()
					defer mu.Unlock()
					if !bounded {
						g.Expect(len(got)).To(BeNumerically("<=", 8), "at the beginning and at the end alone")
						return
					}
					for i := 1; i < len(got); i++ {
						g.Expect(got[i].Sub(got[i-1])).To(BeNumerically("<=", mostInVain+300*time.Millisecond))
					}
					g.Expect(len(got)).To(And(BeNumerically(">=", 15), BeNumerically("<=", 30)))
					g.Expect(flooded).To(BeNumerically(">", 1400), "of the 1,600 that there is room for")
				})
			})
		}
	}
}
