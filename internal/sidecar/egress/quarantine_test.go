package egress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

// crashes answers as a node does whose back end has ended under the request.
func crashes(_ *peer, connection net.Conn, _ *bufio.Reader) {
	_, _ = io.WriteString(connection, "HTTP/1.1 502 Bad Gateway\r\nKestrel-Outcome: unknown\r\nKestrel-Error: step=crash\r\nContent-Length: 0\r\n\r\n")
}

// holds answers as a node does that holds the request back.
func holds(_ *peer, connection net.Conn, _ *bufio.Reader) {
	_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nKestrel-Outcome: not-run\r\nKestrel-Error: step=quarantine\r\nContent-Length: 0\r\n\r\n")
}

// TestEndsUnderOneRequest: its node sends it no more after two, whatever the route allows.
func TestEndsUnderOneRequest(t *testing.T) {
	g := NewWithT(t)
	peers := []*peer{newPeer(t, crashes), newPeer(t, crashes), newPeer(t, crashes)}
	handler := newHandler(t, &quiet{}, present, peers...)
	status, retryAfter := callThrough(t, handler, http.MethodGet, "/often/", "")
	g.Expect(status).To(Equal(http.StatusBadGateway), "it has run")
	g.Expect(retryAfter).To(BeEmpty())
	total := int64(0)
	for _, peer := range peers {
		total += peer.requests.Load()
	}
	g.Expect(total).To(BeEquivalentTo(mostCrashes))
}

// TestAHeldRequestIsRefusedAtOnce: nobody is asked, and the caller is not told to come back
// soon.
func TestAHeldRequestIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	asked := newPeer(t, answers)
	handler := newHandler(t, &quiet{}, present, asked)
	status, _ := callThrough(t, handler, http.MethodGet, "/safe/", "")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(asked.requests.Load()).To(BeEquivalentTo(1))

	request := httptest.NewRequest(http.MethodGet, "http://h/safe/", nil)
	print := fingerprint.Of(request, "caller", emptyBody{})
	handler.options.Quarantine = heldPrint{print}
	status, retryAfter := callThrough(t, handler, http.MethodGet, "/safe/", "")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(retryAfter).To(Equal("60.00"))
	g.Expect(asked.requests.Load()).To(BeEquivalentTo(1))
	status, _ = callThrough(t, handler, http.MethodGet, "/safe/other", "")
	g.Expect(status).To(Equal(http.StatusOK))
}

// TestAHeldRequestGoesToNoOtherNode: what one node knows of it holds for all.
func TestAHeldRequestGoesToNoOtherNode(t *testing.T) {
	g := NewWithT(t)
	first, second := newPeer(t, holds), newPeer(t, holds)
	handler := newHandler(t, &quiet{}, present, first, second)
	status, retryAfter := callThrough(t, handler, http.MethodGet, "/safe/", "")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(retryAfter).To(Equal("60.00"))
	g.Expect(first.requests.Load() + second.requests.Load()).To(BeEquivalentTo(1))
	for _, record := range handler.options.View().Records() {
		if record.AcceptsWork() {
			g.Expect(handler.targets.of(record).failures.Load()).To(BeZero(), "the node did right")
		}
	}
}

// emptyBody is no body.
type emptyBody struct{}

func (emptyBody) Held() ([]byte, int64) { return nil, 0 }

// heldPrint holds one request back.
type heldPrint struct{ fingerprint.Fingerprint }

func (heldPrint) Idle() bool                                 { return false }
func (h heldPrint) Holds(print fingerprint.Fingerprint) bool { return print == h.Fingerprint }

var _ Quarantine = heldPrint{}
