package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/emicklei/go-restful/v3"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// waitTimeout bounds every wait of these tests.
const waitTimeout = 20 * time.Second

// member is a node that exchanges over a real socket.
type member struct {
	exchanger *Exchanger
	members   *roster.Roster
	keeper    *configuration.Keeper
	record    *roster.Record
	bytes     atomic.Int64
	reads     atomic.Bool
}

func decodeVersion(raw []byte) (*route.Document, []string, error) {
	document := &route.Document{}
	return document, nil, json.Unmarshal(raw, &document.Version)
}

func newMember(t *testing.T, name string) *member {
	created := &member{keeper: configuration.NewKeeper(decodeVersion, zap.NewNop())}
	created.reads.Store(true)
	container := restful.NewContainer()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		container.ServeHTTP(recorder, r)
		created.bytes.Add(r.ContentLength + int64(recorder.Body.Len()))
		for key, values := range recorder.Header() {
			w.Header()[key] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	created.members = roster.New(roster.Record{Node: name, Epoch: 1, Counter: 1, PeerAddress: server.Listener.Addr().String()})
	created.record = created.members.Own()
	created.exchanger = New(Options{
		Roster: created.members, Configuration: created.keeper,
		Dial:             (&net.Dialer{}).DialContext,
		Refresh:          func(context.Context) error { return nil },
		IsReader:         created.reads.Load,
		MarkUnresponsive: func(*roster.Record) {},
		Logger:           zap.NewNop(),
	})
	container.Add(created.exchanger.Service())
	return created
}

func manyRecords(count int) []*roster.Record {
	records := make([]*roster.Record, count)
	for number := range records {
		records[number] = &roster.Record{
			Node: fmt.Sprintf("node-%d", number), Epoch: 1, Counter: 1, Address: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Zone: "zone",
			Endpoint: &roster.Endpoint{ID: "i-12345678", Service: "service", Slots: 9, State: roster.Ready, Sequence: 1},
		}
	}
	return records
}

// TestExchangeMakesRostersEqual checks that one exchange makes rosters equal, whatever each had.
func TestExchangeMakesRostersEqual(t *testing.T) {
	for _, size := range []int{0, 3, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			first, second := newMember(t, "first"), newMember(t, "second")
			records := manyRecords(size)
			first.members.Merge(records[:size/2])
			second.members.Merge(records[size/3:])
			if size > 0 {
				newer := *records[size/2]
				newer.Counter = 9
				first.members.Merge([]*roster.Record{&newer})
			}
			g.Expect(first.exchanger.ExchangeWith(t.Context(), second.record)).To(Succeed())
			g.Expect(first.members.View().Digest()).To(Equal(second.members.View().Digest()))
			g.Expect(first.members.View().Records()).To(HaveLen(size + 2))
		})
	}
}

// TestExchangeSendsOnlyDifferences checks that an exchange does not send all records when one of many
// differs.
func TestExchangeSendsOnlyDifferences(t *testing.T) {
	g := NewWithT(t)
	first, second := newMember(t, "first"), newMember(t, "second")
	records := manyRecords(1000)
	first.members.Merge(records)
	second.members.Merge(records)
	// A large roster batches changes.
	g.Expect(first.exchanger.ExchangeWith(t.Context(), second.record)).To(Succeed())
	g.Eventually(func() bool { return first.members.View().Digest() == second.members.View().Digest() }).
		WithTimeout(waitTimeout).Should(BeTrue())
	second.bytes.Store(0)
	g.Expect(first.exchanger.ExchangeWith(t.Context(), second.record)).To(Succeed())
	g.Expect(second.bytes.Load()).To(BeNumerically("<", 1000), "nothing differs")
	changed := *records[500]
	changed.Counter = 2
	second.members.Merge([]*roster.Record{&changed})
	counter := func(held *member) func() uint64 {
		return func() uint64 { return held.members.View().Record("node-500").Counter }
	}
	g.Eventually(counter(second)).WithTimeout(waitTimeout).Should(BeEquivalentTo(2))
	second.bytes.Store(0)
	g.Expect(first.exchanger.ExchangeWith(t.Context(), second.record)).To(Succeed())
	g.Expect(second.bytes.Load()).To(BeNumerically("<", 8000), "one record differs")
	g.Eventually(counter(first)).WithTimeout(waitTimeout).Should(BeEquivalentTo(2))
}

func TestBroadcastIsReceived(t *testing.T) {
	g := NewWithT(t)
	first, second := newMember(t, "first"), newMember(t, "second")
	first.members.Merge([]*roster.Record{second.record})
	g.Expect(first.exchanger.Broadcast(t.Context())).To(Equal(1))
	g.Expect(second.members.View().Record("first")).NotTo(BeNil())
}

// TestNewerVersionIsFetchedFromPeer checks that a node fetches a newer version from its peer when the
// store has none.
func TestNewerVersionIsFetchedFromPeer(t *testing.T) {
	g := NewWithT(t)
	first, second := newMember(t, "first"), newMember(t, "second")
	g.Expect(second.keeper.Offer([]byte("7"), configuration.SourceWatch)).To(Succeed())
	g.Expect(first.exchanger.ExchangeWith(t.Context(), second.record)).To(Succeed())
	g.Eventually(first.keeper.Version).WithTimeout(waitTimeout).Should(BeEquivalentTo(7))
	g.Expect(first.keeper.Offer([]byte("6"), configuration.SourceRead)).To(MatchError(configuration.ErrNotNewer))
	g.Expect(first.keeper.Version()).To(BeEquivalentTo(7), "versions only increase")
}

func TestInvalidComparisons(t *testing.T) {
	g := NewWithT(t)
	for _, message := range []Message{
		{}, {BucketCount: -1}, {BucketCount: 1 << 30}, {BucketCount: 4, DifferingBuckets: []int{4}}, {BucketCount: 4, DifferingBuckets: []int{-1}}, {BucketCount: 1, DifferingBuckets: []int{0, 0}},
	} {
		g.Expect(message.comparable()).To(BeFalse())
	}
	g.Expect((&Message{BucketCount: 4, DifferingBuckets: []int{0, 3}}).comparable()).To(BeTrue())
	answering := newMember(t, "first")
	for _, body := range []string{"", "{", `{"digest":1}`, `{"from":{"node":"x"},"of":-1}`} {
		response, err := http.Post("http://"+answering.record.PeerAddress+PathRoot+pathExchange, "application/json", strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		g.Expect(response.StatusCode).To(Or(Equal(http.StatusBadRequest), Equal(http.StatusOK)))
	}
}

// TestNonReaderFetchesFromPeer checks that a node that is not a reader fetches from its peer and not
// from the store, also when the peer no longer keeps the version that the node has.
func TestNonReaderFetchesFromPeer(t *testing.T) {
	g := NewWithT(t)
	first, second := newMember(t, "first"), newMember(t, "second")
	first.reads.Store(false)
	var asked atomic.Int64
	first.exchanger.options.Refresh = func(context.Context) error {
		asked.Add(1)
		return nil
	}
	g.Expect(first.keeper.Offer([]byte("3"), configuration.SourceRead)).To(Succeed())
	for _, version := range []string{"7", "8", "12"} {
		g.Expect(second.keeper.Offer([]byte(version), configuration.SourceWatch)).To(Succeed())
		g.Expect(first.exchanger.ExchangeWith(t.Context(), second.record)).To(Succeed())
		g.Eventually(first.keeper.Version).WithTimeout(waitTimeout).Should(Equal(second.keeper.Version()))
	}
	g.Expect(asked.Load()).To(BeZero())
	g.Expect(second.keeper.ChangeSince(8).Base).To(BeEquivalentTo(8))
	g.Expect(second.keeper.ChangeSince(3).Base).To(BeZero(), "no longer kept: whole document")
	g.Expect(newMember(t, "third").keeper.ChangeSince(3)).To(BeNil())
}

// TestNonReaderFallsBackToStore checks that a node that is not a reader reads the store when its
// peer does not respond.
func TestNonReaderFallsBackToStore(t *testing.T) {
	g := NewWithT(t)
	first := newMember(t, "first")
	first.reads.Store(false)
	asked := make(chan struct{}, 1)
	first.exchanger.options.Refresh = func(context.Context) error {
		asked <- struct{}{}
		return nil
	}
	first.exchanger.NewerVersionReported(&roster.Record{Node: "second", PeerAddress: "127.0.0.1:1"}, 7)
	g.Eventually(asked).WithTimeout(waitTimeout).Should(Receive())
}

// TestWholeConfigurationEncoding checks that a node without a configuration gets it compressed, and
// that a peer of the previous version, which does not request compression, gets it uncompressed.
func TestWholeConfigurationEncoding(t *testing.T) {
	g := NewWithT(t)
	first, second := newMember(t, "first"), newMember(t, "second")
	g.Expect(second.keeper.Offer([]byte("7"), configuration.SourceWatch)).To(Succeed())
	ask := func(accepts string) *http.Response {
		request, err := http.NewRequest(http.MethodGet, "http://"+second.record.PeerAddress+PathRoot+pathConfiguration+"?after=0", nil)
		g.Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Accept-Encoding", accepts)
		answer, err := http.DefaultTransport.RoundTrip(request)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = answer.Body.Close() })
		return answer
	}
	g.Expect(ask("gzip").Header.Get("Content-Encoding")).To(Equal("gzip"))
	plain := ask("identity")
	g.Expect(plain.Header.Get("Content-Encoding")).To(BeEmpty())
	change := &route.Change{}
	g.Expect(json.NewDecoder(plain.Body).Decode(change)).To(Succeed())
	g.Expect(change.Version).To(BeEquivalentTo(7))

	first.members.Merge([]*roster.Record{second.record})
	first.exchanger.Greet(t.Context())
	g.Eventually(first.keeper.Version).WithTimeout(waitTimeout).Should(BeEquivalentTo(7))
	g.Expect(newMember(t, "third").keeper.EncodedChangeSince(0)).To(BeNil())
}

// TestPanickingRecordIsContained checks that a record that causes a panic does not end the node that
// receives it, since a record reaches all nodes, and that the next record is accepted.
func TestPanickingRecordIsContained(t *testing.T) {
	g := NewWithT(t)
	receiver, sender := newMember(t, "hearing"), newMember(t, "telling")
	receiver.members.Observe(func(changed []*roster.Record) {
		for _, record := range changed {
			if record.Node == "harmful" {
				panic("observer failure")
			}
		}
	})
	sender.members.Merge([]*roster.Record{{Node: "harmful", Epoch: 1, Counter: 1}})
	g.Expect(receiver.exchanger.ExchangeWith(t.Context(), sender.record)).To(MatchError(ContainSubstring("panic: observer failure")))
	sender.members.Merge([]*roster.Record{{Node: "harmless", Epoch: 1, Counter: 1}})
	g.Expect(receiver.exchanger.ExchangeWith(t.Context(), sender.record)).To(Succeed())
	g.Expect(receiver.members.View().Record("harmless")).NotTo(BeNil())
}
