package forward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
)

// slowReadDeadlineWriter begins to set a read deadline in the past and takes a while.
type slowReadDeadlineWriter struct {
	http.ResponseWriter
	begun chan struct{}
}

func (w *slowReadDeadlineWriter) SetReadDeadline(deadline time.Time) error {
	if deadline.Before(time.Now()) {
		close(w.begun)
		time.Sleep(50 * time.Millisecond)
	}
	return http.NewResponseController(w.ResponseWriter).SetReadDeadline(deadline)
}

func (w *slowReadDeadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestDeadlineOfABodySparesTheNextRequest guards against a read deadline that is set after the exchange it bounds.
func TestDeadlineOfABodySparesTheNextRequest(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			select {
			case <-r.Context().Done():
			case <-time.After(200 * time.Millisecond):
				w.WriteHeader(http.StatusNoContent)
			}
			return
		}
		slow := &slowReadDeadlineWriter{ResponseWriter: w, begun: make(chan struct{})}
		ctx, expire := context.WithCancel(r.Context())
		body, err := forward.ReadBody(ctx, slow, r, 1<<20, "")
		g.Expect(err).NotTo(HaveOccurred())
		stop := body.UnblockOnDone(ctx, slow)
		outgoing := &http.Request{}
		body.Attach(outgoing)
		_, _ = io.Copy(io.Discard, outgoing.Body)
		w.WriteHeader(http.StatusNoContent)
		expire()
		select {
		case <-slow.begun:
		case <-time.After(20 * time.Millisecond):
		}
		stop()
	}))
	defer server.Close()
	client := server.Client()
	upload, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL, struct{ io.Reader }{strings.NewReader("body")})
	g.Expect(err).NotTo(HaveOccurred())
	response, err := client.Do(upload)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	response, err = client.Get(server.URL)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	g.Expect(response.StatusCode).To(Equal(http.StatusNoContent))
}
