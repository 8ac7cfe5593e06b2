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

// decodeNotice reads the headers that these tests use.
func decodeNotice(header http.Header) (notice hop.Notice, err error) {
	notice.Draining = header.Get("Leaving") != ""
	if text := header.Get("Limit"); text != "" {
		notice.Limited = true
		notice.PerSecond, err = strconv.ParseFloat(text, 64)
	}
	return notice, err
}

// noticed is a handler whose back end asks for something with its answers.
type noticed struct {
	*played
	left atomic.Int64
}

func playNoticed(t *testing.T, restarted bool) *noticed {
	made := &noticed{}
	made.played = playWith(t, func(options *ingress.Options) {
		options.DecodeNotice = decodeNotice
		options.OnDraining = func(roster.Incarnation) { made.left.Add(1) }
		options.Restarted = restarted
	})
	made.handler.SetService(&route.Service{Name: "one", HealthPath: "/health"})
	return made
}

// names answers with a limit in the manner given.
func (n *noticed) names(limit string, answer http.HandlerFunc) {
	limited := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", limit)
		answer(w, r)
	})
	n.answer.Store(&limited)
}

// TestWhichAnswersNameALimit: those that are provably of the back end that was meant.
func TestWhichAnswersNameALimit(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
		heard  bool
	}{
		{"a success", signed(http.StatusOK), true},
		{"a failure", signed(http.StatusInternalServerError), true},
		{"not processed", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(vocabulary.NotProcessed, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
		{"a status that denies the run", signed(http.StatusTooManyRequests), true},
		{"an answer to another request", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(vocabulary.RequestID, "q") }, false},
		{"another back end", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(vocabulary.InstanceID, "i-2")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}, false},
		{"a broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
	}
	for _, held := range cases {
		t.Run(held.name, func(t *testing.T) {
			g := NewWithT(t)
			made := playNoticed(t, false)
			made.names("3", held.answer)
			made.receive(t.Context())
			g.Expect(made.handler.Limit().HasLimit).To(Equal(held.heard))
		})
	}
}

// TestARequestWithoutRoomIsRefusedWithATime and the node tells its peer of the limit.
func TestARequestWithoutRoomIsRefusedWithATime(t *testing.T) {
	g := NewWithT(t)
	made := playNoticed(t, false)
	made.told = func(told *hop.Request) { told.MaximumWait = 10 * time.Millisecond }
	made.names("0.5", signed(http.StatusOK))
	made.receive(t.Context())
	refused := made.receive(t.Context())
	g.Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(refused.Header().Get(outcome.HeaderOutcome)).To(Equal(string(outcome.NotRun)))
	g.Expect(refused.Header().Get(outcome.HeaderError)).To(Equal("step=" + string(outcome.StepLimit)))
	g.Expect(strconv.ParseFloat(refused.Header().Get("Retry-After"), 64)).To(BeNumerically("~", 2, 0.5))
	told, err := hop.ParseLimit(refused.Header().Get(hop.HeaderLimit))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(told.PerSecond).To(Equal(0.5))
	g.Expect(told.Room).To(BeNumerically("<", 0.5))
}

// TestALimitThatCannotBeReadLeavesTheOneThatHolds.
func TestALimitThatCannotBeReadLeavesTheOneThatHolds(t *testing.T) {
	g := NewWithT(t)
	made := playNoticed(t, false)
	made.names("7", signed(http.StatusOK))
	made.receive(t.Context())
	made.names("few", signed(http.StatusOK))
	g.Expect(made.receive(t.Context()).Code).To(Equal(http.StatusOK))
	g.Expect(made.handler.Limit().PerSecond).To(Equal(7.0))
}

// TestANodeThatHasJustStartedIsToldOfALimit by the requests that it bounds, until the first answer.
func TestANodeThatHasJustStartedIsToldOfALimit(t *testing.T) {
	for _, restarted := range []bool{true, false} {
		g := NewWithT(t)
		made := playNoticed(t, restarted)
		made.told = func(told *hop.Request) { told.MaximumWait = time.Millisecond }
		made.limit = "2000 0"
		ran := made.counts()
		var requests sync.WaitGroup
		for range 30 {
			requests.Go(func() { made.receive(t.Context()) })
		}
		requests.Wait()
		if restarted {
			g.Expect(ran.Load()).To(BeZero(), "the bucket is empty")
			continue
		}
		g.Expect(ran.Load()).To(BeNumerically(">", 0), "its own word counts")
	}
}

// TestABackEndThatLeavesByWordOfAnAnswerIsToldOnce.
func TestABackEndThatLeavesByWordOfAnAnswerIsToldOnce(t *testing.T) {
	g := NewWithT(t)
	made := playNoticed(t, false)
	leaving := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		signed(http.StatusOK)(w, r)
	})
	made.answer.Store(&leaving)
	for range 3 {
		g.Expect(made.receive(t.Context()).Header().Get(hop.HeaderLeaving)).To(Equal("i-1"))
	}
	g.Expect(made.left.Load()).To(BeEquivalentTo(1))
}
