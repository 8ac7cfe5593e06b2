package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

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
func (silentObserver) BackendCrashed(int)                                                           {}
func (silentObserver) BackendSent()                                                                 {}
func (silentObserver) NoticeUnreadable()                                                            {}

// played is a handler with a back end that answers as it is told.
type played struct {
	handler *ingress.Handler
	answer  atomic.Pointer[http.HandlerFunc]
	// told changes what the caller's node tells, nil for nothing.
	told func(*hop.Request)
	// limit is what the caller's node knows of the back end's limit, empty for nothing.
	limit string
	// serves says whether a newer configuration leads a request here, nil for always.
	serves func(request *http.Request, service string, version uint64) bool
	// emptied: the zone is to take nothing.
	emptied atomic.Bool
}

// play returns a handler whose requests compete for room when the function, if there is one, says so. Its
// configuration says that back ends bear anything while they are cold.
func play(t *testing.T, contended ...func() bool) *played {
	made := playUnconfigured(t, contended...)
	made.handler.SetService(&route.Service{Name: "one"})
	return made
}

// playUnconfigured is play before a configuration came.
func playUnconfigured(t *testing.T, contended ...func() bool) *played {
	return playWith(t, func(options *ingress.Options) {
		if len(contended) > 0 {
			options.Contended = contended[0]
		}
	})
}

// playWith is playUnconfigured with changed options.
func playWith(t *testing.T, change func(*ingress.Options)) *played {
	made := &played{}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*made.answer.Load())(w, r) }))
	t.Cleanup(backend.Close)
	endpoint := &roster.Endpoint{ID: "i-1", Service: "one", Slots: 4, State: roster.Ready}
	options := ingress.Options{
		Vocabulary: vocabulary, Address: backend.Listener.Addr().String(),
		Endpoint:           func() *roster.Endpoint { return endpoint },
		OnInstanceMismatch: func(string) {}, Version: func() uint64 { return 1 },
		DrainDelay: func() time.Duration { return time.Second },
		Evacuated:  made.emptied.Load,
		Dial:       (&net.Dialer{}).DialContext, Logger: zap.NewNop(), Observer: silentObserver{}, Quarantine: newScripted(),
		RoutesTo: func(request *http.Request, service string, version uint64) bool {
			return made.serves == nil || made.serves(request, service, version)
		},
	}
	change(&options)
	made.handler = ingress.New(options)
	made.handler.Follow(endpoint)
	return made
}

// send passes one request through the handler and returns what the node says of
// itself with the reply.
func (p *played) send(t *testing.T, ctx context.Context) hop.Reply {
	reply, err := hop.ParseReply(p.receive(ctx).Header().Get(hop.HeaderReply))
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// counts has the back end answer every request with success, and counts them.
func (p *played) counts() *atomic.Int64 {
	ran := &atomic.Int64{}
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		signed(http.StatusOK)(w, r)
	})
	p.answer.Store(&answer)
	return ran
}

// receive passes one request through the handler and returns the answer.
func (p *played) receive(ctx context.Context) *httptest.ResponseRecorder {
	told := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Second, ExpectedServiceTime: 10 * time.Millisecond}
	if p.told != nil {
		p.told(&told)
	}
	req := httptest.NewRequestWithContext(ctx, http.MethodGet, "/a/", strings.NewReader(""))
	req.Header.Set(hop.HeaderHop, told.Format())
	if p.limit != "" {
		req.Header.Set(hop.HeaderLimit, p.limit)
	}
	req.Header.Set(vocabulary.RequestID, "r")
	recorder := httptest.NewRecorder()
	p.handler.ServeHTTP(recorder, req)
	return recorder
}

// signed answers as a back end does that ran the request.
func signed(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(vocabulary.RequestID, r.Header.Get(vocabulary.RequestID))
		w.Header().Set(vocabulary.Signature, "s")
		w.WriteHeader(status)
	}
}

// TestTheShareOfFailures: what counts against a back end, as peers are told.
func TestTheShareOfFailures(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
		failed bool
	}{
		{"a success", signed(http.StatusOK), false},
		{"a refusal of the request itself", signed(http.StatusNotFound), false},
		{"a failure of its own", signed(http.StatusInternalServerError), true},
		{"not processed", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(vocabulary.NotProcessed, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
		{"an answer to another request", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(vocabulary.RequestID, "q") }, true},
		{"another back end's refusal", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(vocabulary.InstanceID, "i-2")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}, false},
		{"a broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
	}
	for _, held := range cases {
		t.Run(held.name, func(t *testing.T) {
			g := NewWithT(t)
			made := play(t)
			made.answer.Store(&held.answer)
			var last hop.Reply
			for range 40 {
				last = made.send(t, t.Context())
			}
			if held.failed {
				g.Expect(last.FailureRate).To(BeNumerically(">", 0.5))
				return
			}
			g.Expect(last.FailureRate).To(BeZero())
		})
	}
}

// TestCallersThatLeave say nothing of the back end, unless it kept them waiting
// for long.
func TestCallersThatLeave(t *testing.T) {
	for wait, failed := range map[time.Duration]bool{0: false, 100 * time.Millisecond: true} {
		g := NewWithT(t)
		made := play(t)
		hanging := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		made.answer.Store(&hanging)
		for range 3 {
			ctx, leave := context.WithTimeout(t.Context(), wait)
			last := made.send(t, ctx)
			leave()
			g.Expect(last.FailureRate > 0).To(Equal(failed))
		}
	}
}

// TestAStoppingNodeTakesNothing that comes after it refuses, and finishes what
// came before.
func TestAStoppingNodeTakesNothing(t *testing.T) {
	g := NewWithT(t)
	made := play(t)
	begun, finish := make(chan struct{}), make(chan struct{})
	waiting := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-finish
		signed(http.StatusOK)(w, r)
	})
	made.answer.Store(&waiting)
	first := make(chan *httptest.ResponseRecorder)
	go func() { first <- made.receive(t.Context()) }()
	<-begun
	made.handler.RejectNew()
	g.Expect(made.handler.InFlight()).To(Equal(1))
	refused := made.receive(t.Context())
	g.Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(refused.Header().Get(outcome.HeaderOutcome)).To(BeEquivalentTo(outcome.NotRun))
	g.Expect(refused.Header().Get("Retry-After")).NotTo(BeEmpty())
	close(finish)
	g.Expect((<-first).Code).To(Equal(http.StatusOK))
	g.Expect(made.handler.InFlight()).To(BeZero())
}

// watchedBody tells each time it is read.
type watchedBody struct {
	io.Reader
	begun func()
}

func (b *watchedBody) Read(p []byte) (int, error) {
	b.begun()
	return b.Reader.Read(p)
}

// TestALargeBodyHoldsNoSlotWhileItComes: the body of an upload is received before a
// slot is taken, so that the link's time is not the back end's.
func TestALargeBodyHoldsNoSlotWhileItComes(t *testing.T) {
	g := NewWithT(t)
	made := play(t)
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		w.Header().Set("Length", strconv.Itoa(len(content)))
		signed(http.StatusOK)(w, r)
	})
	made.answer.Store(&answer)
	for length, running := range map[int]int{100: 1, 60_000: 0, 360_000: 0} {
		told := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Second, ExpectedServiceTime: 10 * time.Millisecond}
		seen := -1
		body := &watchedBody{Reader: strings.NewReader(strings.Repeat("x", length)), begun: func() {
			if seen < 0 {
				seen = made.handler.Load().Running
			}
		}}
		req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/a/", body)
		req.ContentLength = int64(length)
		req.Header.Set(hop.HeaderHop, told.Format())
		req.Header.Set(vocabulary.RequestID, "r")
		req.Header.Set("Expect", "100-continue")
		recorder := httptest.NewRecorder()
		made.handler.ServeHTTP(recorder, req)
		g.Expect(recorder.Code).To(Equal(http.StatusOK))
		g.Expect(recorder.Header().Get("Length")).To(Equal(strconv.Itoa(length)))
		g.Expect(seen).To(Equal(running))
	}
}

// TestACallerThatHasLeft: a request whose caller closed the connection before the
// node came to read it is not passed on (finding 0009).
func TestACallerThatHasLeft(t *testing.T) {
	g := NewWithT(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	made := play(t)
	arrived := made.counts()
	// A request before has a connection to the back end ready.
	made.send(t, t.Context())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	told := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Second}
	const callers = 20
	for range callers {
		connection, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(connection, "GET /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n%s: %s\r\n\r\n", hop.HeaderHop, told.Format())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(connection.Close()).To(Succeed())
	}
	ended := make(chan struct{}, callers)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { ended <- struct{}{} }()
		made.handler.ServeHTTP(w, r)
	})}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	for range callers {
		g.Eventually(ended).WithTimeout(10 * time.Second).Should(Receive())
	}
	g.Expect(arrived.Load()).To(BeEquivalentTo(1), "but the first")
}
