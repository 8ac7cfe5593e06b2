package egress

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// faulty sets off a panic in the goroutine of a send, as a fault of this node's own code that
// some request meets would.
type panickingObserver struct{ fakeObserver }

func (f *panickingObserver) Unreachable(string) { panic("a fault of the node") }

// TestARequestThatSetsOffAPanic costs its caller an answer, and the node nothing: it comes again
// at the next node, and would end one after the other.
func TestARequestThatSetsOffAPanic(t *testing.T) {
	g := NewWithT(t)
	nobody := &peer{address: "127.0.0.1:1"}
	handler := newHandler(t, &panickingObserver{}, probeOK, nobody)
	for range 3 {
		status, retryAfter := callThrough(t, handler, http.MethodGet, "/safe/", "")
		g.Expect(status).To(Equal(http.StatusBadGateway), "what became of it is not known")
		g.Expect(retryAfter).To(BeEmpty())
	}
	g.Expect(handler.InFlight()).To(BeZero())
}
