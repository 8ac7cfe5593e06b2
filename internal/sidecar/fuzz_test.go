package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/emicklei/go-restful/v3"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/dial"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/evacuation"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/exchange"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// unavailableStore is a store whose reads fail with store.ErrUnavailable.
type unavailableStore struct{ Store }

func (unavailableStore) SetWatchTimeout(func(bool) time.Duration) {}
func (unavailableStore) OnRestore(func(uint64))                   {}
func (unavailableStore) LearnEra(uint64)                          {}
func (unavailableStore) Era() uint64                              { return 0 }

func (unavailableStore) Range(context.Context, string, string, int) ([]store.KeyValue, uint64, error) {
	return nil, 0, store.ErrUnavailable
}

// newNode returns a node with a configuration and a local back end of service alpha.
func newNode(t testing.TB) *Sidecar { return newLoggingNode(t, zap.NewNop()) }

// newLoggingNode is newNode with a logger.
func newLoggingNode(t testing.TB, logger *zap.Logger) *Sidecar {
	created := New(Options{
		Settings: Settings{Node: "n", Zone: "z", HeartbeatInterval: time.Second, Service: "alpha"},
		Decode:   func([]byte) (*route.Document, []string, error) { return &route.Document{Version: 1}, nil, nil },
		Store:    unavailableStore{}, Network: dial.System{}, Logger: logger, Registry: prometheus.NewRegistry(),
	})
	NewWithT(t).Expect(created.keeper.Offer(nil, configuration.SourceRead)).To(Succeed())
	created.members.Update(func(record roster.Record) (roster.Record, bool) {
		record.Endpoint = &roster.Endpoint{ID: "i-0", Service: "alpha", Version: "v1", Slots: 4, State: roster.Ready}
		return record, true
	})
	return created
}

// FuzzPeerMessage checks that no message of a peer crashes a node. A message that crashed one node
// would crash all, since nodes forward what they accept to their peers.
func FuzzPeerMessage(f *testing.F) {
	print := fingerprint.Fingerprint{Content: fingerprint.Digest{1}, Call: fingerprint.Digest{2}}
	peer := &roster.Record{
		Node: "p", Epoch: 1, Counter: 1, Zone: "z", Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:1",
		Endpoint: &roster.Endpoint{ID: "i-1", Service: "alpha", Version: "v2", Slots: 4, State: roster.Ready, Sequence: 1},
		Evidence: &roster.Evidence{
			Crashes:     []roster.Crash{{Endpoint: "i-0", Service: "alpha", Running: []fingerprint.Fingerprint{print}, Trial: &print}},
			Cleared:     []roster.Clearance{{Fingerprint: print, Endpoints: []string{"i-0"}}},
			Quarantined: []roster.Quarantined{{Digest: print.Content, Service: "alpha", Endpoints: []string{"i-0"}}},
			Lifted:      []roster.Lift{{Digest: print.Call, Count: 1}},
		},
	}
	own := *peer
	own.Node, own.Epoch = "n", 9
	for _, message := range []any{
		&exchange.Message{From: peer, Digest: 1, Version: 1, BucketCount: 8, DifferingBuckets: []int{0, 7}, Records: []*roster.Record{&own, nil}},
		&exchange.Message{
			From: peer, SharedState: exchange.SharedState{Rollouts: []rollout.SharedState{{}}, Evacuations: []evacuation.Order{{}, {Zone: "z", Revision: 1, Evacuated: true}}},
			Buckets: []uint32{1, 2},
		},
		&exchange.Notice{Record: peer, From: "p", Version: 2},
	} {
		encoded, err := json.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	for _, raw := range []string{`{"from":{"node":"p","endpoint":{},"evidence":{"crashes":[{}],"cleared":[{}],"held":[{}]}}}`, `{"record":{"node":"n"}}`} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		node := newNode(t)
		for _, path := range []string{"/exchange", "/notice"} {
			container := restful.NewContainer()
			container.Add(node.exchanger.Service())
			request := httptest.NewRequest(http.MethodPost, exchange.PathRoot+path, bytes.NewReader(raw))
			request.Header.Set("Content-Type", restful.MIME_JSON)
			container.ServeHTTP(httptest.NewRecorder(), request)
		}
		node.members.View().Records()
		node.members.Forget(time.Now())
	})
}
