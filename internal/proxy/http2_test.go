package proxy_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
)

// TestHTTP2Callers uses real connections because the standard library implements
// TLS and HTTP/2. It waits for events and never for a fixed time.
func TestHTTP2Callers(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		whole   bool
		status  int
		outcome string
	}{
		{"whole answer", answerOK, true, 200, ""},
		{"large answer", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) }, true, 200, ""},
		{"truncated answer with Content-Length", killInBody, false, 200, ""},
		{"truncated chunked answer", killInChunks, false, 200, ""},
		{"killed after the run", killAfterRun, true, 502, "unknown"},
	}
	for _, call := range cases {
		t.Run(call.name, func(t *testing.T) {
			g := NewWithT(t)
			testMesh := newMesh(1, nil)
			defer testMesh.close()
			testMesh.setHandlers(call.handler)
			callers := httptest.NewUnstartedServer(testMesh.caller.Outbound())
			callers.EnableHTTP2 = true
			testMesh.caller.ConfigureServer(callers.Config)
			callers.StartTLS()
			defer callers.Close()
			request := testMesh.request("POST", "one")
			request.URL.Scheme, request.URL.Host = "https", callers.Listener.Addr().String()
			response, err := callers.Client().Do(request)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			g.Expect(response.ProtoMajor).To(Equal(2))
			g.Expect(response.StatusCode).To(Equal(call.status))
			g.Expect(response.Header.Get("Kestrel-Outcome")).To(Equal(call.outcome))
			_, err = io.Copy(io.Discard, response.Body)
			if call.whole {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(HaveOccurred())
			}
			g.Expect(testMesh.runCount("one")).To(Equal(1))
		})
	}
}
