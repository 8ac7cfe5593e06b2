package ingress_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ingress"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// decodeNotice decodes the headers used in these tests.
func decodeNotice(header http.Header) (notice hop.Notice, err error) {
	notice.Draining = header.Get("Leaving") != ""
	if text := header.Get("Limit"); text != "" {
		notice.Limited = true
		notice.PerSecond, err = strconv.ParseFloat(text, 64)
	}
	return notice, err
}

// noticeFixture is a handler whose back end makes announcements in its answers.
type noticeFixture struct {
	*fixture
	left atomic.Int64
}

func newNoticeFixture(t *testing.T, restarted bool) *noticeFixture {
	f := &noticeFixture{}
	f.fixture = newWithOptions(t, func(options *ingress.Options) {
		options.DecodeNotice = decodeNotice
		options.OnDraining = func(roster.Incarnation) { f.left.Add(1) }
		options.Restarted = restarted
	})
	f.handler.SetService(&route.Service{Name: "one", HealthPath: "/health"})
	return f
}

// setLimit makes the back end answer with the given limit.
func (n *noticeFixture) setLimit(limit string, answer http.HandlerFunc) {
	limited := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", limit)
		answer(w, r)
	})
	n.answer.Store(&limited)
}

// TestAnswersThatAnnounceALimit checks that only answers that are provably from the intended back
// end count.
func TestAnswersThatAnnounceALimit(t *testing.T) {
	cases := []struct {
		name    string
		answer  http.HandlerFunc
		applied bool
	}{
		{"a success", signed(http.StatusOK), true},
		{"a failure", signed(http.StatusInternalServerError), true},
		{"not processed", rejected, true},
		{"not processed, without an id", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(vocabulary.NotProcessed, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, false},
		{"a status that means not run", signed(http.StatusTooManyRequests), true},
		{"an answer to another request", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(vocabulary.RequestID, "q") }, false},
		{"another back end", misdirected, false},
		{"a broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newNoticeFixture(t, false)
			f.setLimit("3", tc.answer)
			f.receive(t.Context())
			g.Expect(f.handler.Limit().HasLimit).To(Equal(tc.applied))
		})
	}
}

// TestRateLimitedRequestIsRefused checks that the refusal has a Retry-After and reports the limit
// to the caller's node.
func TestRateLimitedRequestIsRefused(t *testing.T) {
	g := NewWithT(t)
	f := newNoticeFixture(t, false)
	f.reported = func(reported *hop.Request) { reported.MaximumWait = 10 * time.Millisecond }
	f.setLimit("0.5", signed(http.StatusOK))
	f.receive(t.Context())
	refused := f.receive(t.Context())
	g.Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(refused.Header().Get(outcome.HeaderOutcome)).To(Equal(string(outcome.NotRun)))
	g.Expect(refused.Header().Get(outcome.HeaderError)).To(Equal("step=" + string(outcome.StepLimit)))
	g.Expect(strconv.ParseFloat(refused.Header().Get("Retry-After"), 64)).To(BeNumerically("~", 2, 0.5))
	reported, err := hop.ParseLimit(refused.Header().Get(hop.HeaderLimit))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reported.PerSecond).To(Equal(0.5))
	g.Expect(reported.Remaining).To(BeNumerically("<", 0.5))
}

// TestUnreadableLimitKeepsTheCurrentOne checks that an undecodable limit does not replace the one
// in force.
func TestUnreadableLimitKeepsTheCurrentOne(t *testing.T) {
	g := NewWithT(t)
	f := newNoticeFixture(t, false)
	f.setLimit("7", signed(http.StatusOK))
	f.receive(t.Context())
	f.setLimit("few", signed(http.StatusOK))
	g.Expect(f.receive(t.Context()).Code).To(Equal(http.StatusOK))
	g.Expect(f.handler.Limit().PerSecond).To(Equal(7.0))
}

// TestRestartedNodeAppliesLimitOfCallers checks that a limit sent with requests applies until the
// first answer of the back end.
func TestRestartedNodeAppliesLimitOfCallers(t *testing.T) {
	for _, restarted := range []bool{true, false} {
		g := NewWithT(t)
		f := newNoticeFixture(t, restarted)
		f.reported = func(reported *hop.Request) { reported.MaximumWait = time.Millisecond }
		f.limit = "2000 0"
		ran := f.countRequests()
		var requests sync.WaitGroup
		for range 30 {
			requests.Go(func() { f.receive(t.Context()) })
		}
		requests.Wait()
		if restarted {
			g.Expect(ran.Load()).To(BeZero(), "the bucket is empty")
			continue
		}
		g.Expect(ran.Load()).To(BeNumerically(">", 0), "a peer's limit is ignored")
	}
}

// TestDrainingByAnswerIsReportedOnce checks that all replies carry the header but the callback runs
// once.
func TestDrainingByAnswerIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	f := newNoticeFixture(t, false)
	draining := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		signed(http.StatusOK)(w, r)
	})
	f.answer.Store(&draining)
	for range 3 {
		g.Expect(f.receive(t.Context()).Header().Get(hop.HeaderLeaving)).To(Equal("i-1"))
	}
	g.Expect(f.left.Load()).To(BeEquivalentTo(1))
}
