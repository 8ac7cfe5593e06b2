package stream_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

func TestMessagesArriveAsSentAndAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := startTestServer(t)
		opened, err := p.client.Open(t.Context(), "parent:1", hello("child"))
		g.Expect(err).NotTo(HaveOccurred())
		defer opened.Close()
		session := <-p.host.attached
		g.Expect(opened.Parents()).To(Equal(session.Parents()))

		messages := []*distribution.Message{
			{Version: 7},
			{},
			{Checkpoint: &distribution.Checkpoint{Version: 7}},
			{Endpoints: []endpoint.Update{{ID: endpoint.ID{Service: "tariffs", Name: "a"}, Sequence: 3, State: endpoint.Draining}}},
			{Goodbye: true},
		}
		for _, message := range messages {
			session.messages <- stream.Encode(message)
			received, err := opened.Receive()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(received).To(Equal(message))
			<-session.sent
		}
		close(session.messages)
		_, err = opened.Receive()
		g.Expect(err).To(MatchError(io.EOF))

		synctest.Wait()
		sent, received := p.serverTraffic.Totals(), p.clientTraffic.Totals()
		for _, kind := range []string{"version", "heartbeat", "checkpoint", "endpoints", "goodbye"} {
			g.Expect(sent.Sent[kind].Messages).To(BeEquivalentTo(1), kind)
			g.Expect(sent.Sent[kind].Bytes).To(BeNumerically(">", 0), kind)
			g.Expect(received.Received[kind].Messages).To(BeEquivalentTo(1), kind)
		}
		g.Expect(sent.Received["hello"]).To(Equal(received.Sent["hello"]))
		g.Expect(sent.ConnectionBytesSent).To(Equal(received.ConnectionBytesReceived))
	})
}

func TestVersionMessagesAreSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := startTestServer(t)
		opened, err := p.client.Open(t.Context(), "parent:1", hello("child"))
		g.Expect(err).NotTo(HaveOccurred())
		defer opened.Close()
		session := <-p.host.attached
		const changes = 100
		before := p.serverTraffic.Totals().ConnectionBytesSent
		for version := uint64(1000); version < 1000+changes; version++ {
			session.messages <- stream.Encode(&distribution.Message{Version: version})
			_, err := opened.Receive()
			g.Expect(err).NotTo(HaveOccurred())
			<-session.sent
		}
		spent := p.serverTraffic.Totals().ConnectionBytesSent - before
		g.Expect(spent/changes).To(BeNumerically("<=", 40), "bytes per change, including chunk framing")
	})
}

func TestASlowChildDoesNotDelayItsSiblings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := startTestServer(t)
		slow, err := p.client.Open(t.Context(), "parent:1", hello("slow"))
		g.Expect(err).NotTo(HaveOccurred())
		defer slow.Close()
		slowSession := <-p.host.attached
		quick, err := p.client.Open(t.Context(), "parent:1", hello("quick"))
		g.Expect(err).NotTo(HaveOccurred())
		defer quick.Close()
		quickSession := <-p.host.attached

		// The slow child reads nothing, so a large message blocks in its pipe.
		large := &distribution.Message{Endpoints: manyEndpoints(5000)}
		slowSession.messages <- stream.Encode(large)
		synctest.Wait()
		start := time.Now()
		for version := uint64(1); version <= 20; version++ {
			quickSession.messages <- stream.Encode(&distribution.Message{Version: version})
			received, err := quick.Receive()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(received.Version).To(Equal(version))
			<-quickSession.sent
		}
		g.Expect(time.Since(start)).To(BeZero(), "virtual time elapsed for the quick child")
		g.Expect(slowSession.sent).To(BeEmpty())

		<-slowSession.detached
		g.Expect(time.Since(start)).To(BeNumerically("<=", 11*time.Second), "the write deadline ends the stream of a child that reads nothing")
	})
}

// manyEndpoints returns updates of count endpoints with names of various lengths.
func manyEndpoints(count int) []endpoint.Update {
	updates := make([]endpoint.Update, count)
	for i := range updates {
		updates[i] = endpoint.Update{ID: endpoint.ID{Service: "tariffs", Name: strings.Repeat("x", i%97)}, Incarnation: uint64(i) * 7919, Sequence: uint64(i)}
	}
	return updates
}

func TestCancellationDetachesTheSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := startTestServer(t)
		ctx, cancel := context.WithCancel(t.Context())
		opened, err := p.client.Open(ctx, "parent:1", hello("child"))
		g.Expect(err).NotTo(HaveOccurred())
		session := <-p.host.attached
		cancel()
		<-session.detached
		_, err = opened.Receive()
		g.Expect(err).To(MatchError(context.Canceled))
	})
}

func TestRefusalsReachTheChild(t *testing.T) {
	cases := map[string]stream.RefusedError{
		"busy":     {Status: http.StatusServiceUnavailable, Reason: "too many snapshots at once", RetryAfter: 1500 * time.Millisecond},
		"redirect": {Status: http.StatusTemporaryRedirect, Redirect: "127.0.0.1:4321"},
		"denied":   {Status: http.StatusForbidden, Reason: "zone \"south\" is not this identity's"},
	}
	for name, refusal := range cases {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			p := startTestServer(t)
			p.host.refusal = &refusal
			_, err := p.client.Open(t.Context(), "parent:1", hello("child"))
			var got *stream.RefusedError
			g.Expect(errors.As(err, &got)).To(BeTrue(), name)
			g.Expect(got.Status).To(Equal(refusal.Status), name)
			g.Expect(got.Redirect).To(Equal(refusal.Redirect), name)
			g.Expect(got.RetryAfter).To(BeNumerically(">=", refusal.RetryAfter), name)
			g.Expect(got.Reason).To(Equal(refusal.Reason), name)
		})
	}
}

func TestMalformedRequestsAreRefusedWithAReason(t *testing.T) {
	cases := map[string]struct {
		path, body, reason string
		status             int
	}{
		"not JSON":           {stream.PathStream, "{", "not valid JSON", http.StatusBadRequest},
		"no node":            {stream.PathStream, `{"kind":"proxy"}`, "node.name", http.StatusBadRequest},
		"no incarnation":     {stream.PathStream, `{"node":{"name":"a"},"kind":"proxy"}`, "node.incarnation", http.StatusBadRequest},
		"no zone":            {stream.PathStream, `{"node":{"name":"a","incarnation":1},"kind":"proxy"}`, "node.zone", http.StatusBadRequest},
		"unknown kind":       {stream.PathStream, `{"node":{"name":"a","incarnation":1,"zone":"z"},"kind":"spy"}`, "kind must be", http.StatusBadRequest},
		"negative version":   {stream.PathStream, `{"version":-1}`, "not valid JSON", http.StatusBadRequest},
		"oversize hello":     {stream.PathStream, `{"digest":"` + strings.Repeat("x", 65<<10) + `"}`, "exceeds", http.StatusRequestEntityTooLarge},
		"oversize report":    {stream.PathReport, `{"x":"` + strings.Repeat("x", 1<<20) + `"}`, "exceeds", http.StatusRequestEntityTooLarge},
		"report, no session": {stream.PathReport, `{}`, "no such session", http.StatusGone},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			p := startTestServer(t)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://parent:1"+c.path, strings.NewReader(c.body))
			g.Expect(err).NotTo(HaveOccurred())
			response, err := p.transport.RoundTrip(request)
			g.Expect(err).NotTo(HaveOccurred())
			reason, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Body.Close()).To(Succeed())
			g.Expect(response.StatusCode).To(Equal(c.status), name)
			g.Expect(string(reason)).To(ContainSubstring(c.reason), name)
			g.Expect(p.host.hellos).To(BeEmpty(), name)
		})
	}
}

// TestReceiveRejectsMalformedStreams checks that a child gets an error from a
// stream that is malformed, truncated or has an endless line, instead of
// buffering more than MaximumMessageBytes.
func TestReceiveRejectsMalformedStreams(t *testing.T) {
	endless := strings.Repeat("x", 8<<10)
	cases := map[string]struct {
		respond http.HandlerFunc
		check   func(Gomega, error)
	}{
		"message without an end": {
			func(writer http.ResponseWriter, request *http.Request) {
				for request.Context().Err() == nil {
					if _, err := io.WriteString(writer, endless); err != nil {
						return
					}
				}
			},
			func(g Gomega, err error) {
				var tooLarge *stream.MessageTooLargeError
				g.Expect(errors.As(err, &tooLarge)).To(BeTrue())
			},
		},
		"malformed JSON": {
			func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "{\"version\":\n") },
			func(g Gomega, err error) { g.Expect(err).To(MatchError(ContainSubstring("decode message"))) },
		},
		"ended within a message": {
			func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, `{"version":1`) },
			func(g Gomega, err error) { g.Expect(err).To(MatchError(ContainSubstring("ended within a message"))) },
		},
		"not zstd at all": {
			func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Encoding", "zstd")
				_, _ = io.WriteString(writer, "plain text\n")
			},
			func(g Gomega, err error) { g.Expect(err).To(HaveOccurred()) },
		},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			listener := newPipeListener()
			server := &http.Server{Handler: c.respond}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			traffic := &stream.Traffic{}
			transport := stream.NewTransport(traffic, listener.dial)
			defer transport.CloseIdleConnections()
			client := stream.NewClient(transport, "http", traffic)
			client.MaximumMessageBytes = 64 << 10
			opened, err := client.Open(t.Context(), "parent:1", hello("child"))
			g.Expect(err).NotTo(HaveOccurred(), name)
			defer opened.Close()
			_, err = opened.Receive()
			c.check(g, err)
		})
	}
}

// TestReportsNameTheirSession checks that a report is accepted for its open
// session and refused with status 410 for an unknown one.
func TestReportsNameTheirSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := startTestServer(t)
		opened, err := p.client.Open(t.Context(), "parent:1", hello("child"))
		g.Expect(err).NotTo(HaveOccurred())
		defer opened.Close()
		report := distribution.Report{Node: hello("child").Node, Applied: 9}
		advertised, err := p.client.Report(t.Context(), "parent:1", opened.Session(), report)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(advertised).To(Equal(opened.Parents()))
		g.Expect(p.host.reports).To(ConsistOf(report))
		_, err = p.client.Report(t.Context(), "parent:1", "another", report)
		var refused *stream.RefusedError
		g.Expect(errors.As(err, &refused)).To(BeTrue())
		g.Expect(refused.Status).To(Equal(http.StatusGone))
	})
}
