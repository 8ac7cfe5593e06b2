package forward_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
)

// TestPeerDropsIdleConnections uses a peer that silently drops connections after an idle time of
// peerIdleTimeout, so that their next request fails, and checks how many requests are lost.
func TestPeerDropsIdleConnections(t *testing.T) {
	const peerIdleTimeout = 300 * time.Millisecond
	cases := []struct {
		name          string
		idleTimes     []time.Duration // before each request after the first
		nonRepeatable bool
		lost          int
		opens         int32
	}{
		{"short idle times keep one connection", []time.Duration{peerIdleTimeout / 3, peerIdleTimeout / 3, peerIdleTimeout / 3}, false, 0, 1},
		{"a lost request lowers the idle bound", []time.Duration{peerIdleTimeout * 4 / 3, peerIdleTimeout * 4 / 3, peerIdleTimeout * 4 / 3}, false, 1, 3},
		{"the idle bound grows back", []time.Duration{peerIdleTimeout * 4 / 3, 0, 20 * time.Second, peerIdleTimeout / 2, peerIdleTimeout / 2}, false, 1, 3},
		{"a non-repeatable request avoids idle connections", []time.Duration{peerIdleTimeout * 4 / 3, peerIdleTimeout * 4 / 3}, true, 0, 3},
		{"a non-repeatable request reuses a connection after a short idle time", []time.Duration{peerIdleTimeout / 3, peerIdleTimeout / 3}, true, 0, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				server := &scriptedPeer{}
				server.script = func(connection net.Conn, _ int32) {
					for {
						began := time.Now()
						if !server.read(connection) || time.Since(began) > peerIdleTimeout {
							return
						}
						server.answer(connection, completeReply)
					}
				}
				pool := forward.NewPool("peer:80", forward.Limits{Connections: 8, IdleTimeout: time.Minute, DialTimeout: time.Second}, server.dial)
				defer pool.Close()
				lost := 0
				for _, idleTime := range append([]time.Duration{0}, test.idleTimes...) {
					time.Sleep(idleTime)
					if !exchangeSucceeds(pool, test.nonRepeatable) {
						lost++
					}
				}
				g.Expect(lost).To(Equal(test.lost))
				g.Expect(server.connections.Load()).To(Equal(test.opens))
			})
		})
	}
}

// exchangeSucceeds sends one request and reports whether it received a complete reply.
func exchangeSucceeds(pool *forward.Pool, nonRepeatable bool) bool {
	send := pool.RoundTrip
	if nonRepeatable {
		send = pool.RoundTripNonRepeatable
	}
	req, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://peer:80/", nil)
	resp, err := send(req)
	if err != nil {
		return false
	}
	buf := make([]byte, 8)
	for err == nil {
		_, err = resp.Body.Read(buf)
	}
	return resp.Body.Close() == nil
}
