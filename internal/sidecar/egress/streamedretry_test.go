package egress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// pausedConn pauses the goroutine that writes after its first write, as a busy machine does.
type pausedConn struct {
	net.Conn
	pause func()
	once  sync.Once
}

func (c *pausedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.once.Do(c.pause)
	return n, err
}

// TestRefusedSendReadsNoBody guards against a body of which the send to a node that refused takes parts that the next node lacks.
func TestRefusedSendReadsNoBody(t *testing.T) {
	g := NewWithT(t)
	received := make(chan string, 1)
	first := newPeer(t, func(_ *peer, connection net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"+
			outcome.HeaderOutcome+": not-run\r\n"+outcome.HeaderError+": step=drain\r\nContent-Length: 0\r\n\r\n")
	})
	second := newPeer(t, func(_ *peer, connection net.Conn, reader *bufio.Reader) {
		content, _ := io.ReadAll(httputil.NewChunkedReader(reader))
		received <- string(content)
		_, _ = io.WriteString(connection, replyOK)
	})
	handler := newHandler(t, &fakeObserver{}, probeOK, first, second)
	resumed := make(chan struct{})
	handler.targets.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := new(net.Dialer).DialContext(ctx, network, address)
		if err == nil && address == first.address {
			opened = &pausedConn{Conn: opened, pause: func() { <-resumed }}
		}
		return opened, err
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	body, sender := io.Pipe()
	go func() {
		for second.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		close(resumed)
		for _, part := range []string{"one,", "two,", "three,", "four"} {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(sender, part)
		}
		_ = sender.Close()
	}()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/safe/1", body)
	g.Expect(err).NotTo(HaveOccurred())
	request.Host = "h"
	request.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	g.Expect(<-received).To(Equal("one,two,three,four"))
}
