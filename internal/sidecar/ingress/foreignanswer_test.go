package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ingress"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// lateAnswerBackend runs every request. Before its answer to the request with the id "b" it sends
// another one.
type lateAnswerBackend struct {
	listener net.Listener
	late     string

	mu   sync.Mutex // guards runs
	runs map[string]int
}

func newLateAnswerBackend(t *testing.T, late string) *lateAnswerBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	created := &lateAnswerBackend{listener: listener, late: late, runs: map[string]int{}}
	go created.accept()
	return created
}

func (b *lateAnswerBackend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

func (b *lateAnswerBackend) serve(conn net.Conn) {
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
		id := request.Header.Get(vocabulary.RequestID)
		if id == "b" {
			_, _ = io.WriteString(conn, b.late)
		}
		b.mu.Lock()
		b.runs[id]++
		b.mu.Unlock()
		const work = 20 * time.Millisecond
		time.Sleep(work)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}
}

// runsOf returns how often the back end ran a request.
func (b *lateAnswerBackend) runsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// TestLateAnswerToAnotherRequestProvesNothing guards against a running request that is reported as
// not run, and then run twice, because of a late answer to another request.
func TestLateAnswerToAnotherRequestProvesNothing(t *testing.T) {
	cases := []struct{ name, late string }{
		{"not processed", "503 Service Unavailable\r\nRequest-Id: a\r\nNot-Processed: 1\r\nContent-Length: 0\r\n\r\n"},
		{"not processed, with a body", "503 Service Unavailable\r\nRequest-Id: a\r\nNot-Processed: 1\r\nContent-Length: 4\r\n\r\nfull"},
		{"not processed, without an id", "400 Bad Request\r\nNot-Processed: 1\r\nContent-Length: 0\r\n\r\n"},
		{"above a rate limit", "429 Too Many Requests\r\nRequest-Id: a\r\nNot-Processed: 1\r\nLimit: 0\r\nContent-Length: 0\r\n\r\n"},
		{"another instance", "421 Misdirected Request\r\nRequest-Id: a\r\nInstance: i-2\r\nContent-Length: 0\r\n\r\n"},
		{"a success", "200 OK\r\nRequest-Id: a\r\nSignature: s\r\nLimit: 0\r\nContent-Length: 1\r\n\r\na"},
		{"a success without an id", "200 OK\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"},
		{"a failure", "500 Internal Server Error\r\nRequest-Id: a\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			backend := newLateAnswerBackend(t, "HTTP/1.1 "+tc.late)
			var mismatches []string
			f := newWithOptions(t, func(options *ingress.Options) {
				options.Address = backend.listener.Addr().String()
				options.DecodeNotice = decodeNotice
				options.OnInstanceMismatch = func(id string) { mismatches = append(mismatches, id) }
			})
			f.handler.SetService(&route.Service{Name: "one"})
			g.Expect(f.post("a").Body.String()).To(Equal("a"))
			got := f.post("b")
			g.Expect(got.Header().Get(outcome.HeaderOutcome)).NotTo(BeEquivalentTo(outcome.NotRun))
			g.Expect(got.Code).To(Equal(http.StatusBadGateway))
			g.Expect(f.post("c").Body.String()).To(Equal("c"), "a connection with an answer due is not used again")
			for _, id := range []string{"a", "b", "c"} {
				g.Expect(backend.runsOf(id)).To(Equal(1), id)
			}
			g.Expect(mismatches).To(BeEmpty())
			g.Expect(f.handler.Limit().HasLimit).To(BeFalse())
		})
	}
}

// post passes one request with the given id through the handler.
func (f *fixture) post(id string) *httptest.ResponseRecorder {
	reported := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Second}
	request := httptest.NewRequest(http.MethodPost, "/a/", strings.NewReader("body"))
	request.Header.Set(hop.HeaderHop, reported.Format())
	request.Header.Set(vocabulary.RequestID, id)
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	return recorder
}
