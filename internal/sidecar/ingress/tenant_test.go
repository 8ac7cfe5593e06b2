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

// TestTurnsOfTenantsWhereRoomIsScarce: a slot goes to the tenant that has had less, where requests
// compete for room; elsewhere to the newest.
func TestTurnsOfTenantsWhereRoomIsScarce(t *testing.T) {
	for _, contended := range []bool{true, false} {
		g := NewWithT(t)
		made := play(t, func() bool { return contended })
		begun, release := make(chan string, 8), make(chan struct{})
		var answer http.HandlerFunc = func(w http.ResponseWriter, r *http.Request) {
			begun <- r.Header.Get(vocabulary.Tenant)
			<-release
			signed(http.StatusOK)(w, r)
		}
		made.answer.Store(&answer)
		ended := make(chan struct{}, 8)
		send := func(tenant string) {
			told := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Minute, ExpectedServiceTime: 10 * time.Millisecond}
			req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/a/", strings.NewReader(""))
			req.Header.Set(hop.HeaderHop, told.Format())
			req.Header.Set(vocabulary.Tenant, tenant)
			made.handler.ServeHTTP(httptest.NewRecorder(), req)
			ended <- struct{}{}
		}
		for range 4 {
			go send("flood")
			g.Expect(<-begun).To(Equal("flood"))
		}
		go send("small")
		g.Eventually(func() int { return made.handler.Load().Waiting }).WithTimeout(10 * time.Second).Should(Equal(1))
		go send("flood")
		g.Eventually(func() int { return made.handler.Load().Waiting }).WithTimeout(10 * time.Second).Should(Equal(2))
		release <- struct{}{}
		next := <-begun
		close(release)
		g.Expect(next == "small").To(Equal(contended), next)
		for range 6 {
			<-ended
		}
	}
}

// TestRepliesTellOfShares where requests compete and shares are marked, and of nothing that no queue saw.
func TestRepliesTellOfShares(t *testing.T) {
	cases := []struct {
		name             string
		contended, marks bool
		change           func(*hop.Request)
		tells            bool
	}{
		{"competing", true, true, func(*hop.Request) {}, true},
		{"not competing", false, true, func(*hop.Request) {}, false},
		{"not marked", true, false, func(*hop.Request) {}, false},
		{"a nested call", true, true, func(told *hop.Request) { told.Nested = true }, false},
		{"for another service", true, true, func(told *hop.Request) { told.Service = "other" }, false},
	}
	for _, played := range cases {
		t.Run(played.name, func(t *testing.T) {
			g := NewWithT(t)
			made := play(t, func() bool { return played.contended })
			made.handler.SetReportShares(played.marks)
			answer := signed(http.StatusOK)
			made.answer.Store(&answer)
			told := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Second, ExpectedServiceTime: 10 * time.Millisecond}
			played.change(&told)
			req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/a/", strings.NewReader(""))
			req.Header.Set(hop.HeaderHop, told.Format())
			req.Header.Set(vocabulary.Tenant, "acme")
			recorder := httptest.NewRecorder()
			made.handler.ServeHTTP(recorder, req)
			g.Expect(recorder.Header().Get(hop.HeaderShare) != "").To(Equal(played.tells))
		})
	}
}
