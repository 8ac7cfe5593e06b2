package ingress_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
)

// pausingBody is a request body that pauses before its second half, or fails there.
type pausingBody struct {
	reader io.Reader
	half   int
	read   int
	pause  time.Duration
	fails  bool
}

var errUpload = errors.New("upload failed")

func (b *pausingBody) Read(p []byte) (int, error) {
	if b.read >= b.half {
		if b.fails {
			return 0, errUpload
		}
		time.Sleep(b.pause)
		b.pause = 0
	}
	n, err := b.reader.Read(p)
	b.read += n
	return n, err
}

// nodeExchange is one request of a caller's node with whatever may disturb the order of replies.
type nodeExchange struct {
	method, id     string
	length         int
	chunked, fails bool
	pause, limit   time.Duration
	expects        bool
	service        string
	badHeader      bool
	abandoned      bool
}

func drawExchange(draw *rand.Rand, id string) nodeExchange {
	drawn := nodeExchange{id: id, method: http.MethodPost, service: "one", limit: time.Second}
	lengths := []int{0, 10, 3 << 10, 40 << 10, 200 << 10, 600 << 10}
	drawn.length = lengths[draw.IntN(len(lengths))]
	drawn.chunked = draw.IntN(3) == 0
	drawn.expects = draw.IntN(2) == 0
	drawn.fails = draw.IntN(12) == 0
	drawn.pause = time.Duration(draw.IntN(4)) * time.Millisecond
	drawn.badHeader = draw.IntN(16) == 0
	drawn.abandoned = draw.IntN(10) == 0
	if draw.IntN(4) == 0 {
		drawn.service = "another" // refused before the body is read
	}
	if draw.IntN(6) == 0 {
		drawn.limit = time.Duration(draw.IntN(6)) * time.Millisecond
	}
	if draw.IntN(8) == 0 {
		drawn.method, drawn.length, drawn.expects = http.MethodHead, 0, false
	}
	return drawn
}

func (e nodeExchange) request(ctx context.Context) *http.Request {
	var body io.Reader
	if e.length > 0 {
		body = &pausingBody{reader: bytes.NewReader(bytes.Repeat([]byte{'x'}, e.length)), half: e.length / 2, pause: e.pause, fails: e.fails}
	}
	request, err := http.NewRequestWithContext(ctx, e.method, "http://node/a/", body)
	if err != nil {
		panic(err)
	}
	if e.length > 0 && !e.chunked {
		request.ContentLength = int64(e.length)
	}
	if e.length > 0 && e.expects {
		request.Header.Set("Expect", "100-continue")
	}
	reported := hop.Request{Service: e.service, Caller: "two", Remaining: time.Second, MaximumWait: 20 * time.Millisecond}
	request.Header.Set(hop.HeaderHop, reported.Format())
	request.Header.Set(vocabulary.RequestID, e.id)
	if e.badHeader {
		request.Header.Set("Padding", strings.Repeat("x", 16<<10)) // answered by the server itself with 431
	}
	return request
}

// TestRepliesBetweenNodesStayInOrder: replies between nodes are matched by their order on the
// connection, whatever ends the exchanges before.
func TestRepliesBetweenNodesStayInOrder(t *testing.T) {
	const workers, each, headerBytes = 8, 150, 8 << 10
	g := NewWithT(t)
	f := newFixture(t)
	var number atomic.Int64
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch number.Add(1) % 7 {
		case 0:
			rejected(w, r) // with the body unread
			return
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			w.WriteHeader(http.StatusEarlyHints)
		case 3:
			signed(http.StatusOK)(w, r) // before the body was read
			_, _ = io.WriteString(w, "early")
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		signed(http.StatusOK)(w, r)
		_, _ = io.WriteString(w, "ok")
	})
	f.answer.Store(&answer)
	node := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Echo", r.Header.Get(vocabulary.RequestID))
		f.handler.ServeHTTP(w, r)
	}))
	node.Config.MaxHeaderBytes = headerBytes
	node.Start()
	defer node.Close()
	pool := forward.NewPool(node.Listener.Addr().String(), forward.Limits{
		Connections: 2 * workers, IdleTimeout: time.Minute, DialTimeout: time.Second, ExpectContinueTimeout: time.Hour,
	}, nil)
	defer pool.Close()
	var matched, failed atomic.Int64
	var wrong sync.Map
	var workersDone sync.WaitGroup
	for worker := range workers {
		workersDone.Go(func() {
			draw := rand.New(rand.NewPCG(1, uint64(worker)))
			for i := range each {
				drawn := drawExchange(draw, fmt.Sprintf("%d-%d", worker, i))
				ctx, cancel := context.WithTimeout(t.Context(), drawn.limit)
				reply, err := pool.RoundTrip(drawn.request(ctx))
				if err != nil {
					failed.Add(1)
					cancel()
					continue
				}
				switch echo := reply.Header.Get("Echo"); {
				case echo == drawn.id:
					matched.Add(1)
				case echo != "" || !drawn.badHeader:
					wrong.Store(drawn.id, reply.Status+" "+echo)
				}
				if !drawn.abandoned {
					_, _ = io.Copy(io.Discard, reply.Body)
				}
				_ = reply.Body.Close()
				cancel()
			}
		})
	}
	workersDone.Wait()
	t.Logf("%d replies matched, %d exchanges failed", matched.Load(), failed.Load())
	wrong.Range(func(id, found any) bool {
		t.Errorf("request %v got the reply %v", id, found)
		return true
	})
	g.Expect(matched.Load()).To(BeNumerically(">", each))
}
