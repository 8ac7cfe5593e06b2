package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/emicklei/go-restful/v3"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// network connects nodes in memory, so that tests can use a virtual clock.
type network struct {
	mu    sync.Mutex // guards all below
	nodes map[string]func(net.Conn)
	open  []net.Conn
}

// set sets the function that handles connections to an address; nil removes the address.
func (n *network) set(address string, accept func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if accept == nil {
		delete(n.nodes, address)
		return
	}
	n.nodes[address] = accept
}

// dial returns a connection to the node at the address.
func (n *network) dial(_ context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	accept, found := n.nodes[address]
	if !found {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	n.open = append(n.open, near, far)
	go accept(far)
	return near, nil
}

// close closes all connections.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, connection := range n.open {
		_ = connection.Close()
	}
}

// silent reads whatever it is sent and never responds.
func silent(connection net.Conn) { _, _ = io.Copy(io.Discard, connection) }

// unreachable reads nothing, like a node without power: writes hang.
func unreachable(net.Conn) {}

// serve serves one connection with the node's handlers.
func (m *virtualMember) serve(connection net.Conn) {
	listener := &oneConnection{connection: connection, closed: make(chan struct{})}
	server := &http.Server{Handler: m.container, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			close(listener.closed)
		}
	}}
	_ = server.Serve(listener)
}

// oneConnection is a listener that accepts one connection.
type oneConnection struct {
	connection net.Conn
	closed     chan struct{}
}

func (l *oneConnection) Accept() (net.Conn, error) {
	if connection := l.connection; connection != nil {
		l.connection = nil
		return connection, nil
	}
	<-l.closed
	return nil, io.EOF
}
func (l *oneConnection) Close() error   { return nil }
func (l *oneConnection) Addr() net.Addr { return &net.TCPAddr{} }

// virtualMember is a node on a virtual clock.
type virtualMember struct {
	exchanger *Exchanger
	keeper    *configuration.Keeper
	record    *roster.Record
	container *restful.Container
	// refresh is the node's read of the store.
	refresh func(context.Context) error
}

func newVirtualMember(in *network, name, zone string) *virtualMember {
	return newSeededMember(in.dial, in, name, zone, 0)
}

// dialer opens connections to other nodes.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// newSeededMember is newVirtualMember with its own dialer and a seed for the node's random draws.
func newSeededMember(dial dialer, in *network, name, zone string, seed uint64) *virtualMember {
	made := &virtualMember{
		keeper: configuration.NewKeeper(decodeVersion, zap.NewNop()), container: restful.NewContainer(),
		refresh: func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
	}
	members := roster.New(roster.Record{Node: name, Epoch: 1, Counter: 1, Zone: zone, PeerAddress: name + ":1"})
	made.record = members.Own()
	made.exchanger = New(Options{
		Roster: members, Configuration: made.keeper, Dial: dial,
		Refresh:          func(ctx context.Context) error { return made.refresh(ctx) },
		IsReader:         func() bool { return false },
		MarkUnresponsive: func(*roster.Record) {},
		Seed:             seed,
		Logger:           zap.NewNop(),
	})
	made.container.Add(made.exchanger.Service())
	in.set(made.record.PeerAddress, made.serve)
	return made
}

func (m *virtualMember) offer(t *testing.T, version uint64) {
	NewWithT(t).Expect(m.keeper.Offer([]byte(strconv.FormatUint(version, 10)), configuration.SourceWatch)).To(Succeed())
}

// TestSilentPeerDoesNotDelayCatchUp guards against a node that serves a replaced configuration for more
// than 2.5 s because a peer reported the new version and then fell silent: it hung, lost power, or its
// link was full. The node tried one peer at a time, with a time-out as long as the bound for a version to
// be in force, and ignored the reports that healthy peers sent twenty times a second meanwhile. Users saw
// existing routes refused, and requests served by a service that their route no longer targeted.
//
// Of 24 real processes, six of which hung, one had a version 2.574 s after it was acknowledged: it waited
// 2.00 s for the peer that hung and asked neither of the two healthy peers, which had reported that and
// three later versions meanwhile.
func TestSilentPeerDoesNotDelayCatchUp(t *testing.T) {
	const most = 500 * time.Millisecond
	ways := map[string]func(net.Conn){"reads but does not respond": silent, "does not read": unreachable}
	for name, accept := range ways {
		for _, zone := range []string{"near", "far"} {
			for _, quiet := range []int{1, 2, 6} {
				t.Run(name+" "+zone+" "+strconv.Itoa(quiet), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { catchUpWithSilentPeers(t, quiet, zone, accept, most) })
				})
			}
		}
	}
}

// catchUpWithSilentPeers lets silent peers report a version to a node, then a healthy peer of the node's
// zone again and again, and expects that the node has the version in time after that.
func catchUpWithSilentPeers(t *testing.T, quiet int, zone string, accept func(net.Conn), most time.Duration) {
	g := NewWithT(t)
	in := &network{nodes: map[string]func(net.Conn){}}
	defer synctest.Wait()
	defer in.close()
	late, healthy := newVirtualMember(in, "late", "near"), newVirtualMember(in, "healthy", "near")
	late.offer(t, 7)
	healthy.offer(t, 7)
	healthy.offer(t, 8)
	for i := range quiet {
		address := "silent-" + strconv.Itoa(i) + ":1"
		in.set(address, accept)
		late.exchanger.NewerVersionReported(&roster.Record{Node: "silent-" + strconv.Itoa(i), Zone: zone, PeerAddress: address}, 8)
	}
	const pause = 50 * time.Millisecond
	time.Sleep(pause)
	reportedAt := time.Now()
	for late.keeper.Version() < 8 && time.Since(reportedAt) < time.Minute {
		late.exchanger.NewerVersionReported(healthy.record, 8)
		time.Sleep(pause)
	}
	g.Expect(time.Since(reportedAt)).To(BeNumerically("<=", most))
}

// countingTransport counts the requests that a transport sends.
type countingTransport struct {
	http.RoundTripper
	count *atomic.Int64
}

func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.count.Add(1)
	return c.RoundTripper.RoundTrip(r)
}
