package ingress_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ingress"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// crashFixture is a handler before a back end that can end, with its log.
type crashFixture struct {
	fixture
	server   *httptest.Server
	endpoint atomic.Pointer[roster.Endpoint]
	logs     *observer.ObservedLogs
	// quarantine is what the handler asks and tells.
	quarantine *fakeQuarantine
	// failures counts what counts against the back end's version.
	failures failureCount
	// started delivers one for each request that has begun.
	started chan struct{}
}

// failureCount is a judge that counts failures.
type failureCount struct{ atomic.Int64 }

func (*failureCount) Refuses() bool { return false }
func (*failureCount) Judges() bool  { return true }
func (c *failureCount) Answered(_ *http.Request, failed bool, _, _ time.Duration, _ rollout.Usual) {
	if failed {
		c.Add(1)
	}
}

func newCrashFixture(t *testing.T) *crashFixture {
	f := &crashFixture{started: make(chan struct{}, 8), quarantine: newFakeQuarantine()}
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*f.answer.Load())(w, r) }))
	t.Cleanup(f.server.Close)
	core, logs := observer.New(zap.WarnLevel)
	f.logs = logs
	f.endpoint.Store(&roster.Endpoint{ID: "i-1", Service: "one", Slots: 4, State: roster.Ready})
	f.handler = ingress.New(ingress.Options{
		Vocabulary: vocabulary, Address: f.server.Listener.Addr().String(),
		Endpoint:           func() *roster.Endpoint { return f.endpoint.Load() },
		OnInstanceMismatch: func(string) {}, Version: func() uint64 { return 1 },
		DrainDelay: func() time.Duration { return time.Second },
		Dial:       (&net.Dialer{}).DialContext, Logger: zap.New(core), Observer: silentObserver{}, Quarantine: f.quarantine, Judge: &f.failures,
	})
	f.handler.Follow(f.endpoint.Load())
	f.handler.SetService(&route.Service{Name: "one"})
	return f
}

// crashes returns how many requests were at work at each end that was reported of.
func (m *crashFixture) crashes() (running []int) {
	for _, line := range m.logs.FilterMessage("back end ended").All() {
		running = append(running, len(line.ContextMap()["running"].([]any)))
	}
	return running
}

// startRequests has requests at startRequests until the function is called that is returned; then each
// ends as reported.
func (m *crashFixture) startRequests(t *testing.T, requests int, end http.HandlerFunc) (release func()) {
	finish := make(chan struct{})
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.started <- struct{}{}
		select {
		case <-finish:
		case <-r.Context().Done():
		}
		end(w, r)
	})
	m.answer.Store(&answer)
	done := make(chan struct{})
	for range requests {
		go func() {
			m.receive(t.Context())
			done <- struct{}{}
		}()
	}
	for range requests {
		<-m.started
	}
	return func() {
		close(finish)
		for range requests {
			<-done
		}
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestAnEndIsToldFromABrokenConnection: only a process that listens no more has ended,
// and all that was at work there is reported once.
func TestAnEndIsToldFromABrokenConnection(t *testing.T) {
	t.Run("connections broke, the process lives", func(t *testing.T) {
		g := NewWithT(t)
		f := newCrashFixture(t)
		f.startRequests(t, 3, abort)()
		g.Expect(f.crashes()).To(BeEmpty())
	})
	t.Run("the process ended", func(t *testing.T) {
		g := NewWithT(t)
		f := newCrashFixture(t)
		release := f.startRequests(t, 3, abort)
		g.Expect(f.server.Listener.Close()).To(Succeed())
		release()
		g.Expect(f.crashes()).To(Equal([]int{3}))
	})
	t.Run("the process was to end", func(t *testing.T) {
		g := NewWithT(t)
		f := newCrashFixture(t)
		leaving := *f.endpoint.Load()
		leaving.State = roster.Draining
		f.endpoint.Store(&leaving)
		release := f.startRequests(t, 2, abort)
		g.Expect(f.server.Listener.Close()).To(Succeed())
		release()
		g.Expect(f.crashes()).To(BeEmpty())
	})
	t.Run("another process listens already, and says so", func(t *testing.T) {
		g := NewWithT(t)
		f := newCrashFixture(t)
		f.startRequests(t, 2, abort)()
		f.handler.Follow(&roster.Endpoint{ID: "i-2", Service: "one", Slots: 4, State: roster.Ready})
		g.Eventually(f.crashes).Should(Equal([]int{2}))
	})
}

// TestAnEndIsOneFailure of the back end's version, however many requests were at work: a
// request that ends back ends is no sign of bad software, and neither is that nobody answers
// until the next process has started. A good version was taken back within 2.4 s of its order when a
// harmful request had ended one of its three back ends: three failures of one moment f that
// one faulty. Answers that break off while the process lives are each a failure.
func TestAnEndIsOneFailure(t *testing.T) {
	for name, tc := range map[string]struct {
		ends     bool
		failures int64
	}{"the process ended": {true, 1}, "connections broke, the process lives": {false, 4}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newCrashFixture(t)
			f.reported = func(reported *hop.Request) { reported.Usual = &rollout.Usual{} }
			release := f.startRequests(t, 4, abort)
			if tc.ends {
				g.Expect(f.server.Listener.Close()).To(Succeed())
			}
			release()
			if tc.ends {
				// Nobody is there to be asked until the next one has started.
				g.Expect(f.receive(t.Context()).Code).To(Equal(http.StatusServiceUnavailable))
			}
			g.Expect(f.failures.Load()).To(Equal(tc.failures))
		})
	}
}
