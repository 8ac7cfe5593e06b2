package egress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kestrelstream/kestrelstream/internal/httpserver"
	"github.com/kestrelstream/kestrelstream/internal/pipelining"
)

const longAnswer = 200 << 10

// longAnswerPeer answers a request for a path that ends in "long" once one that ends in "behind" has
// arrived. It breaks the first answers off.
type longAnswerPeer struct {
	breaks        int64
	long, behind  atomic.Int64
	behindArrived chan struct{}
	once          sync.Once
}

// ServeHTTP implements http.Handler.
func (p *longAnswerPeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Kestrel-Reply", "1 0 0 8 50000 1000 1000")
	if strings.HasSuffix(r.URL.Path, "behind") {
		p.behind.Add(1)
		p.once.Do(func() { close(p.behindArrived) })
		_, _ = io.WriteString(w, "behind")
		return
	}
	<-p.behindArrived
	breaks := p.long.Add(1) <= p.breaks
	if breaks {
		w.Header().Set("Content-Length", "204800")
		w.Header().Set("Signature", "broken")
		_, _ = io.WriteString(w, strings.Repeat("a", longAnswer/2))
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, strings.Repeat("b", longAnswer))
}

// pipelineThrough sends the requests on one connection before it reads an answer.
func pipelineThrough(t *testing.T, handler *Handler, paths ...string) *bufio.Reader {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	options := &pipelining.Options{Ahead: handler.Ahead, Begun: handler.Begun}
	served := httpserver.New("test", listener, handler, httpserver.Limits{Pipelining: options}, zap.NewNop())
	go func() { _ = served.Serve() }()
	t.Cleanup(func() {
		ended, end := context.WithCancel(context.Background())
		end()
		_ = served.Stop(ended)
	})
	connected, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = connected.Close() })
	for _, path := range paths {
		_, err = io.WriteString(connected, "GET "+path+" HTTP/1.1\r\nHost: h\r\nRequest-Id: "+path+"\r\nDeadline-Ms: 9000\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
	}
	return bufio.NewReader(connected)
}

// TestBrokenLongAnswerIsRetried checks that an answer that is broken off while requests wait behind it
// is requested again, and replaced by a failure of the node when the attempts are exhausted.
func TestBrokenLongAnswerIsRetried(t *testing.T) {
	cases := map[string]struct {
		breaks int64
		status int
		body   string
	}{
		"once":   {1, http.StatusOK, strings.Repeat("b", longAnswer)},
		"always": {100, http.StatusBadGateway, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			backEnd := &longAnswerPeer{breaks: test.breaks, behindArrived: make(chan struct{})}
			var peers []*peer
			for range 2 {
				started := httptest.NewServer(backEnd)
				t.Cleanup(started.Close)
				peers = append(peers, &peer{address: started.Listener.Addr().String()})
			}
			handler := newHandler(t, &fakeObserver{}, probeOK, peers...)
			core, logged := observer.New(zap.InfoLevel)
			handler.options.Logger = zap.New(core)
			answers := pipelineThrough(t, handler, "/safe/long", "/safe/behind")
			response, err := http.ReadResponse(answers, nil)
			g.Expect(err).NotTo(HaveOccurred())
			content, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(test.status))
			g.Expect(string(content) == test.body).To(BeTrue())
			g.Expect(response.Header).NotTo(HaveKey("Signature"))
			response, err = http.ReadResponse(answers, nil)
			g.Expect(err).NotTo(HaveOccurred())
			content, err = io.ReadAll(response.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(content)).To(Equal("behind"))
			g.Expect(backEnd.behind.Load()).To(Equal(int64(1)))
			g.Expect(backEnd.long.Load()).To(Equal(int64(2)))
			cutOff := logged.FilterMessage("response cut off while it was held").All()
			g.Expect(cutOff).To(HaveLen(int(min(test.breaks, 2))))
			g.Expect(cutOff[0].ContextMap()).To(HaveKeyWithValue("request", "/safe/long"))
		})
	}
}
