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

// TestPeerDropsIdleConnections forgets connections that rested for some time and breaks them
// at their next use.
func TestPeerDropsIdleConnections(t *testing.T) {
	const peerIdleTimeout = 300 * time.Millisecond
	cases := []struct {
		name          string
		idleTimes     []time.Duration // before each request after the first
		nonRepeatable bool
		lost          int
		opens         int32
	}{
		{"short rests keep one connection", []time.Duration{peerIdleTimeout / 3, peerIdleTimeout / 3, peerIdleTimeout / 3}, false, 0, 1},
		{"a lost one teaches not to trust such a rest", []time.Duration{peerIdleTimeout * 4 / 3, peerIdleTimeout * 4 / 3, peerIdleTimeout * 4 / 3}, false, 1, 3},
		{"trust comes back", []time.Duration{peerIdleTimeout * 4 / 3, 0, 20 * time.Second, peerIdleTimeout / 2, peerIdleTimeout / 2}, false, 1, 3},
		{"one that may not be lost takes no risk", []time.Duration{peerIdleTimeout * 4 / 3, peerIdleTimeout * 4 / 3}, true, 0, 3},
		{"unless the rest was short", []time.Duration{peerIdleTimeout / 3, peerIdleTimeout / 3}, true, 0, 1},
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
						server.answer(connection, wholeAnswer)
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

// exchangeSucceeds sends one request and reports whether it was answered.
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
