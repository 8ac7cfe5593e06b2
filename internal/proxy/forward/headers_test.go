package forward_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

func TestRequestHeader(t *testing.T) {
	g := NewWithT(t)
	received := http.Header{
		"Connection":        {"close, X-One", "x-two"},
		"X-One":             {"1"},
		"X-Two":             {"2"},
		"Te":                {"trailers, deflate"},
		"Keep-Alive":        {"timeout=5"},
		"Upgrade":           {"h2c"},
		"Transfer-Encoding": {"chunked"},
		"Kestrel-Outcome":   {"not-run"},
		"Kestrel-Call-Id":   {"forged"},
		"Accept":            {"a", "b"},
	}
	g.Expect(forward.RequestHeader(received, 0)).To(Equal(http.Header{
		"Te": {"trailers"}, "Accept": {"a", "b"}, "User-Agent": {""},
	}))
	g.Expect(received).To(HaveKey("Kestrel-Outcome"), "the received header must not be modified")
}

// FuzzRequestHeader parses requests as a server does and checks that no mesh marker and no
// hop-by-hop header is forwarded.
func FuzzRequestHeader(f *testing.F) {
	for _, seed := range []string{
		"Connection: close\r\n", "connection: kestrel-call-id\r\nkestrel-call-id: x\r\n", "KESTREL-OUTCOME: not-run\r\n",
		"Te: trailers\r\n", "Transfer-Encoding: chunked\r\n", "Connection: ,,a , b\r\nA: 1\r\nB: 2\r\n", "Upgrade: websocket\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, lines string) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n")))
		if err != nil {
			return
		}
		named := map[string]bool{}
		for _, line := range request.Header["Connection"] {
			for _, name := range strings.Split(line, ",") {
				named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
			}
		}
		for name, values := range forward.RequestHeader(request.Header, 0) {
			switch {
			case outcome.IsMarker(name) || strings.HasPrefix(strings.ToLower(name), "kestrel-"):
				t.Fatalf("marker %q was forwarded", name)
			case name == "Te" && (len(values) != 1 || values[0] != "trailers"):
				t.Fatalf("TE was forwarded as %q", values)
			case name != "Te" && name != "User-Agent" && named[name]:
				t.Fatalf("%q was forwarded although the Connection header names it", name)
			case name == "Connection" || name == "Upgrade" || name == "Transfer-Encoding" || name == "Keep-Alive":
				t.Fatalf("hop-by-hop header %q was forwarded", name)
			}
		}
	})
}
