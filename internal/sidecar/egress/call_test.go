package egress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quarantine"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/repeats"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// fakeObserver is an Observer that counts unanswered probes only.
type fakeObserver struct{ silent atomic.Int64 }

func (f *fakeObserver) CallEnded(string, int, outcome.Outcome, outcome.Step, time.Duration) {}
func (f *fakeObserver) CallNotRun(notrun.Evidence)                                          {}
func (f *fakeObserver) Sent(string, int)                                                    {}
func (f *fakeObserver) Diverted(string, bool)                                               {}
func (f *fakeObserver) Pipelined()                                                          {}
func (f *fakeObserver) ResponseReceived(time.Duration, time.Duration)                       {}
func (f *fakeObserver) ProbeFailed(string, bool)                                            { f.silent.Add(1) }
func (f *fakeObserver) Recovered(string)                                                    {}
func (f *fakeObserver) Unreachable(string)                                                  {}
func (f *fakeObserver) NewerVersionReported(string, uint64)                                 {}

// peer is a node with a scripted behaviour for each connection.
type peer struct {
	address  string
	bodies   atomic.Int64
	requests atomic.Int64
}

// newPeer starts a peer that runs the script on each connection once the request's header was read.
func newPeer(t *testing.T, script func(p *peer, connection net.Conn, reader *bufio.Reader)) *peer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	created := &peer{address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go created.serve(connection, script)
		}
	}()
	return created
}

// serve runs the script once the header of a request was read.
func (p *peer) serve(connection net.Conn, script func(p *peer, connection net.Conn, reader *bufio.Reader)) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if strings.TrimSpace(line) == "" {
			break
		}
	}
	p.requests.Add(1)
	script(p, connection, reader)
}

const replyOK = "HTTP/1.1 200 OK\r\nKestrel-Reply: 1 0 0 8 50000 1000 1000\r\nContent-Length: 2\r\n\r\nok"

// closeConnection closes the connection before 100 Continue.
func closeConnection(*peer, net.Conn, *bufio.Reader) {}

// continueAndClose receives the body and closes the connection without a response.
func continueAndClose(p *peer, connection net.Conn, reader *bufio.Reader) {
	_, _ = io.WriteString(connection, "HTTP/1.1 100 Continue\r\n\r\n")
	if line, err := reader.ReadString('\n'); err == nil && line != "" {
		p.bodies.Add(1)
	}
}

// continueAndAnswer sends 100 Continue and a response.
func continueAndAnswer(p *peer, connection net.Conn, reader *bufio.Reader) {
	_, _ = io.WriteString(connection, "HTTP/1.1 100 Continue\r\n\r\n")
	if line, err := reader.ReadString('\n'); err == nil && line != "" {
		p.bodies.Add(1)
	}
	_, _ = io.WriteString(connection, replyOK)
}

// answerOK answers a request without a body.
func answerOK(_ *peer, connection net.Conn, _ *bufio.Reader) {
	_, _ = io.WriteString(connection, replyOK)
}

// hang sends nothing until the caller closes the connection.
func hang(_ *peer, _ net.Conn, reader *bufio.Reader) { _, _ = reader.ReadByte() }

func newHandler(t testing.TB, observer Observer, probe Probe, peers ...*peer) *Handler {
	table, err := route.Compile(&route.Document{
		Version: 1,
		Routes: []route.Route{
			{Name: "safe", Host: "h", PathPrefix: "/safe/", Repeatable: true, Attempts: 2, TargetLatency: 200 * time.Millisecond, Targets: []route.Target{{Service: "s", Weight: 1}}},
			{Name: "often", Host: "h", PathPrefix: "/often/", Repeatable: true, Attempts: 4, TargetLatency: 200 * time.Millisecond, Targets: []route.Target{{Service: "s", Weight: 1}}},
			{Name: "once", Host: "h", PathPrefix: "/once/", Attempts: 2, TargetLatency: 200 * time.Millisecond, Targets: []route.Target{{Service: "s", Weight: 1}}},
		},
		Services: []route.Service{{Name: "s"}},
		Limits:   route.Limits{BodyBytes: 64, HeaderBytes: 4096},
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	members := roster.New(roster.Record{Node: "self", Epoch: 1, Zone: "z"})
	for number, member := range peers {
		// The first peer is in the node's zone, so that it is chosen first.
		zone := "other"
		if number == 0 {
			zone = "z"
		}
		members.Merge([]*roster.Record{{
			Node: string(rune('a' + number)), Epoch: 1, Address: member.address, Zone: zone,
			Endpoint: &roster.Endpoint{ID: "i", Service: "s", Slots: 8, State: roster.Ready},
		}})
	}
	created := New(Options{
		Vocabulary: hop.Vocabulary{RequestID: "Request-Id", Deadline: "Deadline-Ms"},
		Table:      func() *route.Table { return table },
		TableAge:   func() time.Duration { return 0 },
		View:       members.View,
		Node:       "self",
		Zone:       "z",
		Caller:     func() string { return "caller" },
		RetryBudget: repeats.New(repeats.Options{
			Node: "self", View: members.View, On: func() bool { return false },
			Limits: func() repeats.Limits { return repeats.Limits{Ratio: 1, Slack: 100, Window: time.Second} },
			Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
		}),
		Weights:  choice.DefaultWeights(),
		Probe:    probe,
		Logger:   zap.NewNop(),
		Observer: observer,
		Quarantine: quarantine.New(quarantine.Options{
			Members: members, Broadcast: func() {}, Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
		}),
	})
	// A process that is paused for a moment must not fail to connect.
	created.targets.options.DialTimeout = testDialTimeout
	t.Cleanup(created.CancelCalls)
	return created
}

// testDialTimeout is longer than the deadline of every call in these tests.
const testDialTimeout = 20 * time.Second

func probeOK(context.Context, *roster.Record) error { return nil }

var errNoAnswer = errors.New("no answer")

func probeFailed(context.Context, *roster.Record) error { return errNoAnswer }

// callThrough sends a request over a real server and returns the status and Retry-After.
func callThrough(t *testing.T, handler *Handler, method, path, body string) (int, string) {
	server := httptest.NewServer(handler)
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After")
}

// Test100Continue: until the node has sent 100 Continue, a non-repeatable request counts as not
// run, whatever happens to the node. After that its outcome is unknown, and it is not sent anywhere
// else.
func Test100Continue(t *testing.T) {
	cases := []struct {
		name          string
		first, second func(*peer, net.Conn, *bufio.Reader)
		body          string
		status        int
		bodies        [2]int64
	}{
		{"closed before 100 Continue, then served", closeConnection, continueAndAnswer, "body\n", 200, [2]int64{0, 1}},
		{"both closed before 100 Continue", closeConnection, closeConnection, "body\n", 503, [2]int64{0, 0}},
		{"closed after 100 Continue", continueAndClose, continueAndAnswer, "body\n", 502, [2]int64{1, 0}},
		{"no body, closed before 100 Continue", closeConnection, continueAndAnswer, "", 200, [2]int64{0, 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			first, second := newPeer(t, test.first), newPeer(t, test.second)
			status, retryAfter := callThrough(t, newHandler(t, &fakeObserver{}, probeOK, first, second), http.MethodPost, "/once/1", test.body)
			g.Expect(status).To(Equal(test.status))
			g.Expect(retryAfter != "").To(Equal(status == http.StatusServiceUnavailable))
			g.Expect([2]int64{first.bodies.Load(), second.bodies.Load()}).To(Equal(test.bodies))
		})
	}
}

// TestSilentPeer: when a node does not answer probes, requests that are repeatable or have not
// received 100 Continue are sent elsewhere long before their deadline.
func TestSilentPeer(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			g := NewWithT(t)
			second, path, body := answerOK, "/safe/1", ""
			if method == http.MethodPost {
				second, path, body = continueAndAnswer, "/once/1", "body\n"
			}
			observer := &fakeObserver{}
			silent := &scriptedProbe{missed: math.MaxInt64}
			status, _ := callThrough(t, newHandler(t, observer, silent.probe, newPeer(t, hang), newPeer(t, second)), method, path, body)
			g.Expect(status).To(Equal(http.StatusOK))
			g.Expect(observer.silent.Load()).To(BeNumerically(">", 0))
		})
	}
}

// refuse answers that the request has not run.
func refuse(_ *peer, connection net.Conn, _ *bufio.Reader) {
	_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\n"+
		outcome.HeaderOutcome+": not-run\r\n"+outcome.HeaderError+": step=admit\r\nContent-Length: 0\r\n\r\n")
}

// after runs the script once the condition holds.
func after(condition func() bool, script func(*peer, net.Conn, *bufio.Reader)) func(*peer, net.Conn, *bufio.Reader) {
	return func(p *peer, connection net.Conn, reader *bufio.Reader) {
		const look, most = time.Millisecond, 20 * time.Second
		for began := time.Now(); !condition() && time.Since(began) < most; time.Sleep(look) {
		}
		script(p, connection, reader)
	}
}

// scriptedProbe does not answer the first probes of node a.
type scriptedProbe struct {
	missed int64
	asked  atomic.Int64
}

func (p *scriptedProbe) probe(ctx context.Context, record *roster.Record) error {
	if record.Node == "a" && p.asked.Add(1) <= p.missed {
		return probeFailed(ctx, record)
	}
	return nil
}

// recovered reports whether a probe was answered, so that all missed ones have been handled.
func (p *scriptedProbe) recovered() bool { return p.asked.Load() > p.missed }

// TestSuspectedPeerAnswers: a suspected node keeps the request that it processes, as the node that
// probes may be the slow one. Meanwhile a repeatable request is also tried elsewhere.
func TestSuspectedPeerAnswers(t *testing.T) {
	consents := func(p *peer, connection net.Conn, reader *bufio.Reader) {
		_, _ = io.WriteString(connection, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = reader.ReadString('\n')
	}
	cases := []struct {
		name, method, path, body string
		// first is the behaviour of the suspected node before it answers, nil when it never
		// answers.
		first, second func(*peer, net.Conn, *bufio.Reader)
		missed        int64
		status        int
		asked         int64
	}{
		{"repeatable, refused elsewhere", http.MethodGet, "/safe/1", "", noop, refuse, 1, 200, 1},
		{"repeatable, served elsewhere", http.MethodGet, "/safe/1", "", noop, answerOK, 1, 200, 1},
		{"repeatable with a body, refused elsewhere", http.MethodPost, "/safe/1", "body\n", noop, refuse, 1, 200, 1},
		{"not repeatable, being processed", http.MethodPost, "/once/1", "body\n", consents, continueAndAnswer, 1, 200, 0},
		{"abandoned, refused elsewhere", http.MethodGet, "/safe/1", "", nil, refuse, abandonAfterProbes, 502, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			asked := &scriptedProbe{missed: test.missed}
			second := newPeer(t, test.second)
			acted := func() bool { return asked.recovered() && second.requests.Load() >= test.asked }
			first := newPeer(t, func(p *peer, connection net.Conn, reader *bufio.Reader) {
				if test.first == nil {
					hang(p, connection, reader)
					return
				}
				test.first(p, connection, reader)
				after(acted, answerOK)(p, connection, reader)
			})
			handler := newHandler(t, &fakeObserver{}, asked.probe, first, second)
			status, _ := callThrough(t, handler, test.method, test.path, test.body)
			g.Expect(status).To(Equal(test.status))
			g.Expect(second.requests.Load()).To(Equal(test.asked))
		})
	}
}

// noop does nothing.
func noop(*peer, net.Conn, *bufio.Reader) {}

// TestStoppingNodeAbandonsNothing: during its planned stop a node waits for the answer of a peer
// that does not answer probes.
func TestStoppingNodeAbandonsNothing(t *testing.T) {
	for stopping, want := range map[bool]int{true: http.StatusOK, false: http.StatusBadGateway} {
		g := NewWithT(t)
		asked := &scriptedProbe{missed: abandonAfterProbes}
		handler := newHandler(t, &fakeObserver{}, asked.probe, newPeer(t, after(asked.recovered, answerOK)), newPeer(t, refuse))
		if stopping {
			handler.Stop()
		}
		status, _ := callThrough(t, handler, http.MethodGet, "/safe/1", "")
		g.Expect(status).To(Equal(want))
	}
}

// TestSlowPeerKeepsRequests: a slow node that answers probes keeps its requests.
func TestSlowPeerKeepsRequests(t *testing.T) {
	g := NewWithT(t)
	slow := newPeer(t, func(_ *peer, connection net.Conn, _ *bufio.Reader) {
		time.Sleep(600 * time.Millisecond)
		_, _ = io.WriteString(connection, replyOK)
	})
	other := newPeer(t, answerOK)
	observer := &fakeObserver{}
	status, _ := callThrough(t, newHandler(t, observer, probeOK, slow, other), http.MethodGet, "/safe/1", "")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(other.requests.Load()).To(BeZero())
	g.Expect(observer.silent.Load()).To(BeZero())
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		status                   int
	}{
		{"no route", http.MethodGet, "/none/", "", 404},
		{"body too large", http.MethodPost, "/once/1", strings.Repeat("x", 65), 413},
		{"no back end", http.MethodGet, "/safe/1", "", 503},
	}
	for _, refused := range cases {
		t.Run(refused.name, func(t *testing.T) {
			g := NewWithT(t)
			status, retryAfter := callThrough(t, newHandler(t, &fakeObserver{}, probeOK), refused.method, refused.path, refused.body)
			g.Expect(status).To(Equal(refused.status))
			g.Expect(retryAfter != "").To(Equal(status == http.StatusServiceUnavailable))
		})
	}
}

// TestHeaderBytes compares the computed length with that of the header as sent.
func TestHeaderBytes(t *testing.T) {
	for _, raw := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a%20b/?c=d HTTP/1.1\r\nHost: some.example:80\r\nX-One: 1\r\nX-One: 22\r\nRequest-Id: abc\r\nContent-Length: 0\r\n\r\n",
	} {
		g := NewWithT(t)
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(headerBytes(request)).To(Equal(len(raw)))
	}
}

// TestHeaderLimit: headers longer than the configured limit are refused.
func TestHeaderLimit(t *testing.T) {
	g := NewWithT(t)
	server := newPeer(t, func(_ *peer, connection net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(connection, replyOK) })
	handler := newHandler(t, &fakeObserver{}, probeOK, server)
	for length, want := range map[int]int{100: http.StatusOK, 5000: http.StatusRequestHeaderFieldsTooLarge} {
		request := httptest.NewRequest(http.MethodGet, "/safe/", nil)
		request.Host = "h"
		request.Header.Set("Long", strings.Repeat("x", length))
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		g.Expect(recorder.Code).To(Equal(want))
	}
}
