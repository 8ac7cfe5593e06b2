package ingress_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/egress"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quarantine"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/repeats"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// silentCallObserver is the silentObserver of the caller's node.
type silentCallObserver struct{}

func (silentCallObserver) CallEnded(string, int, outcome.Outcome, outcome.Step, time.Duration) {}
func (silentCallObserver) CallNotRun(notrun.Evidence)                                          {}
func (silentCallObserver) Sent(string, int)                                                    {}
func (silentCallObserver) Diverted(string, bool)                                               {}
func (silentCallObserver) Pipelined()                                                          {}
func (silentCallObserver) ResponseReceived(time.Duration, time.Duration)                       {}
func (silentCallObserver) ProbeFailed(string, bool)                                            {}
func (silentCallObserver) Recovered(string)                                                    {}
func (silentCallObserver) Unreachable(string)                                                  {}
func (silentCallObserver) NewerVersionReported(string, uint64)                                 {}

// newCallersNode starts a node for callers that sends requests to the nodes at the addresses, and
// returns its own address. A request that may run once may be sent to three of them.
func newCallersNode(t *testing.T, addresses ...string) string {
	table, err := route.Compile(&route.Document{
		Version: 1,
		Routes: []route.Route{{
			Name: "once", Host: "h", PathPrefix: "/once/", Attempts: 3, TargetLatency: 200 * time.Millisecond,
			Targets: []route.Target{{Service: "one", Weight: 1}},
		}},
		Services: []route.Service{{Name: "one"}},
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	members := roster.New(roster.Record{Node: "self", Epoch: 1, Zone: "z"})
	for number, address := range addresses {
		members.Merge([]*roster.Record{{
			Node: fmt.Sprint("node-", number), Epoch: 1, Address: address, Zone: "z",
			Endpoint: &roster.Endpoint{ID: "i-1", Service: "one", Slots: 4, State: roster.Ready},
		}})
	}
	handler := egress.New(egress.Options{
		Vocabulary: vocabulary,
		Table:      func() *route.Table { return table },
		TableAge:   func() time.Duration { return 0 },
		View:       members.View,
		Node:       "self",
		Zone:       "z",
		Caller:     func() string { return "two" },
		RetryBudget: repeats.New(repeats.Options{
			Node: "self", View: members.View, On: func() bool { return false },
			Limits: func() repeats.Limits { return repeats.Limits{Ratio: 1, Slack: 1000, Window: time.Second} },
			Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
		}),
		Weights:  choice.DefaultWeights(),
		Probe:    func(context.Context, *roster.Record) error { return nil },
		Logger:   zap.NewNop(),
		Observer: silentCallObserver{},
		Quarantine: quarantine.New(quarantine.Options{
			Members: members, Broadcast: func() {}, Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
		}),
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Cleanup(handler.CancelCalls)
	return server.Listener.Addr().String()
}

// TestCallersRefusedHaveNotRun guards against callers that are refused with a promise although their
// request runs at one of several back ends in trouble, and against runs at two of them.
func TestCallersRefusedHaveNotRun(t *testing.T) {
	const workers, each, nodes = 8, 100, 3
	g := NewWithT(t)
	backends, addresses := make([]*troubledBackend, nodes), make([]string, nodes)
	for i := range nodes {
		backends[i], addresses[i] = newTroubledNode(t, uint64(i))
	}
	pool := forward.NewPool(newCallersNode(t, addresses...), forward.Limits{
		Connections: 2 * workers, IdleTimeout: time.Minute, DialTimeout: time.Second,
	}, nil)
	defer pool.Close()
	var mu sync.Mutex // guards statuses
	statuses := map[string]int{}
	var done sync.WaitGroup
	for worker := range workers {
		done.Go(func() {
			draw := rand.New(rand.NewPCG(4, uint64(worker)))
			for i := range each {
				drawn := drawExchange(draw, fmt.Sprintf("%d-%d", worker, i))
				drawn.method, drawn.badHeader = http.MethodPost, false
				ctx, cancel := context.WithTimeout(t.Context(), drawn.limit)
				request := drawn.request(ctx)
				request.Host, request.URL.Path = "h", "/once/1"
				request.Header.Set(vocabulary.Deadline, "1000")
				reply, err := pool.RoundTrip(request)
				if err == nil {
					mu.Lock()
					statuses[drawn.id] = reply.StatusCode
					mu.Unlock()
					_, _ = io.Copy(io.Discard, reply.Body)
					_ = reply.Body.Close()
				}
				cancel()
			}
		})
	}
	done.Wait()
	runs, counts := map[string]int{}, map[int]int{}
	for _, backend := range backends {
		backend.mu.Lock()
		for id, count := range backend.runs {
			runs[id] += count
		}
		backend.mu.Unlock()
	}
	for _, status := range statuses {
		counts[status]++
	}
	t.Logf("%d requests ran, replies by status: %v", len(runs), counts)
	for id, count := range runs {
		if count > 1 {
			t.Errorf("request %s ran %d times", id, count)
		}
		if notrun.Promises(statuses[id]) {
			t.Errorf("request %s was refused with %d and ran", id, statuses[id])
		}
	}
	g.Expect(counts[http.StatusOK]).To(BeNumerically(">", each))
}
