package egress

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

const (
	keyHeader    = "Api-Key"
	tenantHeader = "Tenant"
)

// tenantTable returns a configuration with the tenant and another one, a route that requires a key
// and one that does not.
func tenantTable(t *testing.T, version uint64, tenant route.Tenant) *route.Table {
	document := &route.Document{
		Version: version, Services: []route.Service{{Name: "s"}},
		Tenants: []route.Tenant{tenant, {Name: "another", Keys: []route.Key{"of-another"}}},
	}
	for _, name := range []string{"closed", "open"} {
		document.Routes = append(document.Routes, route.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Repeatable: true, Attempts: 2, Priority: 5, Open: name == "open",
			TargetLatency: 200 * time.Millisecond, Targets: []route.Target{{Service: "s", Weight: 1}},
		})
	}
	table, err := route.Compile(document, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return table
}

// recordingNode is a node that records the requests it receives.
type recordingNode struct {
	*httptest.Server
	headers []http.Header
	hops    []hop.Request
}

func newRecordingNode(t *testing.T) *recordingNode {
	created := &recordingNode{}
	created.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hopRequest, err := hop.ParseRequest(r.Header.Get(hop.HeaderHop))
		if err != nil {
			t.Error(err)
		}
		created.headers, created.hops = append(created.headers, r.Header), append(created.hops, hopRequest)
		w.Header().Set(hop.HeaderReply, "1 0 0 8 50000 1000 1000")
		w.Header().Set("Connection", "close")
	}))
	t.Cleanup(created.Close)
	return created
}

// tenantHandler returns a handler with one back end, behind the recording node.
func tenantHandler(t *testing.T, freshness *fakeFreshness, node *recordingNode) *Handler {
	handler := newHandler(t, &fakeObserver{}, probeOK)
	members := roster.New(roster.Record{Node: "self", Epoch: 1, Zone: "z"})
	members.Merge([]*roster.Record{{
		Node: "a", Epoch: 1, Address: node.Listener.Addr().String(), Zone: "z",
		Endpoint: &roster.Endpoint{ID: "i", Service: "s", Slots: 8, State: roster.Ready},
	}})
	handler.options.View = members.View
	handler.options.Vocabulary.APIKey, handler.options.Vocabulary.Tenant = keyHeader, tenantHeader
	handler.options.Table = func() *route.Table { return freshness.table }
	handler.options.Freshness = freshness
	return handler
}

// request sends one request with the headers through the handler.
func request(t *testing.T, handler *Handler, path string, header http.Header) *httptest.ResponseRecorder {
	sent := httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, http.NoBody)
	sent.Host, sent.Header = "h", header
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, sent)
	return recorder
}

// TestTenants: callers without a tenant's key are refused once the node has confirmed that its
// configuration is the newest. The key is not forwarded, and the caller's own tenant header is
// ignored.
func TestTenants(t *testing.T) {
	cases := []struct {
		name, path, key string
		before, after   route.Key // the tenant's key in the version in force, and in the newest
		canAdvance      bool      // the node can catch up
		status          int
		tenant          string
	}{
		{"a key", "/closed/", "k", "k", "k", true, 200, "acme"},
		{"another tenant's key", "/closed/", "of-another", "k", "k", true, 200, "another"},
		{"no key", "/closed/", "", "k", "k", true, 401, ""},
		{"an unknown key", "/closed/", "x", "k", "k", true, 401, ""},
		{"a key that was just added", "/closed/", "new", "k", "new", true, 200, "acme"},
		{"an unknown key, unconfirmed", "/closed/", "x", "k", "k", false, 503, ""},
		{"an open route without a key", "/open/", "", "k", "k", true, 200, ""},
		{"an open route with an unknown key", "/open/", "x", "k", "k", true, 200, ""},
		{"an open route with a key", "/open/", "k", "k", "k", true, 200, "acme"},
		{"no route", "/none/", "k", "k", "k", true, 404, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			node := newRecordingNode(t)
			rank := 1
			tenant := route.Tenant{Name: "acme", Keys: []route.Key{test.before}, Priority: &rank}
			freshness := &fakeFreshness{table: tenantTable(t, 1, tenant), canAdvance: test.canAdvance}
			tenant.Keys = []route.Key{test.after}
			freshness.next = tenantTable(t, 2, tenant)
			header := http.Header{"Deadline-Ms": {"3000"}, tenantHeader: {"forged"}}
			if test.key != "" {
				header[keyHeader] = []string{test.key}
			}
			handler := tenantHandler(t, freshness, node)
			g.Expect(request(t, handler, test.path, header).Code).To(Equal(test.status))
			if test.status != http.StatusOK {
				g.Expect(node.headers).To(BeEmpty())
				return
			}
			g.Expect(node.headers).To(HaveLen(1))
			g.Expect(node.headers[0]).NotTo(HaveKey(keyHeader))
			g.Expect(node.headers[0].Get(tenantHeader)).To(Equal(test.tenant))
			priority := 5
			if test.tenant == "acme" {
				priority = rank
			}
			g.Expect(node.hops[0].Priority).To(Equal(priority), "a tenant's priority takes precedence over the route's")
		})
	}
}

// TestWithoutTenants: a configuration without tenants requires no key.
func TestWithoutTenants(t *testing.T) {
	g := NewWithT(t)
	node := newRecordingNode(t)
	handler := tenantHandler(t, &fakeFreshness{table: tableWithRoute(t, 1, "s"), canAdvance: true}, node)
	g.Expect(request(t, handler, "/r/", http.Header{"Deadline-Ms": {"3000"}, tenantHeader: {"forged"}}).Code).To(Equal(http.StatusOK))
	g.Expect(node.headers[0]).NotTo(HaveKey(tenantHeader))
}

// TestLastKeyRevoked guards against requests that are served without a valid key once a version has taken the last
// keys away.
func TestLastKeyRevoked(t *testing.T) {
	for _, key := range []string{"", "revoked", "invented"} {
		t.Run("key "+key, func(t *testing.T) {
			g := NewWithT(t)
			document := tenantTable(t, 2, route.Tenant{Name: "acme"}).Document()
			document.Tenants = document.Tenants[:1]
			table, err := route.Compile(document, nil)
			g.Expect(err).NotTo(HaveOccurred())
			node := newRecordingNode(t)
			handler := tenantHandler(t, &fakeFreshness{table: table, canAdvance: true}, node)
			header := http.Header{"Deadline-Ms": {"3000"}, keyHeader: {key}}
			g.Expect(request(t, handler, "/closed/", header).Code).To(Equal(http.StatusUnauthorized))
			g.Expect(node.headers).To(BeEmpty())
			g.Expect(request(t, handler, "/open/", header).Code).To(Equal(http.StatusOK))
		})
	}
}

// TestRevokedKey: a request that was routed before the key was revoked is returned by a node with
// the newer configuration, and refused.
func TestRevokedKey(t *testing.T) {
	g := NewWithT(t)
	moved := newPeer(t, answerMoved)
	freshness := &fakeFreshness{
		table: tenantTable(t, 1, route.Tenant{Name: "acme", Keys: []route.Key{"old"}}),
		next:  tenantTable(t, 2, route.Tenant{Name: "acme", Keys: []route.Key{"new"}}), canAdvance: true,
	}
	handler := outdatedHandler(t, freshness, moved, moved)
	handler.options.Vocabulary.APIKey, handler.options.Vocabulary.Tenant = keyHeader, tenantHeader
	header := http.Header{"Deadline-Ms": {"3000"}, keyHeader: {"old"}}
	g.Expect(request(t, handler, "/closed/", header).Code).To(Equal(http.StatusUnauthorized))
	g.Expect(moved.requests.Load()).To(BeEquivalentTo(1))
}

// TestKeysNotLogged: neither accepted nor refused requests log the key.
func TestKeysNotLogged(t *testing.T) {
	g := NewWithT(t)
	core, logged := observer.New(zapcore.DebugLevel)
	node := newRecordingNode(t)
	tenant := route.Tenant{Name: "acme", Keys: []route.Key{"secret-known"}}
	handler := tenantHandler(t, &fakeFreshness{table: tenantTable(t, 1, tenant), canAdvance: true}, node)
	handler.options.Logger, handler.servedLogger = zap.New(core), zap.New(core)
	for _, key := range []string{"secret-known", "secret-unknown"} {
		request(t, handler, "/closed/", http.Header{"Deadline-Ms": {"3000"}, keyHeader: {key}})
	}
	g.Expect(logged.Len()).To(Equal(2))
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{})
	for _, entry := range logged.All() {
		line, err := encoder.EncodeEntry(entry.Entry, entry.Context)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(line.String()).NotTo(ContainSubstring("secret"))
	}
	steps := logged.FilterField(zap.String("step", string(outcome.StepIdentify)))
	g.Expect(steps.Len()).To(Equal(1))
}
