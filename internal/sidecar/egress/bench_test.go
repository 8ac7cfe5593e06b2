package egress

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// BenchmarkRefused measures one call that every node refuses, on the caller's side and including
// the servers of those nodes.
func BenchmarkRefused(b *testing.B) {
	refusing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(outcome.HeaderOutcome, "not-run")
		w.Header().Set(outcome.HeaderError, "step=admit")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	var peers []*peer
	for range maxRefusals {
		server := httptest.NewServer(refusing)
		defer server.Close()
		peers = append(peers, &peer{address: server.Listener.Addr().String()})
	}
	handler := newHandler(b, &fakeObserver{}, probeOK, peers...)
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest(http.MethodGet, "/safe/1", nil)
		request.Host = "h"
		request.Header.Set("Deadline-Ms", "3000")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusServiceUnavailable {
			b.Fatal(recorder.Code)
		}
	}
}
