package egress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// sendRequest sends one request through the handler.
func sendRequest(handler *Handler) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, "/safe/1", nil)
	request.Host = "h"
	request.Header.Set("Deadline-Ms", "3000")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// answerWith answers with additional headers.
func answerWith(headers string) func(*peer, net.Conn, *bufio.Reader) {
	return func(_ *peer, connection net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\nKestrel-Reply: 1 0 0 8 50000 1000 1000\r\n"+headers+"Content-Length: 2\r\n\r\nok")
	}
}

// TestLimitExceeded: if no back end's limit has capacity, the caller is refused without an attempt
// and receives a Retry-After.
func TestLimitExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		full := &peer{address: "full:1"}
		handler := newHandler(t, &fakeObserver{}, probeOK, full)
		handler.targets.dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go full.serve(far, answerWith("Kestrel-Limit: 500 -3000\r\n"))
			return near, nil
		}
		g.Expect(sendRequest(handler).Code).To(Equal(http.StatusOK))
		refused := sendRequest(handler)
		g.Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(refused.Header().Get("Retry-After")).To(HavePrefix("8.0"), "four requests at one in two seconds")
		g.Expect(full.requests.Load()).To(BeEquivalentTo(1))
	})
}

// TestLimitedBackEndSkipped: a back end without capacity is skipped while another one of the
// service has some.
func TestLimitedBackEndSkipped(t *testing.T) {
	g := NewWithT(t)
	full, free := newPeer(t, answerWith("Kestrel-Limit: 500 -3000\r\n")), newPeer(t, answerWith(""))
	handler := newHandler(t, &fakeObserver{}, probeOK, full, free)
	for range 20 {
		g.Expect(sendRequest(handler).Code).To(Equal(http.StatusOK))
	}
	g.Expect(full.requests.Load()).To(BeNumerically("<=", 1))
}

// TestLimitSentToPeer: requests carry the known limit, as the peer may have restarted since, until
// a response of the back end has none.
func TestLimitSentToPeer(t *testing.T) {
	g := NewWithT(t)
	var receivedLimit atomic.Pointer[string]
	reply := "Kestrel-Limit: 12800 9000\r\n"
	refuses := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		line := r.Header.Get(hop.HeaderLimit)
		receivedLimit.Store(&line)
		w.Header().Set(hop.HeaderReply, "1 0 0 8 50000 1000 1000")
		if refuses {
			w.Header().Set(outcome.HeaderOutcome, string(outcome.NotRun))
			w.Header().Set(outcome.HeaderError, "step="+string(outcome.StepIdentity))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if reply != "" {
			w.Header().Set(hop.HeaderLimit, "12800 9000")
		}
	}))
	defer server.Close()
	handler := newHandler(t, &fakeObserver{}, probeOK, &peer{address: server.Listener.Addr().String()})
	sendRequest(handler)
	g.Expect(*receivedLimit.Load()).To(BeEmpty())
	refuses = true
	sendRequest(handler)
	g.Expect(*receivedLimit.Load()).To(Equal("12800 0"))
	refuses, reply = false, ""
	sendRequest(handler)
	g.Expect(*receivedLimit.Load()).To(Equal("12800 0"), "a refusal by the node itself says nothing")
	sendRequest(handler)
	g.Expect(*receivedLimit.Load()).To(BeEmpty())
}

// TestLeavingBackEndSkipped: the node that received a leaving notice sends the back end nothing
// more, whatever its record says.
func TestLeavingBackEndSkipped(t *testing.T) {
	g := NewWithT(t)
	leaving := newPeer(t, answerWith("Kestrel-Leaving: i\r\n"))
	handler := newHandler(t, &fakeObserver{}, probeOK, leaving)
	handler.options.DrainAfter = func() time.Duration { return 0 }
	g.Expect(sendRequest(handler).Code).To(Equal(http.StatusOK))
	for range 3 {
		refused := sendRequest(handler)
		g.Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(refused.Header().Get("Retry-After")).NotTo(BeEmpty())
	}
	g.Expect(leaving.requests.Load()).To(BeEquivalentTo(1))
}

// TestLimitedCanaryFallsBack: requests for a canary without capacity go to the versions in use.
func TestLimitedCanaryFallsBack(t *testing.T) {
	g := NewWithT(t)
	onTrial, inUse := newPeer(t, answerWith("Kestrel-Limit: 500 -3000\r\n")), newPeer(t, answerWith(""))
	handler := newHandler(t, &fakeObserver{}, probeOK, onTrial, inUse)
	records := handler.options.View().Records()
	members := roster.New(roster.Record{Node: "self", Epoch: 1, Zone: "z"})
	for _, record := range records {
		if record.Endpoint == nil {
			continue
		}
		versioned, endpoint := *record, *record.Endpoint
		endpoint.Version = map[string]string{onTrial.address: "v2", inUse.address: "v1"}[record.Address]
		versioned.Endpoint = &endpoint
		members.Merge([]*roster.Record{&versioned})
	}
	handler.options.View = members.View
	plan := rollout.NewPlan(rollout.State{Order: rollout.Order{Version: "v2"}, Phase: rollout.Trial}, rollout.TrialAssignment{BackEnds: []string{"a"}, Share: 1}, nil, false, rollout.NewSplitter())
	handler.options.Plan = func(string) *rollout.Plan { return plan }
	for range 10 {
		g.Expect(sendRequest(handler).Code).To(Equal(http.StatusOK))
	}
	g.Expect(onTrial.requests.Load()).To(BeEquivalentTo(1))
	g.Expect(inUse.requests.Load()).To(BeEquivalentTo(9))
}

// refuseAt refuses every request at a step, with a Retry-After and additional headers.
func refuseAt(step outcome.Step, retryAfter, headers string) func(*peer, net.Conn, *bufio.Reader) {
	return func(_ *peer, connection net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(connection, "HTTP/1.1 503 X\r\nConnection: close\r\nKestrel-Reply: 1 0 0 8 50000 1000 1000\r\n"+
			outcome.HeaderOutcome+": not-run\r\n"+outcome.HeaderError+": step="+string(step)+"\r\nRetry-After: "+retryAfter+"\r\n"+headers+"Content-Length: 0\r\n\r\n")
	}
}

// TestRetryAfterOfSoonestBackEnd: the Retry-After of a request that rate limits refuse is that of the
// back end that is expected to have capacity first, not of the last one that was asked; leaving ones aside.
func TestRetryAfterOfSoonestBackEnd(t *testing.T) {
	const soon, late = "Kestrel-Limit: 500 -3000\r\n", "Kestrel-Limit: 500 -9000\r\n" // 8 and 20 seconds
	cases := []struct {
		name      string
		near, far func(*peer, net.Conn, *bufio.Reader)
		// served is the number of requests before the refused one, want its Retry-After in seconds.
		served int
		want   float64
	}{
		{"both limited, the later one asked last", refuseAt(outcome.StepLimit, "8.00", soon), refuseAt(outcome.StepLimit, "20.00", late), 0, 8},
		{"both limited, the later one asked first", refuseAt(outcome.StepLimit, "20.00", late), refuseAt(outcome.StepLimit, "8.00", soon), 0, 8},
		{"a full queue, then a limit", refuseAt(outcome.StepAdmit, "0.10", ""), refuseAt(outcome.StepLimit, "20.00", late), 0, 0.1},
		{"a limit, then a full queue", refuseAt(outcome.StepLimit, "20.00", late), refuseAt(outcome.StepAdmit, "0.10", ""), 0, 0.1},
		{"the sooner one leaves", answerWith("Kestrel-Leaving: i\r\n" + soon), answerWith(late), 2, 20},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			handler := newHandler(t, &fakeObserver{}, probeOK, newPeer(t, test.near), newPeer(t, test.far))
			handler.options.DrainAfter = func() time.Duration { return 0 }
			began := time.Now()
			for range test.served {
				g.Expect(sendRequest(handler).Code).To(Equal(http.StatusOK))
			}
			refused := sendRequest(handler)
			g.Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
			retryAfter, err := strconv.ParseFloat(refused.Header().Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			const rounding = 0.01
			g.Expect(retryAfter).To(And(BeNumerically("<=", test.want+rounding), BeNumerically(">=", test.want-time.Since(began).Seconds()-rounding)))
		})
	}
}

// TestFreeBackEndFoundBehindLimits: a request that more back ends refuse for their limits than it may be
// refused otherwise is served by a free one, and a full one still counts as a refusal.
func TestFreeBackEndFoundBehindLimits(t *testing.T) {
	limited := refuseAt(outcome.StepLimit, "20.00", "Kestrel-Limit: 500 -9000\r\n")
	cases := []struct {
		name   string
		refuse func(*peer, net.Conn, *bufio.Reader)
		status int
	}{
		{"limits", limited, http.StatusOK},
		{"full queues", refuseAt(outcome.StepAdmit, "0.10", ""), http.StatusServiceUnavailable},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			free := newPeer(t, answerWith(""))
			peers := []*peer{free}
			for range 2 * maxRefusals {
				peers = append(peers, newPeer(t, test.refuse))
			}
			handler := newHandler(t, &fakeObserver{}, probeOK, peers...)
			handler.targets.forRecord(handler.options.View().Record("a")).avoid(clock.Now(), time.Minute) // chosen last
			g.Expect(sendRequest(handler).Code).To(Equal(test.status))
		})
	}
}
