package pipelining_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/httpserver"
	"github.com/kestrelstream/kestrelstream/internal/pipelining"
)

// server serves requests for /free/ concurrently and all others in order. The test
// controls when each request is answered.
type server struct {
	t       *testing.T
	address string
	// begun receives the path of each request that starts, cancelled that of each
	// request whose context ends.
	begun, cancelled chan string
	early            atomic.Int64
	// long holds the paths whose answers were too long to be held.
	long sync.Map

	mu     sync.Mutex // guards answer
	answer map[string]chan func(http.ResponseWriter)
}

func startServer(t *testing.T) *server { return startServerWith(t, nil) }

func startServerWith(t *testing.T, closeGently func() bool) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	created := &server{
		t: t, address: listener.Addr().String(), begun: make(chan string, 64), cancelled: make(chan string, 64),
		answer: map[string]chan func(http.ResponseWriter){},
	}
	options := &pipelining.Options{
		Ahead: func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/free/") },
		Begun: func() func() {
			created.early.Add(1)
			return func() { created.early.Add(-1) }
		},
		ExceedsHold: func(r *http.Request) bool {
			_, seen := created.long.Load(r.URL.Path)
			return seen
		},
		OnExceedsHold: func(r *http.Request) { created.long.Store(r.URL.Path, true) },
	}
	served := httpserver.New("test", listener, created, httpserver.Limits{Pipelining: options, CloseGently: closeGently}, zap.NewNop())
	go func() { _ = served.Serve() }()
	t.Cleanup(func() {
		ended, end := context.WithCancel(context.Background())
		end()
		_ = served.Stop(ended)
	})
	return created
}

func (s *server) pendingAnswer(path string) chan func(http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer[path] == nil {
		s.answer[path] = make(chan func(http.ResponseWriter), 1)
	}
	return s.answer[path]
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.begun <- r.URL.Path
	select {
	case answer := <-s.pendingAnswer(r.URL.Path):
		answer(w)
	case <-r.Context().Done():
		s.cancelled <- r.URL.Path
	}
}

// release lets the handler answer a request with its path.
func (s *server) release(path string) {
	s.releaseWith(path, func(w http.ResponseWriter) { _, _ = io.WriteString(w, path) })
}

func (s *server) releaseWith(path string, answer func(http.ResponseWriter)) {
	s.pendingAnswer(path) <- answer
}

// awaitBegun waits for the given number of requests to start and returns their paths.
func (s *server) awaitBegun(count int) []string {
	var begun []string
	for range count {
		var path string
		NewWithT(s.t).EventuallyWithOffset(1, s.begun, "10s").Should(Receive(&path))
		begun = append(begun, path)
	}
	return begun
}

// client is a client with one connection.
type client struct {
	net.Conn
	g      Gomega
	reader *bufio.Reader
}

func (s *server) connect() *client {
	opened, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = opened.Close() })
	return &client{Conn: opened, g: NewWithT(s.t), reader: bufio.NewReader(opened)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func (c *client) send(requests ...string) { _, _ = io.WriteString(c, strings.Join(requests, "")) }

// receive reads one answer and returns its body as well.
func (c *client) receive() (*http.Response, string) {
	response, err := http.ReadResponse(c.reader, nil)
	c.g.ExpectWithOffset(1, err).NotTo(HaveOccurred())
	content, err := io.ReadAll(response.Body)
	c.g.ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return response, string(content)
}

func (c *client) expect(bodies ...string) {
	for _, body := range bodies {
		_, content := c.receive()
		c.g.ExpectWithOffset(1, content).To(Equal(body))
	}
}

// TestRequestsRunConcurrently checks that the requests of a connection run concurrently and are
// answered in order of arrival, whichever ends first.
func TestRequestsRunConcurrently(t *testing.T) {
	cases := []struct {
		name string
		send func(c *client, s *server)
	}{
		{"in one write", func(c *client, _ *server) { c.send(get("/free/1"), get("/free/2"), get("/free/3")) }},
		{"one after the other", func(c *client, s *server) {
			for number := range 3 {
				c.send(get(fmt.Sprintf("/free/%d", number+1)))
				s.begun <- <-s.begun // the next one is sent once this one has started
			}
		}},
		{"split within a header", func(c *client, s *server) {
			c.send(get("/free/1") + "GET /free/2 HT")
			s.begun <- <-s.begun
			c.send("TP/1.1\r\nHost: h\r\n\r\n" + get("/free/3"))
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			served := startServer(t)
			connected := served.connect()
			test.send(connected, served)
			NewWithT(t).Expect(served.awaitBegun(3)).To(ConsistOf("/free/1", "/free/2", "/free/3"))
			for _, path := range []string{"/free/3", "/free/2", "/free/1"} {
				served.release(path)
			}
			connected.expect("/free/1", "/free/2", "/free/3")
			// The connection remains usable.
			connected.send(get("/turn/4"))
			served.release("/turn/4")
			connected.expect("/turn/4")
			NewWithT(t).Eventually(served.early.Load).Should(BeZero())
		})
	}
}

// TestOrderedRequestsWait checks that a request that must not run concurrently waits for the
// earlier ones, and that all later ones wait for it.
func TestOrderedRequestsWait(t *testing.T) {
	post := "POST /turn/b HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\n" + strings.Repeat("GET / HT\r\n", 3)
	chunked := "POST /turn/b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	cases := map[string]string{
		"not allowed early":    get("/turn/b"),
		"with a body":          post,
		"chunked body":         chunked,
		"expects 100-continue": "GET /free/b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n",
	}
	for name, second := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			served := startServer(t)
			connected := served.connect()
			connected.send(get("/free/a"), second, get("/free/c"))
			g.Expect(served.awaitBegun(1)).To(Equal([]string{"/free/a"}))
			g.Consistently(served.begun, "50ms").ShouldNot(Receive())
			served.release("/free/a")
			connected.expect("/free/a")
			path := served.awaitBegun(1)[0]
			g.Expect(path).To(HaveSuffix("/b"))
			g.Consistently(served.begun, "50ms").ShouldNot(Receive())
			served.release(path)
			connected.expect(path)
			g.Expect(served.awaitBegun(1)).To(Equal([]string{"/free/c"}))
			served.release("/free/c")
			connected.expect("/free/c")
		})
	}
}

// TestBufferedAnswersAreComplete checks the status, header, long body and trailers of an answer
// that was written before the server served the request.
func TestBufferedAnswersAreComplete(t *testing.T) {
	g := NewWithT(t)
	served := startServer(t)
	connected := served.connect()
	connected.send(get("/free/1"), get("/free/2"))
	served.awaitBegun(2)
	long := strings.Repeat("0123456789", 30_000)
	served.releaseWith("/free/2", func(w http.ResponseWriter) {
		w.Header().Set("X-Kept", "yes")
		w.Header().Set("Trailer", "X-End")
		w.WriteHeader(http.StatusEarlyHints)
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, long)
		_ = http.NewResponseController(w).Flush()
		w.Header().Set("X-End", "whole")
	})
	served.release("/free/1")
	connected.expect("/free/1")
	response, content := connected.receive()
	g.Expect(response.StatusCode).To(Equal(http.StatusTeapot))
	g.Expect(response.Header.Get("X-Kept")).To(Equal("yes"))
	g.Expect(response.Trailer.Get("X-End")).To(Equal("whole"))
	g.Expect(content).To(Equal(long))
}

// TestAbortedAnswerClosesConnection aborts the answer of an early request before the server
// serves the request. No request has started behind it.
func TestAbortedAnswerClosesConnection(t *testing.T) {
	served := startServer(t)
	connected := served.connect()
	connected.send(get("/free/1"), get("/free/2"))
	served.awaitBegun(2)
	served.releaseWith("/free/2", func(w http.ResponseWriter) {
		w.Header().Set("Content-Length", "9")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	})
	served.release("/free/1")
	connected.expect("/free/1")
	response, err := http.ReadResponse(connected.reader, nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	connected.g.Expect(err).To(HaveOccurred())
	connected.g.Eventually(served.early.Load).Should(BeZero())
}

// TestConnectionStaysOpenForEarlyRequests checks that "Connection: close" of an answer is not
// applied while later requests have started early.
func TestConnectionStaysOpenForEarlyRequests(t *testing.T) {
	closes := func(path string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, path)
		}
	}
	served := startServer(t)
	connected := served.connect()
	connected.send(get("/free/1"), get("/free/2"), get("/free/3"))
	served.awaitBegun(3)
	for _, path := range []string{"/free/1", "/free/2", "/free/3"} {
		served.releaseWith(path, closes(path))
	}
	connected.expect("/free/1", "/free/2")
	response, _ := connected.receive()
	connected.g.Expect(response.Close).To(BeTrue())
}

// TestClientDisconnectCancelsRequests checks that a disconnect cancels all requests of the
// connection.
func TestClientDisconnectCancelsRequests(t *testing.T) {
	served := startServer(t)
	connected := served.connect()
	connected.send(get("/free/1"), get("/free/2"), get("/free/3"))
	served.awaitBegun(3)
	_ = connected.Close()
	var cancelled []string
	for range 3 {
		cancelled = append(cancelled, <-served.cancelled)
	}
	connected.g.Expect(cancelled).To(ConsistOf("/free/1", "/free/2", "/free/3"))
	connected.g.Eventually(served.early.Load).Should(BeZero())
}

// TestManyRequests checks that each of many pipelined requests receives its own answer.
func TestManyRequests(t *testing.T) {
	const requests = 400
	served := startServer(t)
	connected := served.connect()
	go func() {
		for number := range requests {
			connected.send(get(fmt.Sprintf("/free/%d", number)))
		}
	}()
	go func() {
		for range requests {
			served.release(<-served.begun)
		}
	}()
	for number := range requests {
		connected.expect(fmt.Sprintf("/free/%d", number))
	}
}

// TestEarlyRequestLimit checks that requests beyond the limit start early once earlier ones are
// answered, and so do those after a request that had to be answered in order.
func TestEarlyRequestLimit(t *testing.T) {
	served := startServer(t)
	connected := served.connect()
	var sent []string
	for number := range 12 {
		sent = append(sent, get(fmt.Sprintf("/free/%02d", number)))
	}
	connected.send(append(sent, get("/turn/12"), get("/free/13"), get("/free/14"))...)
	// The first is served by the server, eight are started early.
	begun := served.awaitBegun(9)
	connected.g.Expect(begun).NotTo(ContainElement("/free/09"))
	served.release("/free/00")
	connected.expect("/free/00")
	connected.g.Expect(served.awaitBegun(1)).To(Equal([]string{"/free/09"}))
	for number := 1; number < 12; number++ {
		served.release(fmt.Sprintf("/free/%02d", number))
	}
	for number := 1; number < 12; number++ {
		connected.expect(fmt.Sprintf("/free/%02d", number))
	}
	connected.g.Expect(served.awaitBegun(3)).To(ConsistOf("/free/10", "/free/11", "/turn/12"))
	served.release("/turn/12")
	connected.expect("/turn/12")
	connected.g.Expect(served.awaitBegun(2)).To(ConsistOf("/free/13", "/free/14"))
	served.release("/free/14")
	served.release("/free/13")
	connected.expect("/free/13", "/free/14")
}

// TestMalformedRequestsAreRejected checks that the server still answers malformed headers with
// status 400.
func TestMalformedRequestsAreRejected(t *testing.T) {
	served := startServer(t)
	for _, sent := range []string{"GET / HTTP/1.1\r\nHost: h\r\nno field\r\n\r\n", "nonsense\r\n\r\n"} {
		connected := served.connect()
		connected.send(sent)
		response, _ := connected.receive()
		connected.g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	}
}
