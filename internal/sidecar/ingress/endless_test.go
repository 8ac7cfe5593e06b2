package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ingress"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
	"github.com/kestrelstream/kestrelstream/internal/standin/endless"
)

const (
	// earlierID and endlessID are the ids of a request with a whole answer and of one whose answer
	// is a stream.
	earlierID, endlessID = "a", "b"
	earlierAnswer        = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok"
	maxAnswerBytes       = 1 << 20
	// streamDeadline is the time of the request whose answer is a stream.
	streamDeadline = 10 * time.Second
)

// endlessBackend sends a whole answer to the request with the earlier id and a stream for all
// others.
type endlessBackend struct {
	stream endless.Stream

	mu   sync.Mutex // guards all below
	sent int64
	// open is the number of connections on which a stream is being sent.
	open int
}

// dial opens a connection in memory.
func (b *endlessBackend) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go b.serve(server)
	return client, nil
}

func (b *endlessBackend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.Header.Get(vocabulary.RequestID) != earlierID {
			b.send(conn)
			return
		}
		_, _ = io.WriteString(conn, earlierAnswer)
	}
}

func (b *endlessBackend) send(conn net.Conn) {
	b.mu.Lock()
	b.open++
	b.mu.Unlock()
	sent := b.stream.Send(conn)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	b.sent += sent
}

// state returns the number of bytes sent and of connections on which a stream is being sent.
func (b *endlessBackend) state() (sent int64, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent, b.open
}

// rejections records the reasons of rejected answers.
type rejections struct {
	silentObserver

	mu  sync.Mutex // guards all below
	all []forward.Reason
}

func (r *rejections) InvalidAnswer(reason forward.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, reason)
}

func (r *rejections) reasons() []forward.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.all)
}

// streamTest is a handler in front of an endlessBackend.
type streamTest struct {
	*fixture
	backend    *endlessBackend
	rejections *rejections
	logs       *observer.ObservedLogs
}

func newStreamTest(stream endless.Stream) *streamTest {
	core, logs := observer.New(zapcore.InfoLevel)
	test := &streamTest{fixture: &fixture{}, backend: &endlessBackend{stream: stream}, rejections: &rejections{}, logs: logs}
	test.start(func(options *ingress.Options) {
		options.Address, options.Dial = "backend:80", test.backend.dial
		options.Logger, options.Observer = zap.New(core), test.rejections
		options.MaxAnswerBytes = maxAnswerBytes
	})
	test.handler.SetService(&route.Service{Name: "one", HealthPath: "/health"})
	return test
}

// streamed passes the request whose answer is a stream through the handler. It returns the answer,
// whether it was broken off, and the time that it took.
func (s *streamTest) streamed() (got *httptest.ResponseRecorder, aborted bool, elapsed time.Duration) {
	reported := hop.Request{Service: "one", Caller: "two", Remaining: streamDeadline, MaximumWait: time.Second}
	request := httptest.NewRequest(http.MethodPost, "/a/", strings.NewReader("body"))
	request.Header.Set(hop.HeaderHop, reported.Format())
	request.Header.Set(vocabulary.RequestID, endlessID)
	got = httptest.NewRecorder()
	begun := time.Now()
	defer func() {
		elapsed = time.Since(begun)
		aborted = recover() != nil
	}()
	s.handler.ServeHTTP(got, request)
	return got, false, 0
}

// close ends all connections, and with them the streams.
func (s *streamTest) close() {
	s.handler.CloseIdle()
	time.Sleep(time.Second)
}

// rejected returns the fields of the log lines about rejected answers.
func (s *streamTest) rejected() (lines []map[string]any) {
	for _, entry := range s.logs.FilterMessage("answer rejected").All() {
		lines = append(lines, entry.ContextMap())
	}
	return lines
}

// headerLines are the header lines with which streams begin: without and with the request's id, its
// signature and the marker of a request that was not processed.
func headerLines() []string {
	const own, earlier, signed, marked = "Request-Id: b\r\n", "Request-Id: a\r\n", "Signature: s\r\n", "Not-Processed: 1\r\n"
	return []string{"", marked, own + signed, own + marked, earlier + signed, earlier + marked}
}

// TestAnswerHeadWithoutEnd guards against a caller that hears only at its deadline, and against a
// request that is reported as not run, while the back end sends bytes that never become an answer.
func TestAnswerHeadWithoutEnd(t *testing.T) {
	const maxBytes, maxTime = 66 << 10, 2 * time.Second
	for _, lines := range headerLines() {
		for _, stream := range append(endless.NoAnswers(), endless.Heads(lines)...) {
			t.Run(stream.Name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					test := newStreamTest(stream)
					defer test.close()
					g.Expect(test.post(earlierID).Code).To(Equal(http.StatusOK))
					got, aborted, elapsed := test.streamed()
					g.Expect(aborted).To(BeFalse())
					g.Expect(elapsed).To(BeNumerically("<", maxTime))
					g.Expect(got.Header().Get(outcome.HeaderOutcome)).To(BeEquivalentTo(outcome.Unknown))
					if stream.Name != "interim answers" { // of which the recorder keeps the first status
						g.Expect(got.Code).To(Equal(http.StatusBadGateway))
					}
					time.Sleep(time.Second)
					sent, open := test.backend.state()
					g.Expect(open).To(BeZero())
					g.Expect(sent).To(BeNumerically("<", maxBytes))
					g.Expect(test.rejections.reasons()).To(HaveLen(1))
					g.Expect(test.rejected()).To(ConsistOf(And(
						HaveKeyWithValue("request", endlessID), HaveKeyWithValue("endpoint", "i-1"),
						HaveKeyWithValue("reason", string(test.rejections.reasons()[0])),
						HaveKeyWithValue("bytes", BeNumerically("<", maxBytes)), HaveKeyWithValue("elapsed", BeNumerically("<=", elapsed)),
					)))
					g.Expect(test.post(earlierID).Code).To(Equal(http.StatusOK), "the next request is served")
				})
			})
		}
	}
}

// TestEarlierAnswerWithoutEnd guards against a caller that hears only at its deadline while the back
// end sends an endless answer to an earlier request.
func TestEarlierAnswerWithoutEnd(t *testing.T) {
	const maxBytes, maxTime = 2 << 20, time.Second
	for _, lines := range []string{"Request-Id: a\r\nSignature: s\r\n", "Request-Id: a\r\nNot-Processed: 1\r\n"} {
		valid, invalid := endless.Bodies(lines)
		for _, stream := range append(valid, invalid...) {
			t.Run(stream.Name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					test := newStreamTest(stream)
					defer test.close()
					g.Expect(test.post(earlierID).Code).To(Equal(http.StatusOK))
					got, aborted, elapsed := test.streamed()
					g.Expect(aborted).To(BeFalse())
					g.Expect(elapsed).To(BeNumerically("<", maxTime))
					g.Expect(got.Code).To(Equal(http.StatusBadGateway))
					g.Expect(got.Header().Get(outcome.HeaderOutcome)).To(BeEquivalentTo(outcome.Unknown))
					time.Sleep(time.Second)
					sent, open := test.backend.state()
					g.Expect(open).To(BeZero())
					g.Expect(sent).To(BeNumerically("<", maxBytes))
					g.Expect(test.logs.FilterMessage("answer to another request").Len()).To(Equal(1))
				})
			})
		}
	}
}

// TestHealthAnswerWithoutEnd guards against a health check that reads, and logs, an endless answer.
func TestHealthAnswerWithoutEnd(t *testing.T) {
	const maxBytes, maxText, maxTime = 66 << 10, 1 << 10, 400 * time.Millisecond
	const requests = 5 // a health check is sent before the last one
	const lines = "Instance: i-1\r\n"
	valid, invalid := endless.Bodies(lines)
	for _, stream := range slices.Concat(endless.NoAnswers(), endless.Heads(lines), valid, invalid) {
		t.Run(stream.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				test := newStreamTest(stream)
				defer test.close()
				test.handler.SetService(&route.Service{Name: "one", HealthPath: "/health", WarmupRate: 3, WarmupTime: time.Hour})
				test.handler.MarkPossiblyCold()
				for range requests {
					test.post(earlierID)
				}
				time.Sleep(maxTime)
				sent, open := test.backend.state()
				g.Expect(open).To(BeZero())
				g.Expect(sent).To(And(BeNumerically(">", 0), BeNumerically("<", maxBytes)))
				for _, entry := range test.logs.All() {
					for name, value := range entry.ContextMap() {
						g.Expect(len(fmt.Sprint(value))).To(BeNumerically("<", maxText), name)
					}
				}
			})
		})
	}
}

// TestAnswerBodyWithoutEnd guards against an endless body that is read beyond its bounds, unnoticed
// by operators, or that looks whole to the caller.
func TestAnswerBodyWithoutEnd(t *testing.T) {
	const lines = "Request-Id: b\r\nSignature: s\r\n"
	reasons := map[string]forward.Reason{
		"body until close": forward.BodyTooLarge, "body in chunks": forward.BodyTooLarge, "body of a great length": forward.BodyTooLarge,
		"body of single bytes": forward.BodyTooSlow, "chunks of single bytes": forward.BodyTooSlow,
	}
	valid, invalid := endless.Bodies(lines)
	for _, stream := range append(valid, invalid...) {
		t.Run(stream.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				test := newStreamTest(stream)
				defer test.close()
				got, aborted, elapsed := test.streamed()
				if !aborted {
					g.Expect(got.Code).To(Equal(http.StatusBadGateway))
					g.Expect(got.Header().Get(outcome.HeaderOutcome)).To(BeEquivalentTo(outcome.Unknown))
				}
				reason, bounded := reasons[stream.Name]
				if !bounded {
					reason = forward.BodyBroken
				}
				if reason != forward.BodyTooSlow {
					g.Expect(elapsed).To(BeNumerically("<", streamDeadline/2))
				}
				g.Expect(test.rejections.reasons()).To(Equal([]forward.Reason{reason}))
				g.Expect(test.rejected()).To(ConsistOf(And(
					HaveKeyWithValue("request", endlessID), HaveKeyWithValue("endpoint", "i-1"), HaveKeyWithValue("reason", string(reason)),
					HaveKeyWithValue("bytes", BeNumerically("<=", maxAnswerBytes+16<<10)), HaveKeyWithValue("elapsed", BeNumerically("<=", elapsed)),
				)))
				time.Sleep(time.Second)
				sent, open := test.backend.state()
				g.Expect(open).To(BeZero())
				g.Expect(sent).To(BeNumerically("<", maxAnswerBytes+64<<10))
				g.Expect(test.post(earlierID).Code).To(Equal(http.StatusOK), "the next request is served")
			})
		})
	}
}

// TestBytesAfterAnswer guards against bytes after a whole answer that cost a request its answer, or
// that operators do not see.
func TestBytesAfterAnswer(t *testing.T) {
	for _, lines := range []string{"Request-Id: b\r\nSignature: s\r\n", "Request-Id: b\r\nSignature: s\r\nNot-Processed: 1\r\n"} {
		for _, stream := range endless.Surplus(lines) {
			t.Run(stream.Name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					test := newStreamTest(stream)
					defer test.close()
					got, aborted, elapsed := test.streamed()
					g.Expect(aborted).To(BeFalse())
					g.Expect(elapsed).To(BeZero())
					if strings.Contains(lines, vocabulary.NotProcessed) {
						g.Expect(got.Code).To(Equal(http.StatusBadGateway), "a success with the marker contradicts itself")
						g.Expect(got.Header().Get(outcome.HeaderOutcome)).To(BeEquivalentTo(outcome.Unknown))
					} else {
						g.Expect(got.Code).To(Or(Equal(http.StatusOK), Equal(http.StatusNoContent)))
						g.Expect(got.Body.String()).To(Or(Equal("ok"), BeEmpty()))
						time.Sleep(time.Second)
						g.Expect(test.rejections.reasons()).To(Equal([]forward.Reason{forward.Unsolicited}))
						g.Expect(test.rejected()).To(ConsistOf(And(HaveKeyWithValue("endpoint", "i-1"), HaveKeyWithValue("bytes", BeNumerically("<=", 4<<10)))))
					}
					g.Expect(test.post(earlierID).Code).To(Equal(http.StatusOK), "the next request is served")
					time.Sleep(time.Second)
					_, open := test.backend.state()
					g.Expect(open).To(BeZero())
				})
			})
		}
	}
}
