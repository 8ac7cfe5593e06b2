package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

const idHeader = "Request-Id"

// replyTo returns a complete reply without a body.
func replyTo(id string, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, idHeader, id)
}

func newCorrelatedPool(p *scriptedPeer, foreign *int) *forward.Pool {
	limits := forward.Limits{Connections: 4, IdleTimeout: time.Minute, DialTimeout: time.Second}
	limits.Correlation = forward.Correlation{Header: idHeader, OnForeign: func(*http.Request, *http.Response) { *foreign++ }}
	return forward.NewPool("peer:80", limits, p.dial)
}

func requestWithID(id string) *http.Request {
	request, err := http.NewRequest(http.MethodGet, "http://peer:80/", nil)
	if err != nil {
		panic(err)
	}
	if id != "" {
		request.Header.Set(idHeader, id)
	}
	return request
}

// TestReplyToAnotherRequest guards against a reply that is taken for that to another request,
// whatever its status.
func TestReplyToAnotherRequest(t *testing.T) {
	cases := []struct {
		name, request, reply string
		foreign              bool
	}{
		{"the same id", "a", "a", false},
		{"another id", "a", "b", true},
		{"no id in the reply", "a", "", true},
		{"no id in the request", "", "a", true},
		{"no id in either", "", "", false},
	}
	for _, tc := range cases {
		for _, status := range []int{200, 421, 429, 503} {
			t.Run(fmt.Sprint(tc.name, " ", status), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					served := &scriptedPeer{}
					served.script = func(connection net.Conn, _ int32) {
						for served.read(connection) {
							served.answer(connection, replyTo(tc.reply, status))
						}
					}
					foreign := 0
					pool := newCorrelatedPool(served, &foreign)
					defer pool.Close()
					_, err := exchange(pool, requestWithID(tc.request))
					if !tc.foreign {
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(foreign).To(BeZero())
						g.Expect(pool.Open()).To(Equal(1))
						return
					}
					g.Expect(err).To(MatchError(forward.ErrForeignReply))
					g.Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
					g.Expect(foreign).To(Equal(1))
					g.Expect(pool.Open()).To(BeZero(), "the reply to the request may still follow")
				})
			})
		}
	}
}

// TestRepeatedRequestUsesAnotherConnection guards against a second reply to the first send of a
// request that is taken for the reply to its second send.
func TestRepeatedRequestUsesAnotherConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		served := &scriptedPeer{}
		served.script = func(connection net.Conn, count int32) {
			for sends := 1; served.read(connection); sends++ {
				if sends > 1 {
					served.answer(connection, replyTo("a", 503))
					return
				}
				served.answer(connection, replyTo("a", map[int32]int{1: 503, 2: 200}[count]))
			}
		}
		foreign := 0
		pool := newCorrelatedPool(served, &foreign)
		defer pool.Close()
		for _, status := range []int{503, 200} {
			response, err := pool.RoundTrip(requestWithID("a"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(status))
			g.Expect(response.Body.Close()).To(Succeed())
		}
		g.Expect(served.connections.Load()).To(BeEquivalentTo(2))
		g.Expect(pool.Open()).To(Equal(1))
	})
}
