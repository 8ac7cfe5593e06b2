package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/standin/endless"
)

// TestPeerHeaderWithoutEnd guards against the memory of a reply's header that does not end.
func TestPeerHeaderWithoutEnd(t *testing.T) {
	const maxBytes = 68 << 10
	for _, stream := range append(endless.NoAnswers(), endless.Heads("")...) {
		t.Run(stream.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sent := make(chan int64, 1)
				client := newClient(func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						_, _ = http.ReadRequest(bufio.NewReader(far))
						sent <- stream.Send(far)
					}()
					return near, nil
				})
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://peer/", nil)
				g.Expect(err).NotTo(HaveOccurred())
				_, err = client.Do(request)
				g.Expect(err).To(HaveOccurred())
				g.Expect(<-sent).To(BeNumerically("<=", maxBytes))
			})
		})
	}
}
