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

// crashFixture is a handler with a back end that can crash, and the handler's log.
type crashFixture struct {
	fixture
	server   *httptest.Server
	endpoint atomic.Pointer[roster.Endpoint]
	logs     *observer.ObservedLogs
	// quarantine records the handler's calls and returns preset answers.
	quarantine *fakeQuarantine
	// failures counts the failures reported against the back end's version.
	failures failureCount
	// started receives one value for each request that reached the back end.
	started chan struct{}
}

// failureCount is a judge that counts failures.
type failureCount struct{ atomic.Int64 }

func (*failureCount) Refuses() bool { return false }
func (*failureCount) Judges() bool  { return true }
func (c *failureCount) Answered(_ *http.Request, failed bool, _, _ time.Duration, _ rollout.BaselineRates) {
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

// crashes returns the number of active requests at each reported crash.
func (f *crashFixture) crashes() (running []int) {
	for _, line := range f.logs.FilterMessage("back end ended").All() {
		running = append(running, len(line.ContextMap()["running"].([]any)))
	}
	return running
}

// startRequests sends requests that stay active until the returned function is called; each then
// ends with the given handler.
func (f *crashFixture) startRequests(t *testing.T, requests int, end http.HandlerFunc) (release func()) {
	finish := make(chan struct{})
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.started <- struct{}{}
		select {
		case <-finish:
		case <-r.Context().Done():
		}
		end(w, r)
	})
	f.answer.Store(&answer)
	done := make(chan struct{})
	for range requests {
		go func() {
			f.receive(t.Context())
			done <- struct{}{}
		}()
	}
	for range requests {
		<-f.started
	}
	return func() {
		close(finish)
		for range requests {
			<-done
		}
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestCrashIsDistinguishedFromBrokenConnections checks that only a process that no longer listens
// counts as crashed, and that all its active requests are reported once.
func TestCrashIsDistinguishedFromBrokenConnections(t *testing.T) {
	t.Run("connections broke, the process is alive", func(t *testing.T) {
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
	t.Run("the end was planned", func(t *testing.T) {
		g := NewWithT(t)
		f := newCrashFixture(t)
		draining := *f.endpoint.Load()
		draining.State = roster.Draining
		f.endpoint.Store(&draining)
		release := f.startRequests(t, 2, abort)
		g.Expect(f.server.Listener.Close()).To(Succeed())
		release()
		g.Expect(f.crashes()).To(BeEmpty())
	})
	t.Run("another process listens already and has registered", func(t *testing.T) {
		g := NewWithT(t)
		f := newCrashFixture(t)
		f.startRequests(t, 2, abort)()
		f.handler.Follow(&roster.Endpoint{ID: "i-2", Service: "one", Slots: 4, State: roster.Ready})
		g.Eventually(f.crashes).Should(Equal([]int{2}))
	})
}

// TestCrashIsOneFailure checks that a crash counts as one failure of the back end's version,
// however many requests were active, and that refused connections until the next process starts
// count as none. Otherwise a harmful request makes a good version look faulty: one was rolled back
// 2.4 s after its order because a harmful request crashed one of its three back ends and three
// requests failed at once. Broken answers of a living process count as one failure each.
func TestCrashIsOneFailure(t *testing.T) {
	for name, tc := range map[string]struct {
		ends     bool
		failures int64
	}{"the process ended": {true, 1}, "connections broke, the process is alive": {false, 4}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newCrashFixture(t)
			f.reported = func(reported *hop.Request) { reported.BaselineRates = &rollout.BaselineRates{} }
			release := f.startRequests(t, 4, abort)
			if tc.ends {
				g.Expect(f.server.Listener.Close()).To(Succeed())
			}
			release()
			if tc.ends {
				// Connections are refused until the next process has started.
				g.Expect(f.receive(t.Context()).Code).To(Equal(http.StatusServiceUnavailable))
			}
			g.Expect(f.failures.Load()).To(Equal(tc.failures))
		})
	}
}
