package pipelining_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// upload returns a request with a body that must not be run concurrently with others.
func upload(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", path, headers, len(body), body)
}

// TestTextOfABodyIsNotRun guards against a request that is run although it is text in the body of another one.
func TestTextOfABodyIsNotRun(t *testing.T) {
	hidden := get("/free/hidden")
	cases := map[string]struct {
		sent  string
		paths []string
	}{
		"line ends without a carriage return": {"GET /free/1 HTTP/1.1\nHost: h\n\n" + upload("/2", "", hidden), []string{"/free/1", "/2"}},
		"empty lines behind an upload": {
			upload("/1", "", "") + "\r\n\r\n" + upload("/2", "Padding: "+strings.Repeat("p", len(hidden))+"\r\n", hidden) + get("/free/3"),
			[]string{"/1", "/2", "/free/3"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			served := startServer(t)
			for _, path := range tc.paths {
				served.release(path)
			}
			connected := served.connect()
			connected.send(tc.sent)
			connected.expect(tc.paths...)
			time.Sleep(100 * time.Millisecond)
			var begun []string
			for len(served.begun) > 0 {
				begun = append(begun, <-served.begun)
			}
			connected.g.Expect(begun).To(ConsistOf(tc.paths))
		})
	}
}
