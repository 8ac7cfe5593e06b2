package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ingress"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// lateAnswerBackend runs every request. When the request with the id "b" arrives, it sends another
// answer first.
type lateAnswerBackend struct {
	late string

	mu   sync.Mutex // guards runs
	runs map[string]int
}

// dial opens a connection in memory.
func (b *lateAnswerBackend) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go b.serve(server)
	return client, nil
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
		time.Sleep(backendWork)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}
}

const backendWork = 20 * time.Millisecond

// TestLateAnswerToAnotherRequestProvesNothing guards against a running request that is reported as
// not run, and then run twice, because of a late answer to another request.
func TestLateAnswerToAnotherRequestProvesNothing(t *testing.T) {
	cases := []struct {
		name, late string
		// status is that of the reply to the request that is running.
		status int
	}{
		{"not processed", "503 Service Unavailable\r\nRequest-Id: a\r\nNot-Processed: 1\r\nContent-Length: 0\r\n\r\n", 200},
		{"not processed, with a body", "503 Service Unavailable\r\nRequest-Id: a\r\nNot-Processed: 1\r\nContent-Length: 4\r\n\r\nfull", 200},
		{"not processed, without an id", "400 Bad Request\r\nNot-Processed: 1\r\nContent-Length: 0\r\n\r\n", 502},
		{"above a rate limit", "429 Too Many Requests\r\nRequest-Id: a\r\nNot-Processed: 1\r\nLimit: 0\r\nContent-Length: 0\r\n\r\n", 200},
		{"another instance", "421 Misdirected Request\r\nRequest-Id: a\r\nInstance: i-2\r\nContent-Length: 0\r\n\r\n", 200},
		{"a success", "200 OK\r\nRequest-Id: a\r\nSignature: s\r\nLimit: 0\r\nContent-Length: 1\r\n\r\na", 200},
		{"a success without an id", "200 OK\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", 502},
		{"a failure", "500 Internal Server Error\r\nRequest-Id: a\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", 200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				backend := &lateAnswerBackend{late: "HTTP/1.1 " + tc.late, runs: map[string]int{}}
				var mismatches []string
				f := &fixture{}
				f.start(func(options *ingress.Options) {
					options.Address, options.Dial = "backend:80", backend.dial
					options.DecodeNotice = decodeNotice
					options.OnInstanceMismatch = func(id string) { mismatches = append(mismatches, id) }
				})
				defer f.handler.CloseIdle()
				f.handler.SetService(&route.Service{Name: "one"})
				g.Expect(f.post("a").Body.String()).To(Equal("a"))
				got := f.post("b")
				g.Expect(got.Header().Get(outcome.HeaderOutcome)).NotTo(BeEquivalentTo(outcome.NotRun))
				g.Expect(got.Code).To(Equal(tc.status))
				if tc.status == http.StatusOK {
					g.Expect(got.Body.String()).To(Equal("b"))
				}
				g.Expect(f.post("c").Body.String()).To(Equal("c"), "a connection with an answer due is not used again")
				for _, id := range []string{"a", "b", "c"} {
					g.Expect(backend.runs[id]).To(Equal(1), id)
				}
				g.Expect(mismatches).To(BeEmpty())
				g.Expect(f.handler.Limit().HasLimit).To(BeFalse())
			})
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
