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

// mortal is a handler before a back end that can end, with its log.
type mortal struct {
	played
	server   *httptest.Server
	endpoint atomic.Pointer[roster.Endpoint]
	lines    *observer.ObservedLogs
	// quarantine is what the handler asks and tells.
	quarantine *scripted
	// failures counts what counts against the back end's version.
	failures failureCount
	// atWork delivers one for each request that has begun.
	atWork chan struct{}
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

func playMortal(t *testing.T) *mortal {
	made := &mortal{atWork: make(chan struct{}, 8), quarantine: newScripted()}
	made.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*made.answer.Load())(w, r) }))
	t.Cleanup(made.server.Close)
	core, lines := observer.New(zap.WarnLevel)
	made.lines = lines
	made.endpoint.Store(&roster.Endpoint{ID: "i-1", Service: "one", Slots: 4, State: roster.Ready})
	made.handler = ingress.New(ingress.Options{
		Vocabulary: vocabulary, Address: made.server.Listener.Addr().String(),
		Endpoint:           func() *roster.Endpoint { return made.endpoint.Load() },
		OnInstanceMismatch: func(string) {}, Version: func() uint64 { return 1 },
		DrainDelay: func() time.Duration { return time.Second },
		Dial:       (&net.Dialer{}).DialContext, Logger: zap.New(core), Observer: silentObserver{}, Quarantine: made.quarantine, Judge: &made.failures,
	})
	made.handler.Follow(made.endpoint.Load())
	made.handler.SetService(&route.Service{Name: "one"})
	return made
}

// ends returns how many requests were at work at each end that was told of.
func (m *mortal) ends() (running []int) {
	for _, line := range m.lines.FilterMessage("back end ended").All() {
		running = append(running, len(line.ContextMap()["running"].([]any)))
	}
	return running
}

// work has requests at work until the function is called that is returned; then each
// ends as told.
func (m *mortal) work(t *testing.T, requests int, end http.HandlerFunc) (release func()) {
	held := make(chan struct{})
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.atWork <- struct{}{}
		select {
		case <-held:
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
		<-m.atWork
	}
	return func() {
		close(held)
		for range requests {
			<-done
		}
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestAnEndIsToldFromABrokenConnection: only a process that listens no more has ended,
// and all that was at work there is told once.
func TestAnEndIsToldFromABrokenConnection(t *testing.T) {
	t.Run("connections broke, the process lives", func(t *testing.T) {
		g := NewWithT(t)
		made := playMortal(t)
		made.work(t, 3, abort)()
		g.Expect(made.ends()).To(BeEmpty())
	})
	t.Run("the process ended", func(t *testing.T) {
		g := NewWithT(t)
		made := playMortal(t)
		release := made.work(t, 3, abort)
		g.Expect(made.server.Listener.Close()).To(Succeed())
		release()
		g.Expect(made.ends()).To(Equal([]int{3}))
	})
	t.Run("the process was to end", func(t *testing.T) {
		g := NewWithT(t)
		made := playMortal(t)
		leaving := *made.endpoint.Load()
		leaving.State = roster.Draining
		made.endpoint.Store(&leaving)
		release := made.work(t, 2, abort)
		g.Expect(made.server.Listener.Close()).To(Succeed())
		release()
		g.Expect(made.ends()).To(BeEmpty())
	})
	t.Run("another process listens already, and says so", func(t *testing.T) {
		g := NewWithT(t)
		made := playMortal(t)
		made.work(t, 2, abort)()
		made.handler.Follow(&roster.Endpoint{ID: "i-2", Service: "one", Slots: 4, State: roster.Ready})
		g.Eventually(made.ends).Should(Equal([]int{2}))
	})
}

// TestAnEndIsOneFailure of the back end's version, however many requests were at work: a
// request that ends back ends is no sign of bad software, and neither is that nobody answers
// until the next process has started. A good version was taken back within 2.4 s of its order when a
// harmful request had ended one of its three back ends: three failures of one moment made that
// one faulty. Answers that break off while the process lives are each a failure.
func TestAnEndIsOneFailure(t *testing.T) {
	for name, played := range map[string]struct {
		ends     bool
		failures int64
	}{"the process ended": {true, 1}, "connections broke, the process lives": {false, 4}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			made := playMortal(t)
			made.told = func(told *hop.Request) { told.Usual = &rollout.Usual{} }
			release := made.work(t, 4, abort)
			if played.ends {
				g.Expect(made.server.Listener.Close()).To(Succeed())
			}
			release()
			if played.ends {
				// Nobody is there to be asked until the next one has started.
				g.Expect(made.receive(t.Context()).Code).To(Equal(http.StatusServiceUnavailable))
			}
			g.Expect(made.failures.Load()).To(Equal(played.failures))
		})
	}
}
