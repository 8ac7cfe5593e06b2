package ingress_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// TestColdBackEndIsNotOverloaded checks that excess requests are refused without being run, with a
// Retry-After, until the back end reports that it is warm.
func TestColdBackEndIsNotOverloaded(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	var ran, asked atomic.Int64
	warm := make(chan struct{})
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			asked.Add(1)
			<-warm
			w.Header().Set(vocabulary.InstanceID, "i-1")
			return
		}
		ran.Add(1)
		signed(http.StatusOK)(w, r)
	})
	f.answer.Store(&answer)
	f.handler.SetService(&route.Service{Name: "one", HealthPath: "/health", WarmupRate: 3, WarmupTime: time.Hour})
	var refused int
	for range 20 {
		recorder := f.receive(t.Context())
		if recorder.Code == http.StatusOK {
			continue
		}
		refused++
		g.Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(recorder.Header().Get(outcome.HeaderOutcome)).To(Equal(string(outcome.NotRun)))
		g.Expect(recorder.Header().Get(outcome.HeaderError)).To(Equal("step=" + string(outcome.StepWarmup)))
		g.Expect(recorder.Header().Get("Retry-After")).NotTo(BeEmpty())
	}
	g.Expect(ran.Load()).To(BeNumerically(">=", 3))
	g.Expect(refused).To(BeNumerically(">", 0))
	g.Eventually(asked.Load).Should(BeNumerically(">", 0))
	close(warm)
	g.Eventually(func() int { return f.receive(t.Context()).Code }).Should(Equal(http.StatusOK))
}

// TestColdBackEndBeforeAConfiguration covers a start after a power failure while the store is
// unavailable.
func TestColdBackEndBeforeAConfiguration(t *testing.T) {
	g := NewWithT(t)
	f := newUnconfigured(t)
	ran := f.countRequests()
	f.handler.SetWarmupRemaining(time.Hour)
	for range 20 {
		f.receive(t.Context())
	}
	f.handler.SetService(&route.Service{Name: "one", WarmupRate: 3, WarmupTime: time.Hour})
	for range 20 {
		f.receive(t.Context())
	}
	g.Expect(ran.Load()).To(BeNumerically("<=", 3))
}

// TestEvacuatedZoneRejectsRequests checks the node beside the back end.
func TestEvacuatedZoneRejectsRequests(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	ran := f.countRequests()
	f.evacuated.Store(true)
	recorder := f.receive(t.Context())
	g.Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(recorder.Header().Get(outcome.HeaderOutcome)).To(Equal(string(outcome.NotRun)))
	g.Expect(ran.Load()).To(BeZero())
	f.evacuated.Store(false)
	g.Expect(f.receive(t.Context()).Code).To(Equal(http.StatusOK))
}
