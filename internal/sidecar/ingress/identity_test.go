package ingress_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// waitTimeout bounds the wait for an answer, so that a busy machine does not change the verdict.
const waitTimeout = 20 * time.Second

// TestReportedInstance checks what a node learns of its back end's id from the health check.
func TestReportedInstance(t *testing.T) {
	answer := func(status int, id string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if id != "" {
				w.Header().Set(vocabulary.InstanceID, id)
			}
			w.WriteHeader(status)
		}
	}
	cases := []struct {
		name   string
		path   string
		answer http.HandlerFunc
		id     string
	}{
		{"healthy", "/healthz", answer(http.StatusOK, "i-7"), "i-7"},
		{"not healthy", "/healthz", answer(http.StatusServiceUnavailable, "i-7"), "i-7"},
		{"no id", "/healthz", answer(http.StatusOK, ""), ""},
		{"no health check", "", answer(http.StatusOK, "i-7"), ""},
		{"no answer", "/healthz", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newUnconfigured(t)
			f.answer.Store(&tc.answer)
			f.handler.SetService(&route.Service{HealthPath: tc.path})
			if tc.id != "" {
				g.Eventually(func() (string, error) { return f.handler.ReportedInstance(t.Context()) }).
					WithTimeout(waitTimeout).Should(Equal(tc.id))
				return
			}
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := f.handler.ReportedInstance(ctx)
			g.Expect(err).To(HaveOccurred())
		})
	}
}
