package forward

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// TestBytesBeforeWrite guards against a request that is sent, or may have run by its outcome, after
// its connection was refused because of bytes that came before it.
func TestBytesBeforeWrite(t *testing.T) {
	g := NewWithT(t)
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	var reported []*ReplyError
	tracked := newTrackedConn(client, headerLimits{}, func(_ *http.Request, invalid *ReplyError) { reported = append(reported, invalid) })
	tracked.begin(t.Context())
	tracked.expect(http.MethodGet)
	const early = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	go func() { _, _ = io.WriteString(server, early) }()
	_, err := tracked.Read(make([]byte, 1<<10))
	g.Expect(err).To(MatchError(io.EOF))
	_, err = tracked.Write([]byte("GET"))
	g.Expect(err).To(MatchError(net.ErrClosed))
	g.Expect(tracked.seal()).To(BeTrue())
	g.Expect(reported).To(HaveLen(1))
	g.Expect(reported[0].Reason).To(Equal(Unsolicited))
	g.Expect(reported[0].Bytes).To(BeEquivalentTo(len(early)))
}
