package egress

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

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

// TestTimeToComeBack: whether a caller can come back after a refusal goes by its
// own deadline. A route's time-out of about three target latencies once made
// every caller one that cannot, so that all of them waited as long as possible.
func TestTimeToComeBack(t *testing.T) {
	const aim = 400 * time.Millisecond
	cases := []struct {
		name, deadline string
		timeout        time.Duration
		hurried        bool
	}{
		{"a long deadline, a short time-out", "2500", 3 * aim, false},
		{"a long deadline, no time-out", "2500", 0, false},
		{"a short deadline", "1000", 3 * aim, true},
		{"a short deadline, no time-out", "1000", 0, true},
		{"no deadline", "", 3 * aim, false},
	}
	for _, asked := range cases {
		t.Run(asked.name, func(t *testing.T) {
			g := NewWithT(t)
			request := httptest.NewRequest(http.MethodGet, "/safe/", nil)
			if asked.deadline != "" {
				request.Header.Set("Deadline-Ms", asked.deadline)
			}
			made := &call{
				handler: newHandler(t, &quiet{}, present), request: request, started: time.Now(),
				route: &route.Matched{Route: route.Route{Name: "safe", TargetLatency: aim, Timeout: asked.timeout}},
			}
			g.Expect(made.bound()).To(BeNil())
			described := made.described(time.Until(made.deadline), aim/4)
			g.Expect(described.Hurried()).To(Equal(asked.hurried))
		})
	}
}
