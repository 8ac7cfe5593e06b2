package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
)

// TestRequestRoutedByOldConfiguration checks that a request is refused without being run if the
// newer configuration here routes it elsewhere. Otherwise, and for nodes that do not send their
// version, it runs.
func TestRequestRoutedByOldConfiguration(t *testing.T) {
	cases := []struct {
		name, version string
		routesTo      bool
		ran           bool
	}{
		{"routed here by both", "7", true, true},
		{"routed elsewhere by the newer one", "7", false, false},
		{"a node that sends no version", "", false, true},
		{"a malformed version", "x", false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t)
			ran := f.countRequests()
			var asked uint64
			f.routesTo = func(_ *http.Request, service string, version uint64) bool {
				g.Expect(service).To(Equal("one"))
				asked = version
				return tc.routesTo
			}
			reported := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Second}
			request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/a/", strings.NewReader(""))
			request.Header.Set(hop.HeaderHop, reported.Format())
			request.Header.Set(vocabulary.RequestID, "r")
			if tc.version != "" {
				request.Header.Set(hop.HeaderVersion, tc.version)
			}
			recorder := httptest.NewRecorder()
			f.handler.ServeHTTP(recorder, request)
			g.Expect(ran.Load() == 1).To(Equal(tc.ran))
			if tc.version == "7" {
				g.Expect(asked).To(BeEquivalentTo(7))
			}
			if !tc.ran {
				g.Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable))
				g.Expect(recorder.Header().Get(outcome.HeaderOutcome)).To(Equal(string(outcome.NotRun)))
				g.Expect(recorder.Header().Get(outcome.HeaderError)).To(Equal("step=" + string(outcome.StepMoved)))
				g.Expect(recorder.Header().Get("Retry-After")).NotTo(BeEmpty())
			}
		})
	}
}
