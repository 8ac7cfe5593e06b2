package forward_test

import (
	"context"
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

// sendReplies sends replies one after the other. A pause lets the pool read each before the next.
func sendReplies(p *scriptedPeer, connection net.Conn, replies []string) {
	const pause = time.Millisecond
	for i, reply := range replies {
		if i > 0 {
			time.Sleep(pause)
		}
		p.answer(connection, reply)
	}
}

// TestReplyToAnotherRequest guards against a reply that is taken for that to another request, and
// against a reply that is lost because one to another request came before it.
func TestReplyToAnotherRequest(t *testing.T) {
	const (
		withBody = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 5\r\n\r\nlater"
		chunked  = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nlater\r\n0\r\n\r\n"
		last     = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		interim  = "HTTP/1.1 103 Early Hints\r\n\r\n"
	)
	own := replyTo("a", 200)
	cases := []struct {
		name, request string
		replies       []string
		// foreign is the number of replies to other requests that the pool sees; valid: the own
		// reply is returned.
		foreign int
		valid   bool
	}{
		{"the same id", "a", []string{own}, 0, true},
		{"no id in either", "", []string{replyTo("", 200)}, 0, true},
		{"an earlier success", "a", []string{replyTo("b", 200), own}, 1, true},
		{"an earlier rejection", "a", []string{replyTo("b", 503), own}, 1, true},
		{"an earlier reply of another instance", "a", []string{replyTo("b", 421), own}, 1, true},
		{"an earlier reply with a body", "a", []string{withBody, own}, 1, true},
		{"an earlier reply in chunks", "a", []string{chunked, own}, 1, true},
		{"an interim reply after it", "a", []string{replyTo("b", 200), interim, own}, 1, true},
		{"an earlier reply to a request without an id", "", []string{replyTo("b", 200), replyTo("", 200)}, 1, true},
		{"two earlier replies", "a", []string{replyTo("b", 503), replyTo("b", 503), own}, 2, false},
		{"a reply to none of the connection's requests", "a", []string{replyTo("c", 503), own}, 1, false},
		{"an earlier reply that ends the connection", "a", []string{last}, 1, false},
		{"an earlier reply that is broken off", "a", []string{withBody[:len(withBody)-2]}, 1, false},
		{"nothing after an earlier reply", "a", []string{replyTo("b", 503)}, 1, false},
		{"no reply after an earlier one", "a", []string{replyTo("b", 503), "SSH-2.0\r\n\r\n"}, 1, false},
		{"no id in the reply", "a", []string{replyTo("", 503), own}, 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				served := &scriptedPeer{}
				served.script = func(connection net.Conn, _ int32) {
					if served.read(connection) {
						served.answer(connection, replyTo("b", 200))
					}
					if served.read(connection) {
						sendReplies(served, connection, tc.replies)
					}
					if tc.valid && served.read(connection) {
						served.answer(connection, replyTo("next", 200))
					}
				}
				foreign := 0
				pool := newCorrelatedPool(served, &foreign)
				defer time.Sleep(time.Second) // the script ends
				defer pool.Close()
				_, err := exchange(pool, requestWithID("b"))
				g.Expect(err).NotTo(HaveOccurred())
				response, err := pool.RoundTrip(requestWithID(tc.request))
				g.Expect(foreign).To(Equal(tc.foreign))
				if !tc.valid {
					g.Expect(err).To(MatchError(forward.ErrForeignReply))
					g.Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
					g.Expect(pool.Open()).To(BeZero(), "the own reply may still follow")
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.Header.Get(idHeader)).To(Equal(tc.request))
				g.Expect(response.Body.Close()).To(Succeed())
				_, err = exchange(pool, requestWithID("next"))
				g.Expect(err).NotTo(HaveOccurred(), "the connection is used again")
				g.Expect(served.connections.Load()).To(BeEquivalentTo(1))
				g.Expect(served.arrivals.Load()).To(BeEquivalentTo(3), "nothing is sent twice")
			})
		})
	}
}

// TestReplyRightAfterForeignOne guards against a wrong reply, a lost one or a second send when both
// replies arrive at once, or in pieces that do not end where the first reply does.
func TestReplyRightAfterForeignOne(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nlater\r\n0\r\n\r\n"
	const withBody = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 5\r\n\r\nlater"
	const own = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok"
	for _, foreignReply := range []string{replyTo("b", 503), withBody, chunked} {
		for _, surplus := range []string{"", "noise"} {
			for size := 1; size <= len(foreignReply+own+surplus); size++ {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					served := &scriptedPeer{}
					served.script = func(connection net.Conn, _ int32) {
						if served.read(connection) {
							served.answer(connection, replyTo("b", 200))
						}
						if served.read(connection) {
							sendPieces(served, connection, foreignReply+own+surplus, size)
						}
						if served.read(connection) {
							served.answer(connection, replyTo("next", 200))
						}
					}
					foreign := 0
					pool := newCorrelatedPool(served, &foreign)
					defer time.Sleep(time.Second) // the script ends
					defer pool.Close()
					_, err := exchange(pool, requestWithID("b"))
					g.Expect(err).NotTo(HaveOccurred())
					got, err := exchange(pool, requestWithID("a"))
					g.Expect(err).NotTo(HaveOccurred(), "pieces of %d bytes", size)
					g.Expect(got).To(Equal("ok"))
					g.Expect(foreign).To(Equal(1))
					time.Sleep(time.Second)
					g.Expect(served.arrivals.Load()).To(BeEquivalentTo(2), "nothing is sent twice")
					pool.Sweep(time.Now())
					if surplus == "" {
						_, err = exchange(pool, requestWithID("next"))
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(served.connections.Load()).To(BeEquivalentTo(1), "the connection is used again")
					} else {
						g.Expect(pool.Open()).To(BeZero())
					}
				})
			}
		}
	}
}

// sendPieces sends the text in pieces of the size.
func sendPieces(p *scriptedPeer, connection net.Conn, text string, size int) {
	for ; len(text) > size; text = text[size:] {
		p.answer(connection, text[:size])
	}
	p.answer(connection, text)
}

// TestForeignReplyToHead guards against an own reply that is read as the body of a reply to HEAD,
// which has none.
func TestForeignReplyToHead(t *testing.T) {
	const toHead = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 5000\r\n\r\n"
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		served := &scriptedPeer{}
		served.script = func(connection net.Conn, _ int32) {
			for served.read(connection) {
				served.answer(connection, toHead)
			}
		}
		foreign := 0
		pool := newCorrelatedPool(served, &foreign)
		defer pool.Close()
		head := requestWithID("b")
		head.Method = http.MethodHead
		_, err := exchange(pool, head)
		g.Expect(err).NotTo(HaveOccurred())
		sent := time.Now()
		_, err = pool.RoundTrip(requestWithID("a"))
		g.Expect(err).To(MatchError(forward.ErrForeignReply))
		g.Expect(time.Since(sent)).To(BeZero(), "the end of the foreign reply is not awaited")
	})
}

// TestCancelledWaitForOwnReply checks that the request's context bounds the wait for the reply that
// follows one to another request.
func TestCancelledWaitForOwnReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		served := &scriptedPeer{}
		served.script = func(connection net.Conn, _ int32) {
			for served.read(connection) {
				served.answer(connection, replyTo("b", 503))
			}
		}
		foreign := 0
		pool := newCorrelatedPool(served, &foreign)
		defer pool.Close()
		_, err := exchange(pool, requestWithID("b"))
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = pool.RoundTrip(requestWithID("a").WithContext(ctx))
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		g.Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
		g.Expect(pool.Open()).To(BeZero())
	})
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
