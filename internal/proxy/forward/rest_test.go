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

// TestAForgetfulPeer forgets connections that rested for some time and breaks them
// at their next use.
func TestAForgetfulPeer(t *testing.T) {
	const forgets = 300 * time.Millisecond
	cases := []struct {
		name  string
		rests []time.Duration // before each request after the first
		once  bool
		lost  int
		opens int32
	}{
		{"short rests keep one connection", []time.Duration{forgets / 3, forgets / 3, forgets / 3}, false, 0, 1},
		{"a lost one teaches not to trust such a rest", []time.Duration{forgets * 4 / 3, forgets * 4 / 3, forgets * 4 / 3}, false, 1, 3},
		{"trust comes back", []time.Duration{forgets * 4 / 3, 0, 20 * time.Second, forgets / 2, forgets / 2}, false, 1, 3},
		{"one that may not be lost takes no risk", []time.Duration{forgets * 4 / 3, forgets * 4 / 3}, true, 0, 3},
		{"unless the rest was short", []time.Duration{forgets / 3, forgets / 3}, true, 0, 1},
	}
	for _, played := range cases {
		t.Run(played.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				server := &peer{}
				server.script = func(connection net.Conn, _ int32) {
					for {
						began := time.Now()
						if !server.read(connection) || time.Since(began) > forgets {
							return
						}
						server.answer(connection, wholeAnswer)
					}
				}
				pool := forward.NewPool("peer:80", forward.Limits{Connections: 8, IdleTimeout: time.Minute, DialTimeout: time.Second}, server.dial)
				defer pool.Close()
				lost := 0
				for _, rest := range append([]time.Duration{0}, played.rests...) {
					time.Sleep(rest)
					if !exchanged(pool, played.once) {
						lost++
					}
				}
				g.Expect(lost).To(Equal(played.lost))
				g.Expect(server.connections.Load()).To(Equal(played.opens))
			})
		})
	}
}

// exchanged sends one request and reports whether it was answered.
func exchanged(pool *forward.Pool, once bool) bool {
	send := pool.RoundTrip
	if once {
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
