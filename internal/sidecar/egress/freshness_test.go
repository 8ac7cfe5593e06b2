package egress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// fakeFreshness is the Freshness of a node whose configuration is outdated.
type fakeFreshness struct {
	table *route.Table
	// next is the newest configuration; the node gets it if canAdvance is set.
	next       *route.Table
	canAdvance bool
	// unconfirmed: no peer has proof that the configuration is the newest.
	unconfirmed bool
	// proof is the time of the last proof that was received.
	proof time.Time
	// confirms and catchUps count the calls.
	confirms, catchUps int
}

func (f *fakeFreshness) Confirm(context.Context) bool {
	f.confirms++
	return f.advance() && !f.unconfirmed
}

func (f *fakeFreshness) CatchUp(context.Context, string, uint64) bool {
	f.catchUps++
	return f.advance()
}

func (f *fakeFreshness) RecordProof(_ uint64, at time.Time) { f.proof = at }

func (f *fakeFreshness) ProofAge() (time.Duration, bool) { return 0, false }

func (f *fakeFreshness) advance() bool {
	if f.canAdvance && f.next != nil {
		f.table = f.next
	}
	return f.canAdvance
}

// tableWithRoute returns a configuration with one route to the service, or without a route if
// service is empty.
func tableWithRoute(t *testing.T, version uint64, service string) *route.Table {
	document := &route.Document{Version: version, Services: []route.Service{{Name: "s"}, {Name: "s2"}}}
	if service != "" {
		document.Routes = []route.Route{{
			Name: "r", Host: "h", PathPrefix: "/r/", Repeatable: true, Attempts: 2, TargetLatency: 200 * time.Millisecond,
			Targets: []route.Target{{Service: service, Weight: 1}},
		}}
	}
	table, err := route.Compile(document, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return table
}

// answerMoved refuses a request because a newer configuration routes it elsewhere.
func answerMoved(_ *peer, connection net.Conn, _ *bufio.Reader) {
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 503 X\r\nKestrel-Reply: 2 0 0 8 50000 1000 1000\r\n%s: %s\r\n%s: step=%s\r\nRetry-After: 0.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		outcome.HeaderOutcome, outcome.NotRun, outcome.HeaderError, outcome.StepMoved)
}

// outdatedHandler returns a handler of an outdated node with one peer for each of two services.
func outdatedHandler(t *testing.T, freshness *fakeFreshness, first, second *peer) *Handler {
	handler := newHandler(t, &fakeObserver{}, probeOK)
	members := roster.New(roster.Record{Node: "self", Epoch: 1, Zone: "z"})
	for service, at := range map[string]*peer{"s": first, "s2": second} {
		members.Merge([]*roster.Record{{
			Node: "beside-" + service, Epoch: 1, Address: at.address, Zone: "z",
			Endpoint: &roster.Endpoint{ID: "i", Service: service, Slots: 8, State: roster.Ready},
		}})
	}
	handler.options.View = members.View
	handler.options.Table = func() *route.Table { return freshness.table }
	handler.options.Freshness = freshness
	return handler
}

// TestOutdatedConfiguration: an outdated node neither refuses for good what a newer configuration
// allows, nor has a request run where a newer one does not route it.
func TestOutdatedConfiguration(t *testing.T) {
	cases := []struct {
		name              string
		before, after     string // the service of the route, empty for no route
		canAdvance        bool
		status            int
		atFirst, atSecond int64
	}{
		{"an added route is served", "", "s", true, 200, 1, 0},
		{"an unknown route", "", "", true, 404, 0, 0},
		{"an unknown route, unconfirmed", "", "", false, 503, 0, 0},
		{"a moved route is served by its new service", "s2", "s", true, 200, 1, 1},
		{"a moved route, without the newer configuration", "s2", "s", false, 503, 0, 1},
		{"a dropped route", "s2", "", true, 404, 0, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			served, moved := newPeer(t, answerOK), newPeer(t, answerMoved)
			freshness := &fakeFreshness{table: tableWithRoute(t, 1, test.before), next: tableWithRoute(t, 2, test.after), canAdvance: test.canAdvance}
			status, wait := callThrough(t, outdatedHandler(t, freshness, served, moved), "GET", "/r/x", "")
			g.Expect(status).To(Equal(test.status))
			g.Expect(served.requests.Load()).To(Equal(test.atFirst))
			g.Expect(moved.requests.Load()).To(Equal(test.atSecond))
			g.Expect(wait != "").To(Equal(test.status == 503), "a request refused as not run gets a Retry-After")
		})
	}
}

// TestRerouteLimit: a request that is returned again and again is refused after a few times.
func TestRerouteLimit(t *testing.T) {
	g := NewWithT(t)
	first, second := newPeer(t, answerMoved), newPeer(t, answerMoved)
	freshness := &fakeFreshness{table: tableWithRoute(t, 1, "s"), next: tableWithRoute(t, 2, "s"), canAdvance: true}
	status, _ := callThrough(t, outdatedHandler(t, freshness, first, second), "GET", "/r/x", "")
	g.Expect(status).To(Equal(503))
	g.Expect(freshness.catchUps).To(BeNumerically("<=", maxReroutes))
}

// TestVersionHeader: requests carry the sender's configuration version, by which the receiver sees
// whether the sender is outdated.
func TestVersionHeader(t *testing.T) {
	g := NewWithT(t)
	seen := make(chan string, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		reader := bufio.NewReader(connection)
		for line := ""; line != "\r\n"; {
			if line, err = reader.ReadString('\n'); err != nil {
				return
			}
			if version, found := cutHeader(line, "Kestrel-Version"); found {
				seen <- version
			}
		}
		_, _ = io.WriteString(connection, replyOK)
	}()
	freshness := &fakeFreshness{table: tableWithRoute(t, 7, "s"), canAdvance: true}
	status, _ := callThrough(t, outdatedHandler(t, freshness, &peer{address: listener.Addr().String()}, newPeer(t, answerOK)), "GET", "/r/x", "")
	g.Expect(status).To(Equal(200))
	g.Expect(<-seen).To(Equal("7"))
}

// cutHeader returns the value of a header line.
func cutHeader(line, name string) (value string, found bool) {
	if len(line) < len(name)+2 || line[:len(name)] != name {
		return "", false
	}
	return line[len(name)+2 : len(line)-2], true
}

// TestDroppedRouteWithoutProof: the route is missing in the configuration of the node that returned
// the request, but later versions may have it. Without proof that there are none the refusal is not
// final.
func TestDroppedRouteWithoutProof(t *testing.T) {
	g := NewWithT(t)
	freshness := &fakeFreshness{table: tableWithRoute(t, 1, "s"), next: tableWithRoute(t, 2, ""), canAdvance: true, unconfirmed: true}
	status, wait := callThrough(t, outdatedHandler(t, freshness, newPeer(t, answerMoved), newPeer(t, answerOK)), "GET", "/r/x", "")
	g.Expect(status).To(Equal(503))
	g.Expect(wait).NotTo(BeEmpty())
}

// answerWithProof answers with proof that the configuration in force is the newest.
func answerWithProof(_ *peer, connection net.Conn, _ *bufio.Reader) {
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 X\r\nKestrel-Reply: 1 0 0 8 50000 1000 1000\r\nKestrel-Proof: 300\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// TestProofFromResponses: the age of a proof includes the time since the request was sent.
func TestProofFromResponses(t *testing.T) {
	g := NewWithT(t)
	freshness := &fakeFreshness{table: tableWithRoute(t, 1, "s"), canAdvance: true}
	sent := clock.Now()
	status, _ := callThrough(t, outdatedHandler(t, freshness, newPeer(t, answerWithProof), newPeer(t, answerOK)), "GET", "/r/x", "")
	g.Expect(status).To(Equal(200))
	g.Expect(freshness.proof).To(BeTemporally("~", sent.Add(-300*time.Millisecond), clock.Since(sent)))
}
