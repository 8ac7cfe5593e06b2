package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// decodeManyRoutes decodes a version and a number of routes as a document with that many routes.
func decodeManyRoutes(raw []byte) (*route.Document, []string, error) {
	document := &route.Document{Services: []route.Service{{Name: "service-of-many-routes"}}}
	var routes int
	if _, err := fmt.Sscan(string(raw), &document.Version, &routes); err != nil {
		return nil, nil, err
	}
	for i := range routes {
		// The names of routes share few substrings, like those of users, so that they compress realistically.
		name := strconv.FormatUint(uint64(i)*0x9E3779B97F4A7C15, 36)
		document.Routes = append(document.Routes, route.Route{
			Name: name, Host: fmt.Sprintf("host-%d.example", i%7), PathPrefix: "/" + name + "/", Attempts: 2, Priority: 2,
			Timeout: 2500 * time.Millisecond, TargetLatency: 800 * time.Millisecond,
			Targets: []route.Target{{Service: "service-of-many-routes", Weight: 1}},
		})
	}
	return document, nil, nil
}

// link is a machine's network link: the bytes that arrive over all connections share its bandwidth.
type link struct {
	bytesPerSecond int

	mu   sync.Mutex // guards free
	free time.Time
	// carried counts the bytes that arrived.
	carried int
}

// pass waits until the given number of bytes have arrived.
func (l *link) pass(bytes int) {
	l.mu.Lock()
	l.carried += bytes
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// slowConn is a connection over the link.
type slowConn struct {
	net.Conn
	link *link
}

func (n *slowConn) Read(data []byte) (int, error) {
	const packet = 1400
	count, err := n.Conn.Read(data[:min(len(data), packet)])
	n.link.pass(count)
	return count, err
}

// TestSlowLinkCarriesOneCopy guards against competing copies of a change on a slow link. A change of 0.25 MB
// takes longer over such a link than hedgeDelay; the peers that report it must not all be asked for it, and
// a fetch that receives data must not be abandoned. Every node of a fleet with links of 5 Mbit/s once
// fetched 0.3 MB from four peers at a time, abandoned the fetches before they ended, and was behind
// for 9.8 s.
func TestSlowLinkCarriesOneCopy(t *testing.T) {
	for _, megabits := range []int{2, 5, 10} {
		t.Run(fmt.Sprint(megabits), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { catchUpOverLink(t, megabits) })
		})
	}
}

func catchUpOverLink(t *testing.T, megabits int) {
	g := NewWithT(t)
	in := &network{nodes: map[string]func(net.Conn){}}
	defer synctest.Wait()
	defer in.close()
	defer time.Sleep(10 * time.Second)
	const peers = 6
	held := make([]*virtualMember, peers+1)
	for i := range held {
		held[i] = newVirtualMember(in, "node-"+strconv.Itoa(i), "near")
		held[i].keeper = configuration.NewKeeper(decodeManyRoutes, zap.NewNop())
		held[i].exchanger.options.Configuration = held[i].keeper
		held[i].keeper.Observe(func(*route.Table, configuration.Source) { held[i].exchanger.updater.signal() })
		g.Expect(held[i].keeper.Offer([]byte("7 800"), configuration.SourceWatch)).To(Succeed())
		if i > 0 {
			g.Expect(held[i].keeper.Offer([]byte("8 24000"), configuration.SourceWatch)).To(Succeed())
		}
	}
	late := held[0]
	over := &link{bytesPerSecond: megabits * 1_000_000 / 8}
	late.exchanger.client.CloseIdleConnections()
	late.exchanger.client = newClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := in.dial(ctx, network, address)
		return &slowConn{connection, over}, err
	})
	change, err := held[1].keeper.EncodedChangeSince(7)
	g.Expect(err).NotTo(HaveOccurred())
	alone := time.Duration(len(change.Bytes)) * time.Second / time.Duration(over.bytesPerSecond)
	began := time.Now()
	for late.keeper.Version() < 8 && time.Since(began) < time.Minute {
		for _, peer := range held[1:] {
			late.exchanger.NewerVersionReported(peer.record, 8)
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect(time.Since(began)).To(BeNumerically("<=", alone+100*time.Millisecond))
	g.Expect(over.carried).To(BeNumerically("<", len(change.Bytes)*3/2), "one copy and some overhead")
}

// TestLargeChangeIsCompressed checks that a large change is compressed and a small one is not.
func TestLargeChangeIsCompressed(t *testing.T) {
	g := NewWithT(t)
	keeper := configuration.NewKeeper(decodeManyRoutes, zap.NewNop())
	for _, document := range []string{"7 800", "8 2200", "9 2201"} {
		g.Expect(keeper.Offer([]byte(document), configuration.SourceWatch)).To(Succeed())
	}
	plain, err := json.Marshal(keeper.ChangeSince(7))
	g.Expect(err).NotTo(HaveOccurred())
	large, err := keeper.EncodedChangeSince(7)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(large.Compressed).To(BeTrue())
	g.Expect(len(plain)).To(BeNumerically(">", 250_000))
	g.Expect(len(large.Bytes)).To(BeNumerically("<", len(plain)/10))
	small, err := keeper.EncodedChangeSince(8)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(small.Compressed).To(BeFalse())
	again, err := keeper.EncodedChangeSince(7)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(BeIdenticalTo(large), "encoded once")
}

// TestPeerStallingMidResponse checks that a peer that stalls in the middle of a response does not delay the
// catch-up.
func TestPeerStallingMidResponse(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
		in.set("stops:1", func(connection net.Conn) {
			go silent(connection)
			_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 90\r\n\r\n{\"version\":"))
		})
		peer.offer(t, 8)
		late.exchanger.NewerVersionReported(&roster.Record{Node: "stops", Zone: "near", PeerAddress: "stops:1"}, 8)
		time.Sleep(10 * time.Millisecond)
		late.exchanger.NewerVersionReported(peer.record, 8)
		began := time.Now()
		for late.keeper.Version() < 8 && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(time.Since(began)).To(BeNumerically("<=", 2*hedgeDelay))
	})
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (m *countingConn) Read(data []byte) (int, error) {
	count, err := m.Conn.Read(data)
	m.bytes.Add(int64(count))
	return count, err
}

func (m *countingConn) Write(data []byte) (int, error) {
	count, err := m.Conn.Write(data)
	m.bytes.Add(int64(count))
	return count, err
}

// TestLargeExchangeIsCompressed checks that the records of 984 nodes, which one of two peers lacks, are
// transferred in less than a tenth of their encoded length.
func TestLargeExchangeIsCompressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in := &network{nodes: map[string]func(net.Conn){}}
		defer synctest.Wait()
		defer in.close()
		knows, asks, late := newVirtualMember(in, "knows", "near"), newVirtualMember(in, "asks", "near"), newVirtualMember(in, "late", "near")
		var passed atomic.Int64
		asks.exchanger.client.CloseIdleConnections()
		asks.exchanger.client = newClient(func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := in.dial(ctx, network, address)
			return &countingConn{connection, &passed}, err
		})
		records := manyRecords(984)
		knows.exchanger.options.Roster.Merge(records)
		plain, err := json.Marshal(records)
		g.Expect(err).NotTo(HaveOccurred())
		known := func(of *virtualMember) int { return of.exchanger.options.Roster.View().Count() }
		g.Expect(asks.exchanger.ExchangeWith(t.Context(), knows.record)).To(Succeed())
		time.Sleep(time.Second) // a large roster batches changes
		g.Expect(known(asks)).To(Equal(986))
		g.Expect(passed.Load()).To(BeNumerically("<", len(plain)/10))
		// In the other direction the asking node sends its own long list of records.
		passed.Store(0)
		g.Expect(asks.exchanger.ExchangeWith(t.Context(), late.record)).To(Succeed())
		time.Sleep(time.Second)
		g.Expect(known(late)).To(Equal(987))
		g.Expect(passed.Load()).To(BeNumerically("<", len(plain)/10))
	})
}
