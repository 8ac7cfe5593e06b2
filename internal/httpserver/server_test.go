package httpserver_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/httpserver"
	"github.com/kestrelstream/kestrelstream/internal/httpserver/hangup"
	"github.com/kestrelstream/kestrelstream/internal/pipelining"
)

// TestHandlerDetectsHangup: a handler can ask whether its client has left, whatever the server adds to connections.
func TestHandlerDetectsHangup(t *testing.T) {
	pipelined := &pipelining.Options{Ahead: func(*http.Request) bool { return true }, Begun: func() func() { return func() {} }}
	for name, limits := range map[string]httpserver.Limits{
		"plain":                    {},
		"pipelining":               {Pipelining: pipelined},
		"gentle close":             {CloseGently: func() bool { return false }},
		"pipelining, gentle close": {Pipelining: pipelined, CloseGently: func() bool { return false }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			before, left, detected := make(chan bool), make(chan struct{}), make(chan bool)
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				before <- hangup.Detected(r.Context())
				<-left
				deadline := time.Now().Add(10 * time.Second)
				for !hangup.Detected(r.Context()) && time.Now().Before(deadline) {
					time.Sleep(time.Millisecond)
				}
				detected <- hangup.Detected(r.Context())
			})
			server := httpserver.New("test", listener, handler, limits, zap.NewNop())
			go func() { _ = server.Serve() }()
			client, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(<-before).To(BeFalse())
			g.Expect(client.Close()).To(Succeed())
			close(left)
			g.Expect(<-detected).To(BeTrue())
			g.Expect(server.Stop(t.Context())).To(Succeed())
		})
	}
}
