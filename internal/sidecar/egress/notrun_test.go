package egress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
)

// evidenceObserver records the evidence of the promises.
type evidenceObserver struct {
	fakeObserver
	mu       sync.Mutex // guards evidence
	evidence []string
}

func (o *evidenceObserver) CallNotRun(evidence notrun.Evidence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evidence = append(o.evidence, evidence.String())
}

// TestEvidenceOfFailedCalls: the log and the counter name what each promise rests on, for the call
// and for each node that it was sent to.
func TestEvidenceOfFailedCalls(t *testing.T) {
	cases := []struct {
		name     string
		peer     func(*peer, net.Conn, *bufio.Reader)
		peers    int
		status   int
		evidence string
		visit    map[string]any
	}{
		{"no node", refuse, 0, 503, "not-sent", nil},
		{"refused by the node", refuse, 1, 503, "reported", map[string]any{"evidence": "reported"}},
		{"closed before 100 Continue", closeConnection, 1, 503, "body-withheld", map[string]any{"evidence": "body-withheld"}},
		{"closed after 100 Continue", continueAndClose, 1, 502, "", map[string]any{"bodyBegun": true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			core, logged := observer.New(zap.InfoLevel)
			observed := &evidenceObserver{}
			nodes := make([]*peer, tc.peers)
			for i := range nodes {
				nodes[i] = newPeer(t, tc.peer)
			}
			handler := newHandler(t, observed, probeOK, nodes...)
			handler.options.Logger = zap.New(core)
			status, _ := callThrough(t, handler, http.MethodPost, "/once/1", "body\n")
			g.Expect(status).To(Equal(tc.status))
			lines := logged.FilterMessage("call failed").All()
			g.Expect(lines).To(HaveLen(1))
			fields := lines[0].ContextMap()
			g.Expect(fields).To(HaveKeyWithValue("evidence", tc.evidence))
			visits := fields["visits"].([]any)
			g.Expect(visits).To(HaveLen(tc.peers))
			for _, visit := range visits {
				g.Expect(visit).To(HaveKey("sentAfter"))
				for key, want := range tc.visit {
					g.Expect(visit).To(HaveKeyWithValue(key, want))
				}
			}
			observed.mu.Lock()
			defer observed.mu.Unlock()
			if tc.evidence == "" {
				g.Expect(observed.evidence).To(BeEmpty())
				return
			}
			g.Expect(observed.evidence).To(Equal([]string{tc.evidence}))
		})
	}
}

// switchProtocols answers with a final status in place of 100 Continue, and takes the body.
func switchProtocols(p *peer, connection net.Conn, reader *bufio.Reader) {
	_, _ = io.WriteString(connection, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n")
	if line, err := reader.ReadString('\n'); err == nil && line != "" {
		p.bodies.Add(1)
	}
}

// TestBodySentWithout100Continue guards against a request that is sent to a second node although the
// first one received its body without asking for it.
func TestBodySentWithout100Continue(t *testing.T) {
	const tries = 200
	for range tries {
		first, second := newPeer(t, switchProtocols), newPeer(t, continueAndAnswer)
		callThrough(t, newHandler(t, &fakeObserver{}, probeOK, first, second), http.MethodPost, "/once/1", "body\n")
		if sent := first.bodies.Load() + second.bodies.Load(); sent > 1 {
			t.Fatalf("%d nodes received the body", sent)
		}
	}
}

// TestPromisingStatusWithoutOutcome guards against a promise to the caller that rests on nothing but
// the status of a reply.
func TestPromisingStatusWithoutOutcome(t *testing.T) {
	cases := []struct {
		status string
		want   int
	}{
		{"408 Request Timeout", 502},
		{"421 Misdirected Request", 502},
		{"429 Too Many Requests", 502},
		{"503 Service Unavailable", 502},
		{"500 Internal Server Error", 500},
		{"504 Gateway Timeout", 504},
		{"404 Not Found", 404},
	}
	for _, tc := range cases {
		t.Run(tc.status, func(t *testing.T) {
			g := NewWithT(t)
			first := newPeer(t, func(p *peer, connection net.Conn, reader *bufio.Reader) {
				continueAndClose(p, connection, reader)
				_, _ = io.WriteString(connection, "HTTP/1.1 "+tc.status+"\r\nContent-Length: 0\r\n\r\n")
			})
			second := newPeer(t, continueAndAnswer)
			status, _ := callThrough(t, newHandler(t, &fakeObserver{}, probeOK, first, second), http.MethodPost, "/once/1", "body\n")
			g.Expect(status).To(Equal(tc.want))
			g.Expect([2]int64{first.bodies.Load(), second.bodies.Load()}).To(Equal([2]int64{1, 0}))
		})
	}
}
