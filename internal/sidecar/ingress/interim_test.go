package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ingress"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// interimRecorder records the headers of interim answers.
type interimRecorder struct {
	*httptest.ResponseRecorder
	interim []http.Header
}

func (r *interimRecorder) WriteHeader(status int) {
	if status < http.StatusOK {
		r.interim = append(r.interim, r.Header().Clone())
		return
	}
	r.ResponseRecorder.WriteHeader(status)
}

// TestInterimAnswerOfAnotherRequest guards against an interim answer that is passed to the caller of
// another request.
func TestInterimAnswerOfAnotherRequest(t *testing.T) {
	cases := []struct {
		name, id string
		passed   bool
	}{
		{"own", "Request-Id: b\r\n", true},
		{"of another request", "Request-Id: a\r\n", false},
		{"of nobody", "", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				backend := &lateAnswerBackend{late: "HTTP/1.1 103 Early Hints\r\n" + tc.id + "Link: l\r\n\r\n", runs: map[string]int{}}
				f := &fixture{}
				f.start(func(options *ingress.Options) { options.Address, options.Dial = "backend:80", backend.dial })
				defer f.handler.CloseIdle()
				f.handler.SetService(&route.Service{Name: "one"})
				reported := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Second}
				request := httptest.NewRequest(http.MethodPost, "/a/", strings.NewReader("body"))
				request.Header.Set(hop.HeaderHop, reported.Format())
				request.Header.Set(vocabulary.RequestID, "b")
				recorder := &interimRecorder{ResponseRecorder: httptest.NewRecorder()}
				f.handler.ServeHTTP(recorder, request)
				g.Expect(recorder.Code).To(Equal(http.StatusOK))
				g.Expect(recorder.Body.String()).To(Equal("b"))
				if !tc.passed {
					g.Expect(recorder.interim).To(BeEmpty())
					return
				}
				g.Expect(recorder.interim).To(HaveLen(1))
				g.Expect(recorder.interim[0].Get("Link")).To(Equal("l"))
			})
		})
	}
}
