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

// said is what a scripted node answers.
type said struct {
	outcome outcome.Outcome
	step    outcome.Step
}

var (
	rejected = said{outcome.NotRun, outcome.StepShed}
	spoiled  = said{outcome.Unknown, outcome.StepAwait}
	served   = said{}
)

// TestTokensOfRepeatedSends: a send that provably did not run leaves the request its token, also for the
// next send; one that may have run is followed by another where there is a token. Where requests do not
// compete for room a token is spent for each send that reached a back end.
func TestTokensOfRepeatedSends(t *testing.T) {
	cases := []struct {
		name                    string
		answers                 []said
		again                   error
		contended               bool
		status, taken, returned int
	}{
		{"rejected, then served", []said{rejected, served}, nil, true, 200, 1, 0},
		{"rejected twice", []said{rejected, rejected}, nil, true, 503, 1, 1},
		{"spoiled, then served", []said{spoiled, served}, nil, true, 200, 2, 0},
		{"spoiled, with the limit reached", []said{spoiled, served}, quota.ErrLimitReached, true, 502, 2, 0},
		{"spoiled, then rejected", []said{spoiled, rejected}, nil, true, 502, 2, 1},
		{"rejected twice, elsewhere", []said{rejected, rejected}, nil, false, 503, 1, 0},
		{"spoiled, then served, elsewhere", []said{spoiled, served}, nil, false, 200, 1, 0},
	}
	for _, played := range cases {
		t.Run(played.name, func(t *testing.T) {
			g := NewWithT(t)
			var sends atomic.Int64
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				answer := played.answers[min(int(sends.Add(1)), len(played.answers))-1]
				w.Header().Set(hop.HeaderReply, "1 0 0 8 50000 1000 1000")
				w.Header().Set("Connection", "close")
				if answer.outcome != "" {
					w.Header().Set(outcome.HeaderOutcome, string(answer.outcome))
					w.Header().Set(outcome.HeaderError, "step="+string(answer.step))
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
			t.Cleanup(node.Close)
			handler := keyedHandler(t, &lagging{table: keyed(t, 1, route.Tenant{Name: "acme", Keys: []route.Key{"k"}, Rate: 3}), may: true}, &arriving{Server: node})
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
			handler.options.Contended = func() bool { return played.contended }
			tokens := &scriptedQuota{again: played.again, token: liveToken()}
			handler.options.Quota = tokens
			answer := request(t, handler, "/closed/", http.Header{"Deadline-Ms": {"3000"}, keyHeader: {"k"}})
			g.Expect(answer.Code).To(Equal(played.status))
			g.Expect(tokens.taken).To(HaveLen(played.taken))
			g.Expect(tokens.returned).To(HaveLen(played.returned))
		})
	}
}

// liveToken returns a token that may still be spent whenever the test comes to it.
func liveToken() lending.Token {
	now := time.Now().Add(time.Hour) // the test does not depend on how long it takes
	holder := lending.NewHolder("n")
	holder.AddGrant("acme", lending.Grant{Tokens: 1}, now, now)
	_, token := holder.Take("acme", now)
	return token
}

// TestTokensThatNoRunUsed, also when the request is served in the end.
func TestTokensThatNoRunUsed(t *testing.T) {
	ran, notRun, answered := visit{outcome: outcome.Unknown}, visit{outcome: outcome.NotRun}, visit{}
	cases := []struct {
		name   string
		visits visits
		bought int
		unused int // of two
	}{
		{"nothing sent", nil, 0, 2},
		{"refused", visits{notRun, notRun}, 0, 2},
		{"rejected, then served", visits{notRun, answered}, 0, 1},
		{"ran twice", visits{ran, answered}, 0, 0},
		{"the second run paid for by the node", visits{ran, answered}, 1, 1},
		{"more runs than tokens", visits{ran, ran, ran}, 0, 0},
	}
	for _, played := range cases {
		made := &call{visits: played.visits, tokens: make([]lending.Token, 2), boughtAgain: played.bought}
		NewWithT(t).Expect(made.unused()).To(HaveLen(played.unused), played.name)
	}
}
