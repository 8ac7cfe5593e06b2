package egress

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// TestAPartWithoutBackEnds: what belongs to a service that has no back ends is
// refused as not run, and not moved to the route's other services.
func TestAPartWithoutBackEnds(t *testing.T) {
	g := NewWithT(t)
	handler := newHandler(t, &quiet{}, present, newPeer(t, answers))
	table, err := route.Compile(&route.Document{
		Version: 2,
		Routes: []route.Route{{
			Name: "parts", Host: "h", PathPrefix: "/parts/", Repeatable: true, Attempts: 2,
			Targets: []route.Target{{Service: "s", Weight: 1}, {Service: "empty", Weight: 1}},
		}},
		Services: []route.Service{{Name: "s"}, {Name: "empty"}},
	}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	handler.options.Table = func() *route.Table { return table }
	statuses := map[int]int{}
	for range 100 {
		request := httptest.NewRequest(http.MethodGet, "/parts/1", nil)
		request.Host = "h"
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		statuses[recorder.Code]++
	}
	g.Expect(statuses[http.StatusOK]).To(BeNumerically("~", 50, 2))
	g.Expect(statuses[http.StatusServiceUnavailable]).To(BeNumerically("~", 50, 2))
}
