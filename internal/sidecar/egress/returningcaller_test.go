package egress

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// TestHurriedUsesCallerDeadline guards against deriving from the route's timeout whether a caller
// can come back after a refusal. With a timeout of about three target latencies no caller seemed
// able to, so that all of them waited as long as possible.
func TestHurriedUsesCallerDeadline(t *testing.T) {
	const aim = 400 * time.Millisecond
	cases := []struct {
		name, deadline string
		timeout        time.Duration
		hurried        bool
	}{
		{"a long deadline, a short time-out", "2500", 3 * aim, false},
		{"a long deadline, no time-out", "2500", 0, false},
		{"a short deadline", "1000", 3 * aim, true},
		{"a short deadline, no time-out", "1000", 0, true},
		{"no deadline", "", 3 * aim, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			request := httptest.NewRequest(http.MethodGet, "/safe/", nil)
			if test.deadline != "" {
				request.Header.Set("Deadline-Ms", test.deadline)
			}
			made := &call{
				handler: newHandler(t, &fakeObserver{}, probeOK), request: request, started: time.Now(),
				route: &route.CompiledRoute{Route: route.Route{Name: "safe", TargetLatency: aim, Timeout: test.timeout}},
			}
			g.Expect(made.setDeadline()).To(BeNil())
			choiceRequest := made.choiceRequest(time.Until(made.deadline), aim/4)
			g.Expect(choiceRequest.LacksRetryTime()).To(Equal(test.hurried))
		})
	}
}

// TestRetryAfterOfReturningCaller: a caller that was refused before comes back after a fraction of
// its remaining time, all others once the queue is processed.
func TestRetryAfterOfReturningCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const queue, left = 120 * time.Millisecond, 3 * time.Second
		made := &call{started: clock.Now(), deadline: clock.Now().Add(2 * time.Second), callerTime: left}
		g := NewWithT(t)
		g.Expect(made.clampRetryAfter(queue)).To(Equal(queue))
		g.Expect(made.clampRetryAfter(time.Millisecond)).To(Equal(minimumRetryAfter))
		g.Expect(made.clampRetryAfter(2*quarantineRetryAfter)).To(Equal(500*time.Millisecond), "a quarter of the time left")
		made.returning = true
		g.Expect(made.clampRetryAfter(queue)).To(And(Equal(900*time.Millisecond), BeNumerically("<", left/3)))
		time.Sleep(time.Second)
		g.Expect(made.clampRetryAfter(queue)).To(Equal(600 * time.Millisecond))
		time.Sleep(2 * time.Second)
		g.Expect(made.clampRetryAfter(queue)).To(Equal(queue), "no time is left")
	})
}

// TestLargeBodyAttempts: an attempt with a large body waits for the full time, and fewer nodes may
// refuse it.
func TestLargeBodyAttempts(t *testing.T) {
	cases := map[string]struct {
		length int64
		large  bool
	}{"none": {0, false}, "small": {4000, false}, "large": {200 << 10, true}, "in chunks": {-1, false}}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			made := &call{request: &http.Request{ContentLength: body.length}}
			request := choice.Request{LatencyTarget: time.Second, Remaining: 6 * time.Second, CallerRemaining: 6 * time.Second, ExpectedServiceTime: 250 * time.Millisecond}
			wait := made.maxAttemptWait(request, &attempt{candidates: 22})
			if body.large {
				g.Expect(wait).To(Equal(choice.MaximumWait(request)))
				g.Expect(made.refusalLimit()).To(Equal(maxLargeBodyRefusals))
				return
			}
			g.Expect(wait).To(BeNumerically("<", choice.MaximumWait(request)/2))
			g.Expect(made.refusalLimit()).To(Equal(maxRefusals))
		})
	}
}
