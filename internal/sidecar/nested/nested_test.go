package nested_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/nested"
)

// TestNestedCallsAreDetected simulates a full back end that works on requests of up to 3 s: clients
// send requests with 2.5 to 3 s left, and each request makes calls with at most its own deadline.
func TestNestedCallsAreDetected(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	work := &nested.ActiveRequests{}
	classifier := nested.NewClassifier(work, start)
	now := start.Add(2 * time.Second)
	var deadlines []time.Time
	var ends []func()
	calls, callsDetected, clientsDetected := 0, 0, 0
	for range 2000 {
		now = now.Add(20 * time.Millisecond)
		deadline := now.Add(2500*time.Millisecond + time.Duration(random.IntN(500))*time.Millisecond)
		if classifier.Nested("client", deadline, false, now) {
			clientsDetected++
		}
		deadlines, ends = append(deadlines, deadline), append(ends, work.Begin(deadline, false))
		if len(ends) > 6 {
			ends[0]()
			deadlines, ends = deadlines[1:], ends[1:]
		}
		parent := deadlines[random.IntN(len(deadlines))]
		own := now.Add(400 * time.Millisecond)
		if parent.Before(own) {
			own = parent
		}
		calls++
		if classifier.Nested("call", own.Add(time.Duration(random.IntN(50))*time.Millisecond), false, now) {
			callsDetected++
		}
	}
	g.Expect(callsDetected).To(BeNumerically(">=", calls-10))
	g.Expect(clientsDetected).To(BeZero())
}

func TestClassification(t *testing.T) {
	start := time.Unix(1000, 0)
	later := start.Add(10 * time.Second)
	cases := []struct {
		name       string
		work       time.Duration
		left       time.Duration
		identified bool
		now        time.Time
		nested     bool
	}{
		{"within the deadline of an active request", time.Second, 400 * time.Millisecond, false, later, true},
		{"no active requests", 0, 400 * time.Millisecond, false, later, false},
		{"later than all active requests", time.Second, 2 * time.Second, false, later, false},
		{"with credentials of a client", time.Second, 400 * time.Millisecond, true, later, false},
		{"the node has just started", time.Second, 400 * time.Millisecond, false, start.Add(time.Millisecond), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			work := &nested.ActiveRequests{}
			if tc.work > 0 {
				work.Begin(tc.now.Add(tc.work), false)
			}
			classifier := nested.NewClassifier(work, start)
			last := false
			for range 20 {
				last = classifier.Nested("r", tc.now.Add(tc.left), tc.identified, tc.now)
			}
			NewWithT(t).Expect(last).To(Equal(tc.nested))
		})
	}
}

// TestRouteOfClientsAndBackEnds checks that no request of a route that clients use too is
// classified as nested, whatever its deadline.
func TestRouteOfClientsAndBackEnds(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	now := start.Add(time.Minute)
	work := &nested.ActiveRequests{}
	work.Begin(now.Add(time.Second), false)
	classifier := nested.NewClassifier(work, start)
	for i := range 200 {
		left := 400 * time.Millisecond
		if i%10 == 0 {
			left = 3 * time.Second
		}
		g.Expect(classifier.Nested("r", now.Add(left), false, now) && i > 20).To(BeFalse())
	}
}

// TestRepeatProbability checks that the deadline identifies the request that makes a call, and so
// whether the call is a repeat.
func TestRepeatProbability(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	work := &nested.ActiveRequests{}
	g.Expect(work.Repeated(now)).To(BeZero(), "no active requests")
	endFirst := work.Begin(now.Add(time.Second), false)
	endAgain := work.Begin(now.Add(2*time.Second), true)
	g.Expect(work.Repeated(now.Add(time.Second))).To(BeZero())
	g.Expect(work.Repeated(now.Add(2*time.Second + time.Millisecond))).To(Equal(1.0))
	g.Expect(work.Repeated(now.Add(10*time.Second))).To(Equal(0.5), "either request may make the call")
	defer work.Begin(now.Add(2*time.Second), false)()
	g.Expect(work.Repeated(now.Add(2*time.Second))).To(Equal(0.5), "either of the two with that deadline may make it")
	endFirst()
	endAgain()
	g.Expect(work.Repeated(now.Add(2 * time.Second))).To(BeZero())
}
