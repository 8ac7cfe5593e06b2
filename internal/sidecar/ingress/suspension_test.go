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

// TestDrainDelayDuringSuspension checks that the drain delay elapses while the machine is
// suspended.
func TestDrainDelayDuringSuspension(t *testing.T) {
	g := NewWithT(t)
	suspend := clocktest.Suspendable(t)
	f := newCrashFixture(t)
	answer := signed(http.StatusOK)
	f.answer.Store(&answer)
	draining := *f.endpoint.Load()
	draining.State = roster.Draining
	f.endpoint.Store(&draining)
	f.handler.Follow(&draining)
	g.Expect(refusedAt(f.receive(t.Context()))).To(BeEmpty())
	suspend(2 * time.Second)
	g.Expect(refusedAt(f.receive(t.Context()))).To(Equal("step=drain"))
}

// TestDeadlineDuringSuspension checks that a request that waited while the machine was suspended is
// forwarded with the time that its caller has left.
func TestDeadlineDuringSuspension(t *testing.T) {
	g := NewWithT(t)
	suspend := clocktest.Suspendable(t)
	f := newCrashFixture(t)
	const remaining, slept = 10 * time.Second, 4 * time.Second
	f.reported = func(reported *hop.Request) { reported.Remaining, reported.MaximumWait = remaining, time.Minute }
	release := f.startRequests(t, 4, signed(http.StatusOK)) // all slots

	deadlines := make(chan time.Duration, 1)
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		milliseconds, err := strconv.Atoi(r.Header.Get(vocabulary.Deadline))
		if err == nil {
			deadlines <- time.Duration(milliseconds) * time.Millisecond
		}
		signed(http.StatusOK)(w, r)
	})
	f.answer.Store(&answer)
	waiting := make(chan string, 1)
	go func() { waiting <- refusedAt(f.receive(t.Context())) }()
	g.Eventually(func() int { return f.handler.Load().Waiting }).Should(Equal(1))
	suspend(slept)
	release()
	g.Expect(<-waiting).To(BeEmpty())
	g.Expect(<-deadlines).To(BeNumerically("<=", remaining-slept))
}
