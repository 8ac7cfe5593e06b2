package pipelining_test

import (
	"net/http"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// TestAnswerWithoutBodyDoesNotExceedTheHold guards against requests that wait behind answers whose stated length is that of a body they lack.
func TestAnswerWithoutBodyDoesNotExceedTheHold(t *testing.T) {
	for name, status := range map[string]int{"HEAD": http.StatusOK, "GET": http.StatusNotModified} {
		t.Run(name, func(t *testing.T) {
			served := startServer(t)
			connected := served.connect()
			connected.send(name+" /free/1 HTTP/1.1\r\nHost: h\r\n\r\n", get("/free/2"))
			served.awaitBegun(2)
			served.releaseWith("/free/1", func(w http.ResponseWriter) {
				w.Header().Set("Content-Length", strconv.Itoa(2<<20))
				w.WriteHeader(status)
			})
			served.release("/free/2")
			response, err := http.ReadResponse(connected.reader, &http.Request{Method: name})
			connected.g.Expect(err).NotTo(HaveOccurred())
			connected.g.Expect(response.StatusCode).To(Equal(status))
			connected.expect("/free/2")
			_, long := served.long.Load("/free/1")
			connected.g.Expect(long).To(BeFalse())
		})
	}
}
