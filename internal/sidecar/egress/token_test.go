package egress

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quota"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/repeats"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// scriptedReply is the response of a scripted node.
type scriptedReply struct {
	outcome outcome.Outcome
	step    outcome.Step
}

var (
	rejectedReply = scriptedReply{outcome.NotRun, outcome.StepShed}
	unknownResult = scriptedReply{outcome.Unknown, outcome.StepAwait}
	servedReply   = scriptedReply{}
)

// TestTokensOfRetries: an attempt that provably did not run leaves its token to the next attempt;
// one that may have run is followed by another only with a new token. Without overload control
// every attempt that reached a back end spends a token.
func TestTokensOfRetries(t *testing.T) {
	cases := []struct {
		name                    string
		answers                 []scriptedReply
		again                   error
		contended               bool
		status, taken, returned int
	}{
		{"rejected, then served", []scriptedReply{rejectedReply, servedReply}, nil, true, 200, 1, 0},
		{"rejected twice", []scriptedReply{rejectedReply, rejectedReply}, nil, true, 503, 1, 1},
		{"unknown outcome, then served", []scriptedReply{unknownResult, servedReply}, nil, true, 200, 2, 0},
		{"unknown outcome, with the limit reached", []scriptedReply{unknownResult, servedReply}, quota.ErrLimitReached, true, 502, 2, 0},
		{"unknown outcome, then rejected", []scriptedReply{unknownResult, rejectedReply}, nil, true, 502, 2, 1},
		{"rejected twice, without overload control", []scriptedReply{rejectedReply, rejectedReply}, nil, false, 503, 1, 0},
		{"unknown outcome, then served, without overload control", []scriptedReply{unknownResult, servedReply}, nil, false, 200, 1, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var sends atomic.Int64
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				answer := test.answers[min(int(sends.Add(1)), len(test.answers))-1]
				w.Header().Set(hop.HeaderReply, "1 0 0 8 50000 1000 1000")
				w.Header().Set("Connection", "close")
				if answer.outcome != "" {
					w.Header().Set(outcome.HeaderOutcome, string(answer.outcome))
					w.Header().Set(outcome.HeaderError, "step="+string(answer.step))
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
			t.Cleanup(node.Close)
			handler := tenantHandler(t, &fakeFreshness{table: tenantTable(t, 1, route.Tenant{Name: "acme", Keys: []route.Key{"k"}, Rate: 3}), canAdvance: true}, &recordingNode{Server: node})
			members := roster.New(roster.Record{Node: "self", Epoch: 1, Zone: "z"})
			for _, name := range []string{"a", "b"} {
				members.Merge([]*roster.Record{{
					Node: name, Epoch: 1, Address: node.Listener.Addr().String(), Zone: "z",
					Endpoint: &roster.Endpoint{ID: name, Service: "s", Slots: 8, State: roster.Ready},
				}})
			}
			handler.options.View = members.View
			handler.options.RetryBudget = repeats.New(repeats.Options{
				Node: "self", View: members.View, On: func() bool { return false },
				Limits: func() repeats.Limits { return repeats.Limits{Slack: 1e6, Window: time.Second} },
				Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
			})
			handler.options.Contended = func() bool { return test.contended }
			tokens := &scriptedQuota{again: test.again, token: validToken()}
			handler.options.Quota = tokens
			answer := request(t, handler, "/closed/", http.Header{"Deadline-Ms": {"3000"}, keyHeader: {"k"}})
			g.Expect(answer.Code).To(Equal(test.status))
			g.Expect(tokens.taken).To(HaveLen(test.taken))
			g.Expect(tokens.returned).To(HaveLen(test.returned))
		})
	}
}

// validToken returns a token that does not expire during the test.
func validToken() lending.Token {
	now := time.Now().Add(time.Hour) // independent of how long the test takes
	holder := lending.NewHolder("n")
	holder.AddGrant("acme", lending.Grant{Tokens: 1}, now, now)
	_, token := holder.Take("acme", now)
	return token
}

// TestUnusedTokens: tokens that no run has used are left, also when the request is served in the
// end.
func TestUnusedTokens(t *testing.T) {
	ran, notRun, answered := attemptRecord{outcome: outcome.Unknown}, attemptRecord{outcome: outcome.NotRun}, attemptRecord{}
	cases := []struct {
		name         string
		attempts     attempts
		bought       int
		unusedTokens int // of two
	}{
		{"nothing sent", nil, 0, 2},
		{"refused", attempts{notRun, notRun}, 0, 2},
		{"rejected, then served", attempts{notRun, answered}, 0, 1},
		{"ran twice", attempts{ran, answered}, 0, 0},
		{"the second run paid for with a held token", attempts{ran, answered}, 1, 1},
		{"more runs than tokens", attempts{ran, ran, ran}, 0, 0},
	}
	for _, test := range cases {
		made := &call{attempts: test.attempts, tokens: make([]lending.Token, 2), heldTokenRuns: test.bought}
		NewWithT(t).Expect(made.unusedTokens()).To(HaveLen(test.unusedTokens), test.name)
	}
}
