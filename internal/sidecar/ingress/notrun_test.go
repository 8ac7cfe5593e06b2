package ingress_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ingress"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// evidenceObserver records the evidence of the promises.
type evidenceObserver struct {
	silentObserver
	evidence []string
}

func (o *evidenceObserver) ArrivalNotRun(evidence notrun.Evidence) {
	o.evidence = append(o.evidence, evidence.String())
}

// brokenConn fails every write before any byte of it is sent.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, errors.New("broken") }

// TestEvidenceOfFailedArrivals: the log and the counter name what each promise rests on, and the log
// whether the request was sent to the back end.
func TestEvidenceOfFailedArrivals(t *testing.T) {
	aborted := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	broken := func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return brokenConn{opened}, err
	}
	cases := []struct {
		name string
		// change prepares the handler; nil for nothing.
		change   func(*ingress.Handler)
		dial     func(context.Context, string, string) (net.Conn, error)
		answer   http.HandlerFunc
		outcome  string
		evidence string
		sends    int
	}{
		{"refused by a stopping node", (*ingress.Handler).RejectNew, nil, signed(200), "not-run", "not-sent", 0},
		{"no connection", nil, refused, signed(200), "not-run", "nothing-written", 1},
		{"no byte written", nil, broken, signed(200), "not-run", "nothing-written", 2},
		{"rejected", nil, nil, rejected, "not-run", "rejected", 1},
		{"another instance", nil, nil, misdirected, "not-run", "misdirected", 1},
		{"connection lost", nil, nil, aborted, "unknown", "", 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			core, logged := observer.New(zap.InfoLevel)
			observed := &evidenceObserver{}
			f := newWithOptions(t, func(options *ingress.Options) {
				options.Logger, options.Observer = zap.New(core), observed
				if tc.dial != nil {
					options.Dial = tc.dial
				}
			})
			f.handler.SetService(&route.Service{Name: "one"})
			f.answer.Store(&tc.answer)
			if tc.change != nil {
				tc.change(f.handler)
			}
			f.receive(t.Context())
			lines := logged.FilterMessage("arrival failed").All()
			g.Expect(lines).To(HaveLen(1))
			fields := lines[0].ContextMap()
			g.Expect(fields).To(HaveKeyWithValue("request", "r"))
			g.Expect(fields).To(HaveKeyWithValue("outcome", tc.outcome))
			g.Expect(fields).To(HaveKeyWithValue("evidence", tc.evidence))
			g.Expect(fields).To(HaveKeyWithValue("sends", BeEquivalentTo(tc.sends)))
			if tc.sends > 0 {
				g.Expect(fields).To(HaveKeyWithValue("sentAfter", BeNumerically(">", time.Duration(0))))
			} else {
				g.Expect(fields).NotTo(HaveKey("sentAfter"))
			}
			if tc.evidence != "" {
				g.Expect(observed.evidence).To(Equal([]string{tc.evidence}))
			} else {
				g.Expect(observed.evidence).To(BeEmpty())
			}
		})
	}
}

// TestContradictoryRejection guards against a promise that rests on a rejection by a back end which
// also says that it ran the request.
func TestContradictoryRejection(t *testing.T) {
	cases := []struct {
		name           string
		status         int
		signed, marked bool
		want           int
		evidence       string
	}{
		{"rejected", 503, false, true, 503, "rejected"},
		{"rejected and signed", 503, true, true, 502, ""},
		{"another instance", 421, false, false, 503, "misdirected"},
		{"another instance, signed", 421, true, false, 502, ""},
		{"a success, rejected", 200, false, true, 502, ""},
		{"a success, rejected and signed", 200, true, true, 502, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			observed := &evidenceObserver{}
			f := newWithOptions(t, func(options *ingress.Options) { options.Observer = observed })
			f.handler.SetService(&route.Service{Name: "one"})
			answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(vocabulary.RequestID, r.Header.Get(vocabulary.RequestID))
				if tc.signed {
					w.Header().Set(vocabulary.Signature, "s")
				}
				if tc.marked {
					w.Header().Set(vocabulary.NotProcessed, "1")
				}
				w.WriteHeader(tc.status)
			})
			f.answer.Store(&answer)
			g.Expect(f.receive(t.Context()).Code).To(Equal(tc.want))
			if tc.evidence == "" {
				g.Expect(observed.evidence).To(BeEmpty())
				return
			}
			g.Expect(observed.evidence).To(Equal([]string{tc.evidence}))
		})
	}
}

// TestMisdirectedAnswerWithMarker guards against a 421 that is taken for a rejection by the intended
// back end because it bears the marker as well.
func TestMisdirectedAnswerWithMarker(t *testing.T) {
	g := NewWithT(t)
	var found []string
	f := newWithOptions(t, func(options *ingress.Options) {
		options.OnInstanceMismatch = func(id string) { found = append(found, id) }
	})
	f.handler.SetService(&route.Service{Name: "one"})
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(vocabulary.NotProcessed, "1")
		misdirected(w, r)
	})
	f.answer.Store(&answer)
	got := f.receive(t.Context())
	g.Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(got.Header().Get(outcome.HeaderOutcome)).To(BeEquivalentTo(outcome.NotRun))
	g.Expect(got.Header().Get(outcome.HeaderError)).To(Equal("step=" + string(outcome.StepIdentity)))
	g.Expect(found).To(Equal([]string{"i-2"}))
}
