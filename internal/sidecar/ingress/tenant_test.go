package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
)

// TestSlotsByTenant checks that a free slot goes to the tenant that used less while requests
// compete for capacity, and otherwise to the newest request.
func TestSlotsByTenant(t *testing.T) {
	for _, contended := range []bool{true, false} {
		g := NewWithT(t)
		f := newFixture(t, func() bool { return contended })
		begun, release := make(chan string, 8), make(chan struct{})
		var answer http.HandlerFunc = func(w http.ResponseWriter, r *http.Request) {
			begun <- r.Header.Get(vocabulary.Tenant)
			<-release
			signed(http.StatusOK)(w, r)
		}
		f.answer.Store(&answer)
		ended := make(chan struct{}, 8)
		send := func(tenant string) {
			reported := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Minute, ExpectedServiceTime: 10 * time.Millisecond}
			req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/a/", strings.NewReader(""))
			req.Header.Set(hop.HeaderHop, reported.Format())
			req.Header.Set(vocabulary.Tenant, tenant)
			f.handler.ServeHTTP(httptest.NewRecorder(), req)
			ended <- struct{}{}
		}
		for range 4 {
			go send("flood")
			g.Expect(<-begun).To(Equal("flood"))
		}
		go send("small")
		g.Eventually(func() int { return f.handler.Load().Waiting }).WithTimeout(10 * time.Second).Should(Equal(1))
		go send("flood")
		g.Eventually(func() int { return f.handler.Load().Waiting }).WithTimeout(10 * time.Second).Should(Equal(2))
		release <- struct{}{}
		next := <-begun
		close(release)
		g.Expect(next == "small").To(Equal(contended), next)
		for range 6 {
			<-ended
		}
	}
}

// TestRepliesReportShares checks that shares are reported only under contention, with the option
// set, and for requests that were queued.
func TestRepliesReportShares(t *testing.T) {
	cases := []struct {
		name             string
		contended, marks bool
		change           func(*hop.Request)
		reports          bool
	}{
		{"competing", true, true, func(*hop.Request) {}, true},
		{"not competing", false, true, func(*hop.Request) {}, false},
		{"not marked", true, false, func(*hop.Request) {}, false},
		{"a nested call", true, true, func(reported *hop.Request) { reported.Nested = true }, false},
		{"for another service", true, true, func(reported *hop.Request) { reported.Service = "other" }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t, func() bool { return tc.contended })
			f.handler.SetReportShares(tc.marks)
			answer := signed(http.StatusOK)
			f.answer.Store(&answer)
			reported := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Second, ExpectedServiceTime: 10 * time.Millisecond}
			tc.change(&reported)
			req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/a/", strings.NewReader(""))
			req.Header.Set(hop.HeaderHop, reported.Format())
			req.Header.Set(vocabulary.Tenant, "acme")
			recorder := httptest.NewRecorder()
			f.handler.ServeHTTP(recorder, req)
			g.Expect(recorder.Header().Get(hop.HeaderShare) != "").To(Equal(tc.reports))
		})
	}
}
