package ingress_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock/clocktest"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestASuspendedNodeStillDrains: the time in which a back end that leaves gets new work goes
// on while the machine is suspended.
func TestASuspendedNodeStillDrains(t *testing.T) {
	g := NewWithT(t)
	suspend := clocktest.Suspender(t)
	made := playMortal(t)
	answer := signed(http.StatusOK)
	made.answer.Store(&answer)
	leaving := *made.endpoint.Load()
	leaving.State = roster.Draining
	made.endpoint.Store(&leaving)
	made.handler.Follow(&leaving)
	g.Expect(refusedAt(made.receive(t.Context()))).To(BeEmpty())
	suspend(2 * time.Second)
	g.Expect(refusedAt(made.receive(t.Context()))).To(Equal("step=drain"))
}

// TestADeadlineIsNotLengthened: a request that waited while the machine was suspended is
// passed on with what its caller still has.
func TestADeadlineIsNotLengthened(t *testing.T) {
	g := NewWithT(t)
	suspend := clocktest.Suspender(t)
	made := playMortal(t)
	const remaining, slept = 10 * time.Second, 4 * time.Second
	made.told = func(told *hop.Request) { told.Remaining, told.MaximumWait = remaining, time.Minute }
	release := made.work(t, 4, signed(http.StatusOK)) // all slots

	deadlines := make(chan time.Duration, 1)
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		milliseconds, err := strconv.Atoi(r.Header.Get(vocabulary.Deadline))
		if err == nil {
			deadlines <- time.Duration(milliseconds) * time.Millisecond
		}
		signed(http.StatusOK)(w, r)
	})
	made.answer.Store(&answer)
	waiting := make(chan string, 1)
	go func() { waiting <- refusedAt(made.receive(t.Context())) }()
	g.Eventually(func() int { return made.handler.Load().Waiting }).Should(Equal(1))
	suspend(slept)
	release()
	g.Expect(<-waiting).To(BeEmpty())
	g.Expect(<-deadlines).To(BeNumerically("<=", remaining-slept))
}
