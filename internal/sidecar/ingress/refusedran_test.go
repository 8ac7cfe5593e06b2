package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ingress"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// troubledBackend rejects requests before or after their bodies, resets connections, breaks answers
// off, and sends answers once more in the place of the next one.
type troubledBackend struct {
	mu   sync.Mutex // guards all below
	runs map[string]int
	draw *rand.Rand
}

// newTroubledNode starts such a back end and a node beside it, and returns the back end and the
// address of the node.
func newTroubledNode(t *testing.T, seed uint64) (started *troubledBackend, address string) {
	started = &troubledBackend{runs: map[string]int{}, draw: rand.New(rand.NewPCG(seed, seed))}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go started.accept(listener)
	f := newWithOptions(t, func(options *ingress.Options) { options.Address = listener.Addr().String() })
	f.handler.SetService(&route.Service{Name: "one"})
	node := httptest.NewServer(f.handler)
	t.Cleanup(node.Close)
	return started, node.Listener.Addr().String()
}

func (b *troubledBackend) draws(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draw.IntN(n)
}

func (b *troubledBackend) run(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
}

func (b *troubledBackend) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

func (b *troubledBackend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	extra := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, extra)
		answer := b.answer(conn, request)
		if answer == "" {
			return
		}
		if extra = ""; b.draws(3) == 0 {
			extra = answer
		}
	}
}

// answer handles one request. It returns the answer that was sent, empty if the connection ends.
func (b *troubledBackend) answer(conn net.Conn, request *http.Request) string {
	id := request.Header.Get(vocabulary.RequestID)
	rejection := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Processed: 1\r\nContent-Length: 0\r\n\r\n", id)
	success := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone", id)
	kind := b.draws(12)
	if kind == 0 { // before the body is in
		_, _ = io.WriteString(conn, rejection)
	}
	if kind == 1 {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return ""
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return ""
	}
	switch kind {
	case 0:
		return rejection
	case 2, 3, 4:
		_, _ = io.WriteString(conn, rejection)
		return rejection
	}
	b.run(id)
	time.Sleep(time.Duration(b.draws(3)) * time.Millisecond)
	switch kind {
	case 5:
		_ = conn.(*net.TCPConn).SetLinger(0)
		return ""
	case 6:
		_, _ = io.WriteString(conn, success[:b.draws(len(success))])
		return ""
	case 7:
		_, _ = io.WriteString(conn, "bytes that are no answer\r\n\r\n")
		return ""
	}
	_, _ = io.WriteString(conn, success)
	return success
}

// TestRefusedRequestsHaveNotRun guards against refusals with a promise of requests that a back end in
// trouble runs, and against second runs.
func TestRefusedRequestsHaveNotRun(t *testing.T) {
	const workers, each = 8, 200
	g := NewWithT(t)
	backend, address := newTroubledNode(t, 2)
	pool := forward.NewPool(address, forward.Limits{
		Connections: 2 * workers, IdleTimeout: time.Minute, DialTimeout: time.Second, ExpectContinueTimeout: time.Hour,
	}, nil)
	defer pool.Close()
	var mu sync.Mutex // guards refused and served
	refused, served := map[string]string{}, 0
	var done sync.WaitGroup
	for worker := range workers {
		done.Go(func() {
			draw := rand.New(rand.NewPCG(3, uint64(worker)))
			for i := range each {
				drawn := drawExchange(draw, fmt.Sprintf("%d-%d", worker, i))
				drawn.method, drawn.service, drawn.badHeader = http.MethodPost, "one", false
				ctx, cancel := context.WithTimeout(t.Context(), drawn.limit)
				reply, err := pool.RoundTrip(drawn.request(ctx))
				if err == nil {
					mu.Lock()
					if reply.Header.Get(outcome.HeaderOutcome) == string(outcome.NotRun) {
						refused[drawn.id] = reply.Header.Get(outcome.HeaderError)
					} else if reply.StatusCode == http.StatusOK {
						served++
					}
					mu.Unlock()
					_, _ = io.Copy(io.Discard, reply.Body)
					_ = reply.Body.Close()
				}
				cancel()
			}
		})
	}
	done.Wait()
	backend.mu.Lock()
	defer backend.mu.Unlock()
	t.Logf("%d served, %d refused, %d run", served, len(refused), len(backend.runs))
	for id, runs := range backend.runs {
		if runs > 1 {
			t.Errorf("request %s ran %d times", id, runs)
		}
		if why, wasRefused := refused[id]; wasRefused {
			t.Errorf("request %s was refused (%s) and ran", id, why)
		}
	}
	g.Expect(served).To(BeNumerically(">", each))
	g.Expect(len(refused)).To(BeNumerically(">", each))
}
