package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// startCall makes a call in a new goroutine and returns a channel that receives
// its result.
func (m *mesh) startCall(request *http.Request) <-chan result {
	done := make(chan result, 1)
	go func() { done <- m.do(request) }()
	return done
}

// answerAfter returns a handler that answers once release is closed, or returns
// without an answer when the request is cancelled.
func answerAfter(release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
			answerOK(w, r)
		case <-r.Context().Done():
		}
	}
}

func withOneSlot(queue int) func(*projection.Snapshot) {
	return func(snapshot *projection.Snapshot) {
		snapshot.Services[serviceName].Slots = 1
		snapshot.Services[serviceName].Queue = queue
	}
}

func TestShedsWhenQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, withOneSlot(1))
		defer testMesh.close()
		release := make(chan struct{})
		testMesh.setHandlers(answerAfter(release))
		first := testMesh.startCall(testMesh.request("POST", "first"))
		synctest.Wait()
		second := testMesh.startCall(testMesh.request("POST", "second"))
		synctest.Wait()
		started := time.Now()
		third := testMesh.call("POST", "third")
		g.Expect(third.status).To(Equal(503))
		g.Expect(third.header.Get("Kestrel-Outcome")).To(Equal("not-run"))
		g.Expect(third.header.Get("Retry-After")).To(Equal("1"))
		g.Expect(time.Since(started)).To(BeZero())
		g.Expect(testMesh.runCount("third")).To(BeZero())
		g.Expect(testMesh.runCount("second")).To(BeZero())
		close(release)
		g.Expect((<-first).body).To(Equal("ok"))
		g.Expect((<-second).body).To(Equal("ok"))
	})
}

func TestRequestExpiredInQueueIsNotStarted(t *testing.T) {
	for _, side := range []string{"outbound", "inbound"} {
		t.Run(side, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				testMesh := newMesh(1, withOneSlot(1))
				defer testMesh.close()
				release := make(chan struct{})
				testMesh.setHandlers(answerAfter(release))
				queued := testMesh.request("POST", "queued")
				held := testMesh.request("POST", "held")
				if side == "inbound" {
					queued, held = testMesh.inboundRequest("queued", nil), testMesh.inboundRequest("held", nil)
					held.Header.Set("Kestrel-Deadline-Ms", "1900")
				}
				queued.Header.Set("Kestrel-Deadline-Ms", "500")
				first := testMesh.startCall(held)
				synctest.Wait()
				started := time.Now()
				got := testMesh.do(queued)
				g.Expect(got.status).To(Equal(504))
				g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal("not-run"))
				g.Expect(got.header.Get("Kestrel-Error")).To(ContainSubstring("step=deadline"))
				g.Expect(time.Since(started)).To(Equal(500 * time.Millisecond))
				close(release)
				g.Expect((<-first).body).To(Equal("ok"))
				g.Expect(testMesh.runCount("queued")).To(BeZero())
			})
		})
	}
}

func TestDeadlineWhileRunningIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, nil)
		defer testMesh.close()
		testMesh.setHandlers(answerAfter(nil))
		started := time.Now()
		got := testMesh.call("POST", "one")
		g.Expect(got.status).To(Equal(504))
		g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal("unknown"))
		g.Expect(time.Since(started)).To(Equal(2 * time.Second))
		synctest.Wait()
		outbound, inbound := testMesh.caller.InFlight()
		g.Expect(outbound + inbound).To(BeZero())
	})
}

// TestCancelReleasesResources checks that a cancelled call releases its slot at
// once, whether it is running or its answer is being read. In the case "queued"
// the call completes instead, and the queued call takes its slot.
func TestCancelReleasesResources(t *testing.T) {
	for _, state := range []string{"running", "queued", "reading the answer"} {
		t.Run(state, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				testMesh := newMesh(1, withOneSlot(1))
				defer testMesh.close()
				release, cancelled := make(chan struct{}), make(chan struct{})
				testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Test-Call") == "after" {
						answerOK(w, r)
						return
					}
					if state == "reading the answer" {
						_, _ = w.Write([]byte("part"))
						_ = http.NewResponseController(w).Flush()
					}
					answerAfter(release)(w, r)
					if r.Context().Err() != nil && r.Header.Get("Test-Call") == "one" {
						close(cancelled)
					}
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				call := testMesh.startCall(testMesh.request("POST", "one").WithContext(ctx))
				synctest.Wait()
				after := testMesh.startCall(testMesh.request("POST", "after"))
				synctest.Wait()
				if state == "queued" {
					close(release)
					g.Expect((<-call).body).To(Equal("ok"))
				} else {
					cancel()
					<-cancelled
					g.Expect((<-call).err).To(HaveOccurred())
				}
				g.Expect((<-after).body).To(Equal("ok"))
				synctest.Wait()
				for _, target := range testMesh.proxies() {
					outbound, inbound := target.InFlight()
					g.Expect(outbound + inbound).To(BeZero())
				}
			})
		})
	}
}

func TestRequestCancelledInQueueIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, withOneSlot(1))
		defer testMesh.close()
		release := make(chan struct{})
		testMesh.setHandlers(answerAfter(release))
		first := testMesh.startCall(testMesh.request("POST", "first"))
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		queued := testMesh.startCall(testMesh.request("POST", "queued").WithContext(ctx))
		synctest.Wait()
		cancel()
		g.Expect((<-queued).err).To(HaveOccurred())
		synctest.Wait()
		third := testMesh.startCall(testMesh.request("POST", "third"))
		synctest.Wait()
		close(release)
		g.Expect((<-first).body).To(Equal("ok"))
		g.Expect((<-third).body).To(Equal("ok"))
		g.Expect(testMesh.runCount("queued")).To(BeZero())
	})
}

// TestOverloadedServiceDoesNotStarveAnother sends one service far more calls than
// it has slots, while another service is called through the same caller's proxy.
func TestOverloadedServiceDoesNotStarveAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const other = "tariffs"
		testMesh := newMesh(1, withOneSlot(2))
		defer testMesh.close()
		stop := testMesh.network.serve("tariffs-inbound:80", http.HandlerFunc(answerOK))
		defer stop()
		quiet := *testMesh.config.Services[serviceName]
		quiet.Endpoints = []resource.Endpoint{{Name: "t", Address: "tariffs-inbound:80", Zone: zoneName}}
		testMesh.config.Services[other] = &quiet
		testMesh.config.Routes[other] = &resource.RouteSpec{Host: "tariffs.example", PathPrefix: "/", Service: other, Consumers: []string{"*"}}
		testMesh.apply()
		release := make(chan struct{})
		testMesh.setHandlers(answerAfter(release))
		var flood []<-chan result
		for index := range 50 {
			flood = append(flood, testMesh.startCall(testMesh.request("POST", fmt.Sprint(index))))
		}
		synctest.Wait()
		for range 20 {
			request := testMesh.request("GET", "quiet")
			request.Host = "tariffs.example"
			g.Expect(testMesh.do(request).body).To(Equal("ok"))
		}
		close(release)
		answered := 0
		for _, done := range flood {
			if got := <-done; got.status == 200 {
				answered++
			} else {
				g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal("not-run"))
			}
		}
		g.Expect(answered).To(Equal(3))
	})
}

// TestRefusalReusesConnections checks that refusals, with and without a request
// body, do not force new connections to be opened.
func TestRefusalReusesConnections(t *testing.T) {
	withBody := func(request *http.Request) *http.Request {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader("body")), 4
		return request
	}
	cases := map[string]func(*mesh) *http.Request{
		"by the inbound proxy":              func(m *mesh) *http.Request { return m.inboundRequest("again", nil) },
		"by the inbound proxy, with a body": func(m *mesh) *http.Request { return withBody(m.inboundRequest("again", nil)) },
		"by the outbound proxy":             func(m *mesh) *http.Request { return m.request("POST", "again") },
		"by the outbound proxy, with a body": func(m *mesh) *http.Request {
			return withBody(m.request("POST", "again"))
		},
		"by the back end": func(m *mesh) *http.Request { return m.request("POST", "shed") },
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				testMesh := newMesh(1, nil)
				defer testMesh.close()
				testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Test-Call") == "shed" {
						shedWithMarker(w, r)
						return
					}
					answerOK(w, r)
				})
				g.Expect(testMesh.do(request(testMesh)).err).NotTo(HaveOccurred())
				if strings.HasPrefix(name, "by the outbound proxy") {
					testMesh.config.Services[serviceName].Endpoints = nil
					testMesh.apply()
				}
				synctest.Wait()
				testMesh.network.mutex.Lock()
				clear(testMesh.network.dials)
				testMesh.network.mutex.Unlock()
				for range 10 {
					got := testMesh.do(request(testMesh))
					g.Expect(got.err).NotTo(HaveOccurred())
					g.Expect(got.header.Get("Kestrel-Outcome")).NotTo(BeEmpty())
					time.Sleep(3 * time.Second)
				}
				synctest.Wait()
				testMesh.network.mutex.Lock()
				defer testMesh.network.mutex.Unlock()
				g.Expect(testMesh.network.dials).To(BeEmpty())
			})
		})
	}
}

func TestRouteLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(2, func(snapshot *projection.Snapshot) { snapshot.Routes["sessions"].MaximumInFlight = 1 })
		defer testMesh.close()
		release := make(chan struct{})
		testMesh.setHandlers(answerAfter(release))
		first := testMesh.startCall(testMesh.request("POST", "first"))
		synctest.Wait()
		got := testMesh.call("POST", "second")
		g.Expect(got.status).To(Equal(503))
		g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal("not-run"))
		close(release)
		g.Expect((<-first).body).To(Equal("ok"))
		g.Expect(testMesh.call("POST", "third").body).To(Equal("ok"))
	})
}
