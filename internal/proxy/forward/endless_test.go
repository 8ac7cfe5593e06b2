package forward_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/standin/endless"
)

const (
	testHeaderBytes   = 8 << 10
	testHeaderTimeout = time.Second
	testInterim       = 5
	testDroppedBytes  = 32 << 10
	testDroppedTime   = 100 * time.Millisecond
)

// rejections records what a pool rejects.
type rejections struct {
	mu  sync.Mutex // guards all below
	all []*forward.ReplyError
}

func (r *rejections) add(_ *http.Request, invalid *forward.ReplyError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, invalid)
}

func (r *rejections) list() []*forward.ReplyError {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.all)
}

// boundedPool returns a pool with bounds of replies and the rejections that it reports.
func boundedPool(p *scriptedPeer) (*forward.Pool, *rejections) {
	rejected := &rejections{}
	limits := forward.Limits{
		Connections: 4, IdleTimeout: time.Minute, DialTimeout: time.Second,
		ReplyHeaderBytes: testHeaderBytes, ReplyHeaderTimeout: testHeaderTimeout, InterimReplies: testInterim,
		DroppedReplyBytes: testDroppedBytes, DroppedReplyTimeout: testDroppedTime, Correlation: forward.Correlation{Header: idHeader},
		OnInvalid: rejected.add,
	}
	return forward.NewPool("peer:80", limits, p.dial), rejected
}

// roundTripWithin sends a request that is cancelled long after all bounds.
func roundTripWithin(t *testing.T, pool *forward.Pool, id string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*testHeaderTimeout)
	t.Cleanup(cancel)
	return pool.RoundTrip(requestWithID(id).WithContext(ctx))
}

// streaming returns a script that reads a request and sends the stream.
func streaming(p *scriptedPeer, stream endless.Stream) func(net.Conn, int32) {
	return func(connection net.Conn, _ int32) {
		if p.read(connection) {
			stream.Send(connection)
		}
	}
}

// TestHeaderWithoutEnd guards against an exchange that lasts until its deadline while the peer sends
// bytes that never become a reply.
func TestHeaderWithoutEnd(t *testing.T) {
	reasons := map[string]forward.Reason{"header of single bytes": forward.HeaderTooSlow, "interim answers": forward.TooManyInterim}
	check := func(stream endless.Stream, reason forward.Reason) {
		t.Run(stream.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				served := &scriptedPeer{}
				served.script = streaming(served, stream)
				pool, rejected := boundedPool(served)
				begun := time.Now()
				_, err := roundTripWithin(t, pool, "a")
				elapsed := time.Since(begun)
				var invalid *forward.ReplyError
				g.Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
				g.Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
				g.Expect(rejected.list()).To(Equal([]*forward.ReplyError{invalid}))
				g.Expect(invalid.Reason).To(Equal(reason))
				g.Expect(invalid.Bytes).To(And(BeNumerically(">", 0), BeNumerically("<=", testHeaderBytes+2<<10)))
				g.Expect(invalid.Elapsed).To(Equal(elapsed))
				g.Expect(elapsed).To(BeNumerically("<", 2*testHeaderTimeout))
				g.Expect(pool.Open()).To(BeZero())
				time.Sleep(time.Second) // the script ends
			})
		})
	}
	for _, stream := range endless.NoAnswers() {
		check(stream, forward.NotHTTP)
	}
	for _, stream := range endless.Heads("Request-Id: a\r\n") {
		reason := forward.HeaderTooLarge
		if special, found := reasons[stream.Name]; found {
			reason = special
		}
		check(stream, reason)
	}
}

// TestReplyInPieces guards against a valid reply that is rejected because its header arrives in
// pieces, after interim replies or after a long wait.
func TestReplyInPieces(t *testing.T) {
	const reply = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	cases := map[string][]string{
		"single bytes":  strings.Split(reply, ""),
		"lines":         strings.SplitAfter(reply, "\n"),
		"line ends":     strings.SplitAfter(reply, "\r"),
		"one piece":     {reply},
		"bare newlines": {strings.ReplaceAll(reply[:strings.Index(reply, "2\r\n")], "\r\n", "\n"), "2\r\nok\r\n0\r\n\r\n"},
	}
	for name, pieces := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				served := &scriptedPeer{}
				served.script = func(connection net.Conn, _ int32) {
					for served.read(connection) {
						time.Sleep(10 * testHeaderTimeout)
						for _, piece := range pieces {
							served.answer(connection, piece)
							time.Sleep(testHeaderTimeout / time.Duration(2*len(reply)))
						}
					}
				}
				pool, rejected := boundedPool(served)
				defer pool.Close()
				for range 3 {
					g.Expect(exchange(pool, requestWithID(""))).To(Equal("ok"))
					time.Sleep(testHeaderTimeout)
				}
				g.Expect(rejected.list()).To(BeEmpty())
				g.Expect(served.connections.Load()).To(BeEquivalentTo(1))
			})
		})
	}
}

// TestForeignReplyWithoutEnd guards against an exchange that lasts until its deadline while the peer
// sends an endless reply to another request.
func TestForeignReplyWithoutEnd(t *testing.T) {
	const earlier = "Request-Id: b\r\n"
	reasons := map[string]forward.Reason{
		"body in chunks": forward.DroppedTooLarge, "body of a great length": forward.DroppedTooLarge,
		"chunks of single bytes": forward.DroppedTooSlow,
	}
	valid, invalid := endless.Bodies(earlier)
	for _, stream := range append(valid, invalid...) {
		t.Run(stream.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				served := &scriptedPeer{}
				served.script = func(connection net.Conn, _ int32) {
					if served.read(connection) {
						served.answer(connection, replyTo("b", 200))
					}
					if served.read(connection) {
						stream.Send(connection)
					}
				}
				pool, rejected := boundedPool(served)
				_, err := exchange(pool, requestWithID("b"))
				g.Expect(err).NotTo(HaveOccurred())
				begun := time.Now()
				_, err = roundTripWithin(t, pool, "a")
				g.Expect(time.Since(begun)).To(BeNumerically("<", 2*testDroppedTime))
				g.Expect(err).To(MatchError(forward.ErrForeignReply))
				g.Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
				g.Expect(pool.Open()).To(BeZero())
				time.Sleep(time.Second) // the script ends
				reason, bounded := reasons[stream.Name]
				if !bounded {
					g.Expect(rejected.list()).To(BeEmpty())
					return
				}
				g.Expect(rejected.list()).To(HaveLen(1))
				g.Expect(rejected.list()[0].Reason).To(Equal(reason))
				g.Expect(rejected.list()[0].Bytes).To(BeNumerically("<=", testDroppedBytes+testHeaderBytes))
			})
		})
	}
}

// TestErrorTextIsBounded guards against log lines as long as what the peer sent.
func TestErrorTextIsBounded(t *testing.T) {
	const maxText = 512
	noise := strings.Repeat("\x00", 4<<10)
	for _, reply := range []string{"HTTP/1.1 " + noise + "\r\n\r\n", "HTTP/1.1 200 OK\r\n" + noise + "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: " + noise + "\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			served := &scriptedPeer{}
			served.script = func(connection net.Conn, _ int32) {
				if served.read(connection) {
					served.answer(connection, reply)
				}
			}
			pool, _ := boundedPool(served)
			_, err := pool.RoundTrip(requestWithID("a"))
			g.Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
			g.Expect(len(err.Error())).To(BeNumerically("<", maxText))
		})
	}
}

// TestBodyBound guards against a body within the bound that is broken off, and one beyond it that
// looks whole.
func TestBodyBound(t *testing.T) {
	const limit = 64 << 10
	for _, size := range []int{limit, limit + 1} {
		body := strings.Repeat("x", size)
		replies := map[string]string{
			"length":      fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body),
			"chunks":      fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body),
			"until close": "HTTP/1.1 200 OK\r\n\r\n" + body,
		}
		for name, reply := range replies {
			t.Run(fmt.Sprint(name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					served := &scriptedPeer{}
					served.script = func(connection net.Conn, _ int32) {
						if served.read(connection) {
							served.answer(connection, reply)
						}
					}
					pool := forward.NewPool("peer:80", forward.Limits{
						Connections: 1, IdleTimeout: time.Minute, DialTimeout: time.Second, ReplyBodyBytes: limit, AllowUnframed: true,
					}, served.dial)
					defer pool.Close()
					got, err := exchange(pool, requestWithID(""))
					if size <= limit {
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(got).To(HaveLen(size))
						return
					}
					var invalid *forward.ReplyError
					g.Expect(errors.As(err, &invalid)).To(BeTrue())
					g.Expect(invalid.Reason).To(Equal(forward.BodyTooLarge))
					g.Expect(pool.Open()).To(BeZero())
				})
			})
		}
	}
}

// captureStandardLog returns what is written to the standard logger during the test.
func captureStandardLog(t *testing.T) *bytes.Buffer {
	written := &bytes.Buffer{}
	former := log.Writer()
	log.SetOutput(written)
	t.Cleanup(func() { log.SetOutput(former) })
	return written
}

// TestBytesAfterReply guards against bytes after a whole reply that reach net/http, which writes them
// to the standard logger, or that are taken for the next reply.
func TestBytesAfterReply(t *testing.T) {
	for _, stream := range endless.Surplus("") {
		t.Run(stream.Name, func(t *testing.T) {
			written := captureStandardLog(t)
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				served := &scriptedPeer{}
				served.script = streaming(served, stream)
				pool, rejected := boundedPool(served)
				defer pool.Close()
				for count := 1; count <= 3; count++ {
					got, err := exchange(pool, requestWithID(""))
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(got).To(Or(Equal("ok"), BeEmpty()))
					time.Sleep(time.Second)
					g.Expect(rejected.list()).To(HaveLen(count))
					invalid := rejected.list()[count-1]
					g.Expect(invalid.Reason).To(Equal(forward.Unsolicited))
					g.Expect(invalid.Bytes).To(BeNumerically("<=", 4<<10))
					pool.Sweep(time.Now())
					g.Expect(pool.Open()).To(BeZero())
					g.Expect(served.connections.Load()).To(BeEquivalentTo(count))
				}
			})
			if written.Len() > 0 {
				t.Errorf("written to the standard logger: %.200q", written)
			}
		})
	}
}

// TestTimeoutReplyWhileIdle guards against reports about a server that closes an idle connection.
func TestTimeoutReplyWhileIdle(t *testing.T) {
	written := captureStandardLog(t)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		served := &scriptedPeer{}
		served.script = func(connection net.Conn, _ int32) {
			if served.read(connection) {
				served.answer(connection, completeReply)
				time.Sleep(time.Second)
				served.answer(connection, "HTTP/1.0 408 Request Time-out\r\nConnection: close\r\n\r\n")
			}
		}
		pool, rejected := boundedPool(served)
		defer pool.Close()
		for range 2 {
			g.Expect(exchange(pool, requestWithID(""))).To(Equal("ok"))
			time.Sleep(2 * time.Second)
		}
		g.Expect(rejected.list()).To(BeEmpty())
		g.Expect(served.connections.Load()).To(BeEquivalentTo(2))
	})
	if written.Len() > 0 {
		t.Errorf("written to the standard logger: %.200q", written)
	}
}

// TestBytesBeforeRequest guards against bytes on a new connection that are taken for a reply.
func TestBytesBeforeRequest(t *testing.T) {
	for _, banner := range []string{"SSH-2.0-noise\r\n", completeReply} {
		written := captureStandardLog(t)
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			served := &scriptedPeer{}
			served.script = func(connection net.Conn, _ int32) {
				served.answer(connection, banner)
				served.read(connection)
			}
			pool, rejected := boundedPool(served)
			defer pool.Close()
			pool.SetLimits(forward.Limits{Connections: 4, IdleTimeout: time.Minute, DialTimeout: time.Second, WarmIdle: 1})
			pool.Warm()
			synctest.Wait()
			g.Expect(rejected.list()).To(HaveLen(1))
			g.Expect(rejected.list()[0].Reason).To(Equal(forward.Unsolicited))
			pool.Sweep(time.Now())
			g.Expect(pool.Open()).To(BeZero())
			g.Expect(served.arrivals.Load()).To(BeZero())
		})
		if written.Len() > 0 {
			t.Errorf("written to the standard logger: %.200q", written)
		}
	}
}
