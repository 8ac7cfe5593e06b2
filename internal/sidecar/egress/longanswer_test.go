package egress

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestLongAnswersAreRemembered checks that pipelined requests wait behind those of a route with long
// answers, of that route only and for a limited time.
func TestLongAnswersAreRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		handler := newHandler(t, &fakeObserver{}, probeOK)
		newRequest := func(path string) *http.Request {
			created := httptest.NewRequest(http.MethodGet, path, nil)
			created.Host = "h"
			return created
		}
		safe, often, unknown := newRequest("/safe/1"), newRequest("/often/1"), newRequest("/unknown/1")
		g.Expect(handler.ExceedsHold(safe)).To(BeFalse())
		handler.OnExceedsHold(unknown)
		handler.OnExceedsHold(safe)
		g.Expect(handler.ExceedsHold(safe)).To(BeTrue())
		g.Expect(handler.ExceedsHold(often)).To(BeFalse())
		g.Expect(handler.ExceedsHold(unknown)).To(BeFalse())
		time.Sleep(longAnswerMemory - time.Second)
		g.Expect(handler.ExceedsHold(safe)).To(BeTrue())
		time.Sleep(time.Second)
		g.Expect(handler.ExceedsHold(safe)).To(BeFalse())
	})
}
