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

// scripted is a quarantine that says what it is told to.
type scripted struct {
	holds, suspects atomic.Bool
	survived        atomic.Int64
	crashes         chan roster.Crash
}

func newScripted() *scripted { return &scripted{crashes: make(chan roster.Crash, 8)} }

func (s *scripted) Idle() bool                             { return !s.holds.Load() && !s.suspects.Load() }
func (s *scripted) Holds(fingerprint.Fingerprint) bool     { return s.holds.Load() }
func (s *scripted) Suspects(fingerprint.Fingerprint) bool  { return s.suspects.Load() }
func (s *scripted) Ended(crash roster.Crash)               { s.crashes <- crash }
func (s *scripted) Survived(print fingerprint.Fingerprint) { s.survived.Add(1) }

// refusedAt returns the step at which a request was refused as not run, empty when it was
// not.
func refusedAt(recorder *httptest.ResponseRecorder) string {
	if recorder.Header().Get(outcome.HeaderOutcome) != string(outcome.NotRun) {
		return ""
	}
	return recorder.Header().Get(outcome.HeaderError)
}

// TestAHeldRequestIsNotRun whatever brought it here.
func TestAHeldRequestIsNotRun(t *testing.T) {
	g := NewWithT(t)
	made := playMortal(t)
	runs := made.counts()
	made.quarantine.holds.Store(true)
	g.Expect(refusedAt(made.receive(t.Context()))).To(Equal("step=quarantine"))
	g.Expect(runs.Load()).To(BeZero())
	made.quarantine.holds.Store(false)
	g.Expect(refusedAt(made.receive(t.Context()))).To(BeEmpty())
	g.Expect(runs.Load()).To(BeEquivalentTo(1))
}

// TestSuspectsRunOneAtATime: an end tells which of them made it. Others wait, and run in
// their turn.
func TestSuspectsRunOneAtATime(t *testing.T) {
	g := NewWithT(t)
	made := playMortal(t)
	made.quarantine.suspects.Store(true)
	var running, most atomic.Int64
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		for held := most.Load(); now > held && !most.CompareAndSwap(held, now); held = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		signed(http.StatusOK)(w, r)
	})
	made.answer.Store(&answer)
	const requests = 4
	refused := make(chan string, requests)
	for range requests {
		go func() { refused <- refusedAt(made.receive(t.Context())) }()
	}
	for range requests {
		g.Expect(<-refused).To(BeEmpty())
	}
	g.Expect(most.Load()).To(BeEquivalentTo(1))
	g.Expect(made.quarantine.survived.Load()).To(BeEquivalentTo(requests))
}

// TestAnEndUnderASuspect names it apart from what was beside it.
func TestAnEndUnderASuspect(t *testing.T) {
	g := NewWithT(t)
	made := playMortal(t)
	beside := made.work(t, 2, abort)
	made.told = func(told *hop.Request) { told.Suspect = true }
	trial := make(chan struct{})
	go func() {
		defer close(trial)
		made.receive(t.Context())
	}()
	<-made.atWork
	g.Expect(made.server.Listener.Close()).To(Succeed())
	beside()
	<-trial
	crash := <-made.quarantine.crashes
	g.Expect(crash.Running).To(HaveLen(3))
	g.Expect(crash.Trial).NotTo(BeNil())
}
