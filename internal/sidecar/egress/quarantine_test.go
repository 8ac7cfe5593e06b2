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

// answerCrash answers like a node whose back end crashed while it processed the request.
func answerCrash(_ *peer, connection net.Conn, _ *bufio.Reader) {
	_, _ = io.WriteString(connection, "HTTP/1.1 502 Bad Gateway\r\nKestrel-Outcome: unknown\r\nKestrel-Error: step=crash\r\nContent-Length: 0\r\n\r\n")
}

// answerQuarantined answers like a node that quarantines the request.
func answerQuarantined(_ *peer, connection net.Conn, _ *bufio.Reader) {
	_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nKestrel-Outcome: not-run\r\nKestrel-Error: step=quarantine\r\nContent-Length: 0\r\n\r\n")
}

// TestCrashLimit: a request is not sent again after maxCrashes crashes, whatever the route allows.
func TestCrashLimit(t *testing.T) {
	g := NewWithT(t)
	peers := []*peer{newPeer(t, answerCrash), newPeer(t, answerCrash), newPeer(t, answerCrash)}
	handler := newHandler(t, &fakeObserver{}, probeOK, peers...)
	status, retryAfter := callThrough(t, handler, http.MethodGet, "/often/", "")
	g.Expect(status).To(Equal(http.StatusBadGateway), "it has run")
	g.Expect(retryAfter).To(BeEmpty())
	total := int64(0)
	for _, peer := range peers {
		total += peer.requests.Load()
	}
	g.Expect(total).To(BeEquivalentTo(maxCrashes))
}

// TestQuarantinedRequestRefused: a quarantined request is refused without an attempt, with a long
// Retry-After.
func TestQuarantinedRequestRefused(t *testing.T) {
	g := NewWithT(t)
	asked := newPeer(t, answerOK)
	handler := newHandler(t, &fakeObserver{}, probeOK, asked)
	status, _ := callThrough(t, handler, http.MethodGet, "/safe/", "")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(asked.requests.Load()).To(BeEquivalentTo(1))

	request := httptest.NewRequest(http.MethodGet, "http://h/safe/", nil)
	print := fingerprint.Of(request, "caller", emptyBody{})
	handler.options.Quarantine = quarantinedPrint{print}
	status, retryAfter := callThrough(t, handler, http.MethodGet, "/safe/", "")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(retryAfter).To(Equal("60.00"))
	g.Expect(asked.requests.Load()).To(BeEquivalentTo(1))
	status, _ = callThrough(t, handler, http.MethodGet, "/safe/other", "")
	g.Expect(status).To(Equal(http.StatusOK))
}

// TestQuarantinedByPeer: a request that one node quarantines is sent to no other node.
func TestQuarantinedByPeer(t *testing.T) {
	g := NewWithT(t)
	first, second := newPeer(t, answerQuarantined), newPeer(t, answerQuarantined)
	handler := newHandler(t, &fakeObserver{}, probeOK, first, second)
	status, retryAfter := callThrough(t, handler, http.MethodGet, "/safe/", "")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(retryAfter).To(Equal("60.00"))
	g.Expect(first.requests.Load() + second.requests.Load()).To(BeEquivalentTo(1))
	for _, record := range handler.options.View().Records() {
		if record.AcceptsWork() {
			g.Expect(handler.targets.forRecord(record).failures.Load()).To(BeZero(), "a quarantine is no failure of the node")
		}
	}
}

// emptyBody is the body of a request without one.
type emptyBody struct{}

func (emptyBody) Held() ([]byte, int64) { return nil, 0 }

// quarantinedPrint quarantines one request.
type quarantinedPrint struct{ fingerprint.Fingerprint }

func (quarantinedPrint) Idle() bool { return false }
func (h quarantinedPrint) IsQuarantined(print fingerprint.Fingerprint) bool {
	return print == h.Fingerprint
}

var _ Quarantine = quarantinedPrint{}
