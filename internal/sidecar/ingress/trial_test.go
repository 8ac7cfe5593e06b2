package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// fakeQuarantine returns preset answers.
type fakeQuarantine struct {
	quarantined, suspects atomic.Bool
	survived              atomic.Int64
	crashes               chan roster.Crash
}

func newFakeQuarantine() *fakeQuarantine { return &fakeQuarantine{crashes: make(chan roster.Crash, 8)} }

func (s *fakeQuarantine) Idle() bool                                   { return !s.quarantined.Load() && !s.suspects.Load() }
func (s *fakeQuarantine) IsQuarantined(fingerprint.Fingerprint) bool   { return s.quarantined.Load() }
func (s *fakeQuarantine) IsSuspect(fingerprint.Fingerprint) bool       { return s.suspects.Load() }
func (s *fakeQuarantine) RecordCrash(crash roster.Crash)               { s.crashes <- crash }
func (s *fakeQuarantine) RecordSurvival(print fingerprint.Fingerprint) { s.survived.Add(1) }

// refusedAt returns the step at which a request was refused without being run, empty if it was not
// refused.
func refusedAt(recorder *httptest.ResponseRecorder) string {
	if recorder.Header().Get(outcome.HeaderOutcome) != string(outcome.NotRun) {
		return ""
	}
	return recorder.Header().Get(outcome.HeaderError)
}

// TestQuarantinedRequestIsNotRun checks that the node beside the back end refuses a quarantined
// request.
func TestQuarantinedRequestIsNotRun(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFixture(t)
	runs := f.countRequests()
	f.quarantine.quarantined.Store(true)
	g.Expect(refusedAt(f.receive(t.Context()))).To(Equal("step=quarantine"))
	g.Expect(runs.Load()).To(BeZero())
	f.quarantine.quarantined.Store(false)
	g.Expect(refusedAt(f.receive(t.Context()))).To(BeEmpty())
	g.Expect(runs.Load()).To(BeEquivalentTo(1))
}

// TestSuspectsRunOneAtATime checks that suspected requests wait for each other, so that a crash
// identifies one, and that all are run.
func TestSuspectsRunOneAtATime(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFixture(t)
	f.quarantine.suspects.Store(true)
	var running, most atomic.Int64
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		for highest := most.Load(); now > highest && !most.CompareAndSwap(highest, now); highest = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		signed(http.StatusOK)(w, r)
	})
	f.answer.Store(&answer)
	const requests = 4
	refused := make(chan string, requests)
	for range requests {
		go func() { refused <- refusedAt(f.receive(t.Context())) }()
	}
	for range requests {
		g.Expect(<-refused).To(BeEmpty())
	}
	g.Expect(most.Load()).To(BeEquivalentTo(1))
	g.Expect(f.quarantine.survived.Load()).To(BeEquivalentTo(requests))
}

// TestCrashDuringTrial checks that a crash report names the suspected request separately from the
// others.
func TestCrashDuringTrial(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFixture(t)
	releaseOthers := f.startRequests(t, 2, abort)
	f.reported = func(reported *hop.Request) { reported.Suspect = true }
	trial := make(chan struct{})
	go func() {
		defer close(trial)
		f.receive(t.Context())
	}()
	<-f.started
	g.Expect(f.server.Listener.Close()).To(Succeed())
	releaseOthers()
	<-trial
	crash := <-f.quarantine.crashes
	g.Expect(crash.Running).To(HaveLen(3))
	g.Expect(crash.Trial).NotTo(BeNil())
}
