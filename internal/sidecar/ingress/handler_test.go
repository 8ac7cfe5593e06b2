package ingress_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ingress"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

var vocabulary = hop.Vocabulary{
	RequestID: "Request-Id", Deadline: "Deadline", TargetInstance: "Target", InstanceID: "Instance",
	CallerService: "Caller", NotProcessed: "Not-Processed", Signature: "Signature", Tenant: "Tenant",
}

type silentObserver struct{}

func (silentObserver) RequestCompleted(outcome.Outcome, outcome.Step, time.Duration, time.Duration) {}
func (silentObserver) ArrivalNotRun(notrun.Evidence)                                                {}
func (silentObserver) BackendCrashed(int)                                                           {}
func (silentObserver) BackendSent()                                                                 {}
func (silentObserver) NoticeUnreadable()                                                            {}
func (silentObserver) ForeignAnswer()                                                               {}
func (silentObserver) InvalidAnswer(forward.Reason)                                                 {}

// fixture is a handler with a back end whose answers the test sets.
type fixture struct {
	handler *ingress.Handler
	answer  atomic.Pointer[http.HandlerFunc]
	// reported changes the metadata sent by the caller's node, nil for no change.
	reported func(*hop.Request)
	// limit is the header for the rate limit from the caller's node, empty for none.
	limit string
	// routesTo overrides whether a newer configuration routes a request here, nil for always.
	routesTo func(request *http.Request, service string, version uint64) bool
	// evacuated: the zone is being evacuated.
	evacuated atomic.Bool
}

// newFixture returns a handler with the given Contended option, if any. Its configuration allows
// any rate of requests to cold back ends.
func newFixture(t *testing.T, contended ...func() bool) *fixture {
	f := newUnconfigured(t, contended...)
	f.handler.SetService(&route.Service{Name: "one"})
	return f
}

// newUnconfigured is newFixture before a configuration is in force.
func newUnconfigured(t *testing.T, contended ...func() bool) *fixture {
	return newWithOptions(t, func(options *ingress.Options) {
		if len(contended) > 0 {
			options.Contended = contended[0]
		}
	})
}

// newWithOptions is newUnconfigured with changed options.
func newWithOptions(t *testing.T, change func(*ingress.Options)) *fixture {
	f := &fixture{}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*f.answer.Load())(w, r) }))
	t.Cleanup(backend.Close)
	f.start(func(options *ingress.Options) {
		options.Address = backend.Listener.Addr().String()
		change(options)
	})
	return f
}

// start creates the handler with changed options.
func (f *fixture) start(change func(*ingress.Options)) {
	endpoint := &roster.Endpoint{ID: "i-1", Service: "one", Slots: 4, State: roster.Ready}
	options := ingress.Options{
		Vocabulary:         vocabulary,
		Endpoint:           func() *roster.Endpoint { return endpoint },
		OnInstanceMismatch: func(string) {}, Version: func() uint64 { return 1 },
		DrainDelay: func() time.Duration { return time.Second },
		Evacuated:  f.evacuated.Load,
		Dial:       (&net.Dialer{}).DialContext, Logger: zap.NewNop(), Observer: silentObserver{}, Quarantine: newFakeQuarantine(),
		RoutesTo: func(request *http.Request, service string, version uint64) bool {
			return f.routesTo == nil || f.routesTo(request, service, version)
		},
	}
	change(&options)
	f.handler = ingress.New(options)
	f.handler.Follow(endpoint)
}

// send passes one request through the handler and returns the node's state from the reply.
func (f *fixture) send(t *testing.T, ctx context.Context) hop.Reply {
	reply, err := hop.ParseReply(f.receive(ctx).Header().Get(hop.HeaderReply))
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// countRequests makes the back end answer all requests with success and returns their count.
func (f *fixture) countRequests() *atomic.Int64 {
	ran := &atomic.Int64{}
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		signed(http.StatusOK)(w, r)
	})
	f.answer.Store(&answer)
	return ran
}

// receive passes one request through the handler and returns the response.
func (f *fixture) receive(ctx context.Context) *httptest.ResponseRecorder {
	reported := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Second, ExpectedServiceTime: 10 * time.Millisecond}
	if f.reported != nil {
		f.reported(&reported)
	}
	req := httptest.NewRequestWithContext(ctx, http.MethodGet, "/a/", strings.NewReader(""))
	req.Header.Set(hop.HeaderHop, reported.Format())
	if f.limit != "" {
		req.Header.Set(hop.HeaderLimit, f.limit)
	}
	req.Header.Set(vocabulary.RequestID, "r")
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, req)
	return recorder
}

// signed answers like a back end that ran the request.
func signed(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(vocabulary.RequestID, r.Header.Get(vocabulary.RequestID))
		w.Header().Set(vocabulary.Signature, "s")
		w.WriteHeader(status)
	}
}

// rejected answers like a back end that does not process the request.
func rejected(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(vocabulary.RequestID, r.Header.Get(vocabulary.RequestID))
	w.Header().Set(vocabulary.NotProcessed, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// misdirected answers like another back end than the intended one.
func misdirected(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(vocabulary.RequestID, r.Header.Get(vocabulary.RequestID))
	w.Header().Set(vocabulary.InstanceID, "i-2")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// TestFailureRate checks which answers count as failures in the rate reported to other nodes.
func TestFailureRate(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
		failed bool
	}{
		{"a success", signed(http.StatusOK), false},
		{"a client error", signed(http.StatusNotFound), false},
		{"a server error", signed(http.StatusInternalServerError), true},
		{"not processed", rejected, true},
		{"not processed, without an id", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(vocabulary.NotProcessed, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
		{"an answer to another request", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(vocabulary.RequestID, "q") }, true},
		{"another back end's refusal", misdirected, false},
		{"a broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t)
			f.answer.Store(&tc.answer)
			var last hop.Reply
			for range 40 {
				last = f.send(t, t.Context())
			}
			if tc.failed {
				g.Expect(last.FailureRate).To(BeNumerically(">", 0.5))
				return
			}
			g.Expect(last.FailureRate).To(BeZero())
		})
	}
}

// TestCancelledRequests checks that cancelled requests do not count against the back end unless it
// kept them waiting for long.
func TestCancelledRequests(t *testing.T) {
	for wait, failed := range map[time.Duration]bool{0: false, 100 * time.Millisecond: true} {
		g := NewWithT(t)
		f := newFixture(t)
		hanging := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		f.answer.Store(&hanging)
		for range 3 {
			ctx, leave := context.WithTimeout(t.Context(), wait)
			last := f.send(t, ctx)
			leave()
			g.Expect(last.FailureRate > 0).To(Equal(failed))
		}
	}
}

// TestStoppingNodeRejectsNewRequests checks that requests in progress are completed and later ones
// refused.
func TestStoppingNodeRejectsNewRequests(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	begun, finish := make(chan struct{}), make(chan struct{})
	waiting := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-finish
		signed(http.StatusOK)(w, r)
	})
	f.answer.Store(&waiting)
	first := make(chan *httptest.ResponseRecorder)
	go func() { first <- f.receive(t.Context()) }()
	<-begun
	f.handler.RejectNew()
	g.Expect(f.handler.InFlight()).To(Equal(1))
	refused := f.receive(t.Context())
	g.Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(refused.Header().Get(outcome.HeaderOutcome)).To(BeEquivalentTo(outcome.NotRun))
	g.Expect(refused.Header().Get("Retry-After")).NotTo(BeEmpty())
	close(finish)
	g.Expect((<-first).Code).To(Equal(http.StatusOK))
	g.Expect(f.handler.InFlight()).To(BeZero())
}

// watchedBody calls begun on each read.
type watchedBody struct {
	io.Reader
	begun func()
}

func (b *watchedBody) Read(p []byte) (int, error) {
	b.begun()
	return b.Reader.Read(p)
}

// TestLargeBodyIsReceivedBeforeAdmission checks that no slot is held during the transfer of a large
// body.
func TestLargeBodyIsReceivedBeforeAdmission(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		w.Header().Set("Length", strconv.Itoa(len(content)))
		signed(http.StatusOK)(w, r)
	})
	f.answer.Store(&answer)
	for length, running := range map[int]int{100: 1, 60_000: 0, 360_000: 0} {
		reported := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Second, ExpectedServiceTime: 10 * time.Millisecond}
		seen := -1
		body := &watchedBody{Reader: strings.NewReader(strings.Repeat("x", length)), begun: func() {
			if seen < 0 {
				seen = f.handler.Load().Running
			}
		}}
		req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/a/", body)
		req.ContentLength = int64(length)
		req.Header.Set(hop.HeaderHop, reported.Format())
		req.Header.Set(vocabulary.RequestID, "r")
		req.Header.Set("Expect", "100-continue")
		recorder := httptest.NewRecorder()
		f.handler.ServeHTTP(recorder, req)
		g.Expect(recorder.Code).To(Equal(http.StatusOK))
		g.Expect(recorder.Header().Get("Length")).To(Equal(strconv.Itoa(length)))
		g.Expect(seen).To(Equal(running))
	}
}
