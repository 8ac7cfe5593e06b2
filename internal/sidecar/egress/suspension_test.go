package egress

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock/clocktest"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
)

// remainingTimePeer returns a node that sends the remaining time of each request to left. served
// reports whether the request succeeds.
func remainingTimePeer(t *testing.T, left chan<- time.Duration, served func() bool) *peer {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hopRequest, err := hop.ParseRequest(r.Header.Get(hop.HeaderHop))
		if err != nil {
			t.Error(err)
			return
		}
		left <- hopRequest.Remaining
		if !served() {
			w.Header().Set(outcome.HeaderOutcome, string(outcome.Unknown))
			w.Header().Set(outcome.HeaderError, "step=await")
			w.WriteHeader(http.StatusBadGateway)
		}
	}))
	t.Cleanup(server.Close)
	return &peer{address: server.Listener.Addr().String()}
}

// TestRetryAfterSuspension: a retry carries the time that the caller has left after the machine was
// suspended.
func TestRetryAfterSuspension(t *testing.T) {
	g := NewWithT(t)
	suspend := clocktest.Suspender(t)
	const given, slept = 4 * time.Second, 3 * time.Second
	left := make(chan time.Duration, 2)
	var sends atomic.Int64
	served := func() bool {
		if sends.Add(1) > 1 {
			return true
		}
		suspend(slept)
		return false
	}
	handler := newHandler(t, &fakeObserver{}, probeOK, remainingTimePeer(t, left, served), remainingTimePeer(t, left, served))
	g.Expect(callWithin(handler, given)).To(Equal(http.StatusOK))
	g.Expect(<-left).To(BeNumerically("~", given, slept/2))
	g.Expect(<-left).To(BeNumerically("<=", given-slept))
}

// TestRequestReadAfterSuspension: a request that is read after a suspension may have waited for all
// of it.
func TestRequestReadAfterSuspension(t *testing.T) {
	g := NewWithT(t)
	suspend := clocktest.Suspender(t)
	const given, slept = 4 * time.Second, 3 * time.Second
	left := make(chan time.Duration, 1)
	handler := newHandler(t, &fakeObserver{}, probeOK, remainingTimePeer(t, left, func() bool { return true }))
	suspend(slept)
	g.Expect(callWithin(handler, given)).To(Equal(http.StatusOK))
	g.Expect(<-left).To(BeNumerically("<=", given-slept))
	suspend(given)
	g.Expect(callWithin(handler, given)).To(Equal(http.StatusServiceUnavailable), "its caller is gone, or comes back")
	g.Expect(left).To(BeEmpty())
}

// callWithin sends a repeatable request whose caller waits that long, and returns the status.
func callWithin(handler *Handler, given time.Duration) int {
	request := httptest.NewRequest(http.MethodGet, "/safe/", nil)
	request.Host = "h"
	request.Header.Set(handler.options.Vocabulary.Deadline, hop.FormatMilliseconds(given))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Code
}
