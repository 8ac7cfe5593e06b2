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

// server serves /free/ side by side and everything else in turn. The test says
// when each request is answered.
type server struct {
	t       *testing.T
	address string
	// begun is told of each request that is begun, gone of each whose client left.
	begun, gone chan string
	running     atomic.Int64

	mu     sync.Mutex // guards answer
	answer map[string]chan func(http.ResponseWriter)
}

func start(t *testing.T) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	created := &server{
		t: t, address: listener.Addr().String(), begun: make(chan string, 64), gone: make(chan string, 64),
		answer: map[string]chan func(http.ResponseWriter){},
	}
	options := &pipelining.Options{
		Ahead: func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/free/") },
		Begun: func() func() {
			created.running.Add(1)
			return func() { created.running.Add(-1) }
		},
	}
	served := httpserver.New("test", listener, created, httpserver.Limits{Pipelining: options}, zap.NewNop())
	go func() { _ = served.Serve() }()
	t.Cleanup(func() {
		ended, end := context.WithCancel(context.Background())
		end()
		_ = served.Stop(ended)
	})
	return created
}

func (s *server) slot(path string) chan func(http.ResponseWriter) {
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
	case answer := <-s.slot(r.URL.Path):
		answer(w)
	case <-r.Context().Done():
		s.gone <- r.URL.Path
	}
}

// allow has a request answered with its path.
func (s *server) allow(path string) {
	s.allowWith(path, func(w http.ResponseWriter) { _, _ = io.WriteString(w, path) })
}

func (s *server) allowWith(path string, answer func(http.ResponseWriter)) { s.slot(path) <- answer }

// awaitBegun returns the next requests that are begun.
func (s *server) awaitBegun(count int) []string {
	var begun []string
	for range count {
		var path string
		NewWithT(s.t).EventuallyWithOffset(1, s.begun, "10s").Should(Receive(&path))
		begun = append(begun, path)
	}
	return begun
}

// client is one connection.
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

// receive reads one answer.
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

// TestSideBySide: all requests of a connection are under way at once, and are
// answered in the order in which they came whichever ends first.
func TestSideBySide(t *testing.T) {
	cases := []struct {
		name string
		send func(c *client, s *server)
	}{
		{"in one piece", func(c *client, _ *server) { c.send(get("/free/1"), get("/free/2"), get("/free/3")) }},
		{"one after the other", func(c *client, s *server) {
			for number := range 3 {
				c.send(get(fmt.Sprintf("/free/%d", number+1)))
				s.begun <- <-s.begun // the next is sent when this one is under way
			}
		}},
		{"cut inside of a head", func(c *client, s *server) {
			c.send(get("/free/1") + "GET /free/2 HT")
			s.begun <- <-s.begun
			c.send("TP/1.1\r\nHost: h\r\n\r\n" + get("/free/3"))
		}},
	}
	for _, played := range cases {
		t.Run(played.name, func(t *testing.T) {
			served := start(t)
			connected := served.connect()
			played.send(connected, served)
			NewWithT(t).Expect(served.awaitBegun(3)).To(ConsistOf("/free/1", "/free/2", "/free/3"))
			for _, path := range []string{"/free/3", "/free/2", "/free/1"} {
				served.allow(path)
			}
			connected.expect("/free/1", "/free/2", "/free/3")
			// The connection goes on.
			connected.send(get("/turn/4"))
			served.allow("/turn/4")
			connected.expect("/turn/4")
			NewWithT(t).Eventually(served.running.Load).Should(BeZero())
		})
	}
}

// TestInTurn: what may not overtake waits, and so does all behind it.
func TestInTurn(t *testing.T) {
	post := "POST /turn/b HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\n" + strings.Repeat("GET / HT\r\n", 3)
	chunked := "POST /turn/b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	cases := map[string]string{
		"not to be overtaken":   get("/turn/b"),
		"with a body":           post,
		"a body without length": chunked,
		"consent is asked":      "GET /free/b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n",
	}
	for name, second := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			served := start(t)
			connected := served.connect()
			connected.send(get("/free/a"), second, get("/free/c"))
			g.Expect(served.awaitBegun(1)).To(Equal([]string{"/free/a"}))
			g.Consistently(served.begun, "50ms").ShouldNot(Receive())
			served.allow("/free/a")
			connected.expect("/free/a")
			path := served.awaitBegun(1)[0]
			g.Expect(path).To(HaveSuffix("/b"))
			g.Consistently(served.begun, "50ms").ShouldNot(Receive())
			served.allow(path)
			connected.expect(path)
			g.Expect(served.awaitBegun(1)).To(Equal([]string{"/free/c"}))
			served.allow("/free/c")
			connected.expect("/free/c")
		})
	}
}

// TestAnswersStayWhole: status, header, long bodies and trailers of an answer that
// was ready before its turn.
func TestAnswersStayWhole(t *testing.T) {
	g := NewWithT(t)
	served := start(t)
	connected := served.connect()
	connected.send(get("/free/1"), get("/free/2"))
	served.awaitBegun(2)
	long := strings.Repeat("0123456789", 30_000)
	served.allowWith("/free/2", func(w http.ResponseWriter) {
		w.Header().Set("X-Kept", "yes")
		w.Header().Set("Trailer", "X-End")
		w.WriteHeader(http.StatusEarlyHints)
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, long)
		_ = http.NewResponseController(w).Flush()
		w.Header().Set("X-End", "whole")
	})
	served.allow("/free/1")
	connected.expect("/free/1")
	response, content := connected.receive()
	g.Expect(response.StatusCode).To(Equal(http.StatusTeapot))
	g.Expect(response.Header.Get("X-Kept")).To(Equal("yes"))
	g.Expect(response.Trailer.Get("X-End")).To(Equal("whole"))
	g.Expect(content).To(Equal(long))
}

// TestABrokenAnswerEndsTheConnection also when it broke before its turn.
func TestABrokenAnswerEndsTheConnection(t *testing.T) {
	served := start(t)
	connected := served.connect()
	connected.send(get("/free/1"), get("/free/2"), get("/free/3"))
	served.awaitBegun(3)
	served.allowWith("/free/2", func(w http.ResponseWriter) {
		w.Header().Set("Content-Length", "9")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	})
	served.allow("/free/1")
	connected.expect("/free/1")
	response, err := http.ReadResponse(connected.reader, nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	connected.g.Expect(err).To(HaveOccurred())
	connected.g.Eventually(served.running.Load).Should(BeZero())
}

// TestAnAnswerKeepsTheConnectionForThoseBehind although it wants to close it.
func TestAnAnswerKeepsTheConnectionForThoseBehind(t *testing.T) {
	closes := func(path string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, path)
		}
	}
	served := start(t)
	connected := served.connect()
	connected.send(get("/free/1"), get("/free/2"), get("/free/3"))
	served.awaitBegun(3)
	for _, path := range []string{"/free/1", "/free/2", "/free/3"} {
		served.allowWith(path, closes(path))
	}
	connected.expect("/free/1", "/free/2")
	response, _ := connected.receive()
	connected.g.Expect(response.Close).To(BeTrue())
}

// TestAClientThatLeaves ends all of its requests.
func TestAClientThatLeaves(t *testing.T) {
	served := start(t)
	connected := served.connect()
	connected.send(get("/free/1"), get("/free/2"), get("/free/3"))
	served.awaitBegun(3)
	_ = connected.Close()
	var gone []string
	for range 3 {
		gone = append(gone, <-served.gone)
	}
	connected.g.Expect(gone).To(ConsistOf("/free/1", "/free/2", "/free/3"))
	connected.g.Eventually(served.running.Load).Should(BeZero())
}

// TestManyRequests: however many are sent ahead, each gets its own answer, and no
// more than a bounded number is under way.
func TestManyRequests(t *testing.T) {
	const requests = 400
	served := start(t)
	connected := served.connect()
	go func() {
		for number := range requests {
			connected.send(get(fmt.Sprintf("/free/%d", number)))
		}
	}()
	go func() {
		for range requests {
			served.allow(<-served.begun)
		}
	}()
	for number := range requests {
		connected.expect(fmt.Sprintf("/free/%d", number))
	}
}

// TestRequestsBeyondTheBound are begun early as well, once there is room, and so
// are those behind one that was not to be overtaken.
func TestRequestsBeyondTheBound(t *testing.T) {
	served := start(t)
	connected := served.connect()
	var sent []string
	for number := range 12 {
		sent = append(sent, get(fmt.Sprintf("/free/%02d", number)))
	}
	connected.send(append(sent, get("/turn/12"), get("/free/13"), get("/free/14"))...)
	// The first is served in its turn, eight are begun early.
	begun := served.awaitBegun(9)
	connected.g.Expect(begun).NotTo(ContainElement("/free/09"))
	served.allow("/free/00")
	connected.expect("/free/00")
	connected.g.Expect(served.awaitBegun(1)).To(Equal([]string{"/free/09"}))
	for number := 1; number < 12; number++ {
		served.allow(fmt.Sprintf("/free/%02d", number))
	}
	for number := 1; number < 12; number++ {
		connected.expect(fmt.Sprintf("/free/%02d", number))
	}
	connected.g.Expect(served.awaitBegun(3)).To(ConsistOf("/free/10", "/free/11", "/turn/12"))
	served.allow("/turn/12")
	connected.expect("/turn/12")
	connected.g.Expect(served.awaitBegun(2)).To(ConsistOf("/free/13", "/free/14"))
	served.allow("/free/14")
	served.allow("/free/13")
	connected.expect("/free/13", "/free/14")
}

// TestTheServersOwnBounds still hold: an idle connection ends, a head without an
// end does too.
func TestTheServersOwnBounds(t *testing.T) {
	served := start(t)
	for _, sent := range []string{"GET / HTTP/1.1\r\nHost: h\r\nno field\r\n\r\n", "nonsense\r\n\r\n"} {
		connected := served.connect()
		connected.send(sent)
		response, _ := connected.receive()
		connected.g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	}
}
