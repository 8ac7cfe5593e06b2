package strictreply_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/strictreply"
)

// TestMalformedRepliesAreRejected guards against malformed replies that a client takes for answers.
func TestMalformedRepliesAreRejected(t *testing.T) {
	cases := []struct {
		name, reply string
		rejected    bool
	}{
		{"valid", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"highest status", "HTTP/1.1 599 Failed\r\nContent-Length: 2\r\n\r\nok", false},
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok", true},
		{"status 099", "HTTP/1.1 099 None\r\nContent-Length: 2\r\n\r\nok", true},
		{"status 600", "HTTP/1.1 600 None\r\nContent-Length: 2\r\n\r\nok", true},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA Name: x\r\nContent-Length: 2\r\n\r\nok", true},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nA\x01b: x\r\nContent-Length: 2\r\n\r\nok", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer listener.Close()
			go serveOnce(listener, tc.reply)
			client := &http.Client{Transport: strictreply.NewTransport(&http.Transport{})}
			response, err := client.Get("http://" + listener.Addr().String())
			g.Expect(err != nil).To(Equal(tc.rejected), "%v", err)
			if err == nil {
				g.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("ok"))
				g.Expect(response.Body.Close()).To(Succeed())
			}
			client.CloseIdleConnections()
		})
	}
}

func serveOnce(listener net.Listener, reply string) {
	accepted, err := listener.Accept()
	if err != nil {
		return
	}
	defer accepted.Close()
	if _, err := http.ReadRequest(bufio.NewReader(accepted)); err == nil {
		_, _ = io.WriteString(accepted, reply)
	}
}

// TestErrorNamesWhatIsMalformed checks that an error tells a status from a field.
func TestErrorNamesWhatIsMalformed(t *testing.T) {
	g := NewWithT(t)
	var malformed *strictreply.Error
	err := strictreply.Check(&http.Response{StatusCode: 0})
	g.Expect(errors.As(err, &malformed)).To(BeTrue())
	g.Expect(err).To(MatchError("malformed reply: 000 is no status of a reply"))
	err = strictreply.Check(&http.Response{StatusCode: http.StatusOK, Header: http.Header{"A b": {"x"}}})
	g.Expect(err).To(MatchError(`malformed reply: the name of the header field "A b" is no token`))
	g.Expect(strictreply.Check(&http.Response{StatusCode: http.StatusOK, Header: http.Header{"A": {"x"}}})).To(Succeed())
}
