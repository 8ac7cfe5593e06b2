package forward_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// scriptedPeer runs a script as the server of each connection; connections are numbered from one.
type scriptedPeer struct {
	script      func(connection net.Conn, count int32)
	connections atomic.Int32
	// arrivals counts the requests whose header was read.
	arrivals atomic.Int32
}

func (p *scriptedPeer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	count := p.connections.Add(1)
	go func() {
		defer server.Close()
		p.script(server, count)
	}()
	return client, nil
}

// read reads one complete request from the connection.
func (p *scriptedPeer) read(connection net.Conn) bool {
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return false
	}
	p.arrivals.Add(1)
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

func (p *scriptedPeer) answer(connection net.Conn, text string) {
	_, _ = io.WriteString(connection, text)
}

const completeReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// breakOnSecondRequest returns a script that answers every request but the second, for which it
// calls the given function and closes the connection.
func breakOnSecondRequest(p *scriptedPeer, second func(connection net.Conn)) func(net.Conn, int32) {
	return func(connection net.Conn, count int32) {
		for p.read(connection) {
			if p.arrivals.Load() == 2 {
				second(connection)
				return
			}
			p.answer(connection, completeReply)
		}
	}
}

// replayableRequests returns requests that http.Transport would resend by itself after a pooled
// connection fails.
func replayableRequests() map[string]*http.Request {
	requests := map[string]*http.Request{}
	for name, method := range map[string]string{"GET": "GET", "Idempotency-Key": "POST", "X-Idempotency-Key": "POST"} {
		request, err := http.NewRequest(method, "http://peer:80/", nil)
		if err != nil {
			panic(err)
		}
		if method == "POST" {
			request.Header.Set(name, "1")
		}
		requests[name] = request
	}
	withBody, err := http.NewRequest("POST", "http://peer:80/", strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	withBody.Header.Set("Idempotency-Key", "1")
	requests["Idempotency-Key and GetBody"] = withBody
	return requests
}

func newPool(p *scriptedPeer) *forward.Pool {
	limits := forward.Limits{Connections: 4, IdleTimeout: time.Minute, DialTimeout: time.Second}
	return forward.NewPool("peer:80", limits, p.dial)
}

func exchange(pool *forward.Pool, request *http.Request) (string, error) {
	response, err := pool.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestNoRequestIsSentTwice(t *testing.T) {
	for name, request := range replayableRequests() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				served := &scriptedPeer{}
				served.script = breakOnSecondRequest(served, func(net.Conn) {})
				pool := newPool(served)
				defer pool.Close()
				first, _ := http.NewRequest("GET", "http://peer:80/", nil)
				g.Expect(exchange(pool, first)).To(Equal("ok"))
				_, err := exchange(pool, request)
				g.Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
				synctest.Wait()
				g.Expect(served.arrivals.Load()).To(BeEquivalentTo(2))
				g.Expect(served.connections.Load()).To(BeEquivalentTo(1))
			})
		})
	}
}

func outcomeOf(err error) outcome.Outcome {
	var failed *forward.Error
	if !errors.As(err, &failed) {
		return ""
	}
	return failed.Outcome
}

func TestBrokenExchanges(t *testing.T) {
	cases := []struct {
		name   string
		script func(p *scriptedPeer) func(net.Conn, int32)
		// outcome is that of the error from RoundTrip; empty if the complete header arrives.
		outcome outcome.Outcome
	}{
		{"closed before the first byte was read", func(*scriptedPeer) func(net.Conn, int32) {
			return func(net.Conn, int32) {}
		}, outcome.NotRun},
		{"closed while the request was being written", func(*scriptedPeer) func(net.Conn, int32) {
			return func(connection net.Conn, _ int32) { _, _ = connection.Read(make([]byte, 10)) }
		}, outcome.Unknown},
		{"closed after the request was written", func(p *scriptedPeer) func(net.Conn, int32) {
			return func(connection net.Conn, _ int32) { p.read(connection) }
		}, outcome.Unknown},
		{"closed within the reply header", func(p *scriptedPeer) func(net.Conn, int32) {
			return func(connection net.Conn, _ int32) {
				p.read(connection)
				p.answer(connection, "HTTP/1.1 200 OK\r\nContent-Le")
			}
		}, outcome.Unknown},
		{"closed within a body with Content-Length", func(p *scriptedPeer) func(net.Conn, int32) {
			return func(connection net.Conn, _ int32) {
				p.read(connection)
				p.answer(connection, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")
			}
		}, ""},
		{"closed within a chunked body", func(p *scriptedPeer) func(net.Conn, int32) {
			return func(connection net.Conn, _ int32) {
				p.read(connection)
				p.answer(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")
			}
		}, ""},
		{"neither Content-Length nor chunked", func(p *scriptedPeer) func(net.Conn, int32) {
			return func(connection net.Conn, _ int32) {
				p.read(connection)
				p.answer(connection, "HTTP/1.1 200 OK\r\n\r\nhalf of an ans")
			}
		}, outcome.Unknown},
		{"unrequested protocol switch", func(p *scriptedPeer) func(net.Conn, int32) {
			return func(connection net.Conn, _ int32) {
				p.read(connection)
				p.answer(connection, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n")
			}
		}, outcome.Unknown},
		{"not HTTP", func(p *scriptedPeer) func(net.Conn, int32) {
			return func(connection net.Conn, _ int32) {
				p.read(connection)
				p.answer(connection, "SSH-2.0\r\n\r\n")
			}
		}, outcome.Unknown},
	}
	for _, method := range []string{"GET", "POST"} {
		for _, broken := range cases {
			t.Run(method+" "+broken.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					served := &scriptedPeer{}
					served.script = broken.script(served)
					pool := newPool(served)
					defer pool.Close()
					request, _ := http.NewRequest(method, "http://peer:80/", nil)
					_, err := exchange(pool, request)
					g.Expect(err).To(HaveOccurred())
					g.Expect(outcomeOf(err)).To(Equal(broken.outcome))
					synctest.Wait()
					g.Expect(pool.Open()).To(BeZero(), "the connection was returned to the pool")
					g.Expect(served.connections.Load()).To(BeEquivalentTo(1))
				})
			})
		}
	}
}

func TestUnfinishedExchangeIsNotPooled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		served := &scriptedPeer{}
		served.script = func(connection net.Conn, _ int32) {
			for served.read(connection) {
				served.answer(connection, completeReply)
			}
		}
		pool := newPool(served)
		defer pool.Close()
		request, _ := http.NewRequest("GET", "http://peer:80/", nil)
		response, err := pool.RoundTrip(request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		g.Expect(pool.Open()).To(BeZero())
		g.Expect(exchange(pool, request)).To(Equal("ok"))
		g.Expect(exchange(pool, request)).To(Equal("ok"))
		g.Expect(pool.Open()).To(Equal(1))
		g.Expect(served.connections.Load()).To(BeEquivalentTo(2))
	})
}

func TestCancelledExchanges(t *testing.T) {
	cases := []struct {
		name    string
		dial    func(*scriptedPeer) forward.Dialer
		outcome outcome.Outcome
	}{
		{"while connecting", func(*scriptedPeer) forward.Dialer {
			return func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}, outcome.NotRun},
		{"before the peer read a byte", func(p *scriptedPeer) forward.Dialer {
			p.script = func(net.Conn, int32) { time.Sleep(time.Minute) }
			return p.dial
		}, outcome.NotRun},
		{"after the peer read a byte", func(p *scriptedPeer) forward.Dialer {
			p.script = func(connection net.Conn, _ int32) {
				_, _ = connection.Read(make([]byte, 1))
				time.Sleep(time.Minute)
			}
			return p.dial
		}, outcome.Unknown},
		{"while waiting for the reply", func(p *scriptedPeer) forward.Dialer {
			p.script = func(connection net.Conn, _ int32) {
				p.read(connection)
				_, _ = connection.Read(make([]byte, 1))
			}
			return p.dial
		}, outcome.Unknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				limits := forward.Limits{Connections: 1, IdleTimeout: time.Minute, DialTimeout: time.Minute}
				pool := forward.NewPool("peer:80", limits, test.dial(&scriptedPeer{}))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				started := time.Now()
				request, _ := http.NewRequestWithContext(ctx, "POST", "http://peer:80/", strings.NewReader("body"))
				_, err := exchange(pool, request)
				g.Expect(outcomeOf(err)).To(Equal(test.outcome))
				g.Expect(time.Since(started)).To(Equal(time.Second))
				time.Sleep(time.Minute)
				synctest.Wait()
				g.Expect(pool.Open()).To(BeZero())
			})
		})
	}
}

func TestConnectionLimitAndSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		served := &scriptedPeer{}
		served.script = func(connection net.Conn, _ int32) {
			for served.read(connection) {
				served.answer(connection, completeReply)
			}
		}
		limits := forward.Limits{Connections: 1, IdleTimeout: time.Minute, DialTimeout: time.Second}
		pool := forward.NewPool("peer:80", limits, served.dial)
		defer pool.Close()
		request, _ := http.NewRequest("GET", "http://peer:80/", nil)
		response, err := pool.RoundTrip(request)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = pool.RoundTrip(request)
		g.Expect(err).To(MatchError(forward.ErrNoConnection))
		g.Expect(outcomeOf(err)).To(Equal(outcome.NotRun))
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		time.Sleep(59 * time.Second)
		pool.Sweep(time.Now())
		g.Expect(pool.Open()).To(Equal(1))
		time.Sleep(time.Second)
		pool.Sweep(time.Now())
		g.Expect(pool.Open()).To(BeZero())
	})
}

func TestRenewRetiresOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		served := &scriptedPeer{}
		served.script = func(connection net.Conn, _ int32) {
			for served.read(connection) {
				served.answer(connection, completeReply)
			}
		}
		pool := newPool(served)
		defer pool.Close()
		request, _ := http.NewRequest("GET", "http://peer:80/", nil)
		g.Expect(exchange(pool, request)).To(Equal("ok"))
		inUse, err := pool.RoundTrip(request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(exchange(pool, request)).To(Equal("ok"))
		g.Expect(served.connections.Load()).To(BeEquivalentTo(2))

		pool.Renew()
		g.Expect(pool.Open()).To(Equal(1), "only the idle connection is closed")
		body, err := io.ReadAll(inUse.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("ok"))
		g.Expect(inUse.Body.Close()).To(Succeed())
		g.Expect(pool.Open()).To(BeZero())
		g.Expect(exchange(pool, request)).To(Equal("ok"))
		g.Expect(exchange(pool, request)).To(Equal("ok"))
		g.Expect(served.connections.Load()).To(BeEquivalentTo(3))
	})
}
