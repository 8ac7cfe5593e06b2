package egress

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// panickingObserver panics in the goroutine of an attempt, like a bug of the node that some request
// triggers.
type panickingObserver struct{ fakeObserver }

func (f *panickingObserver) Unreachable(string) { panic("simulated bug of the node") }

// TestPanicIsContained: a request that causes a panic fails, and the node goes on. Otherwise the
// request, sent again, would terminate one node after another.
func TestPanicIsContained(t *testing.T) {
	g := NewWithT(t)
	nobody := &peer{address: "127.0.0.1:1"}
	handler := newHandler(t, &panickingObserver{}, probeOK, nobody)
	for range 3 {
		status, retryAfter := callThrough(t, handler, http.MethodGet, "/safe/", "")
		g.Expect(status).To(Equal(http.StatusBadGateway), "its outcome is unknown")
		g.Expect(retryAfter).To(BeEmpty())
	}
	g.Expect(handler.InFlight()).To(BeZero())
}
