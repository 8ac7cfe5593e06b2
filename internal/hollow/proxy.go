// Package hollow runs proxies without a data path, many in one process. Each
// has a session, state, acknowledgements and entitlement of its own over real
// connections, by the code that kestrel-proxy runs; only calls are left out.
package hollow

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/agent/attachment"
	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscription"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// Options describe one hollow proxy.
type Options struct {
	// Node needs no incarnation: each start has its own.
	Node distribution.Node
	// Services are the identities the proxy acts for.
	Services []string
	// Endpoint, when set, is the endpoint beside the proxy; it is ready from
	// the start.
	Endpoint *endpoint.Update
	// Members are the control daemons known.
	Members []membership.Member
	Stream  settings.ProxyStream
	Logger  *zap.Logger
}

// Applied says when a version came into force.
type Applied struct {
	Version uint64    `json:"version"`
	At      time.Time `json:"at"`
}

// appliedHistory is how many of the newest versions a proxy keeps the times of.
const appliedHistory = 4096

// Proxy is one start of a hollow proxy. Its methods are safe for concurrent
// use.
type Proxy struct {
	options      Options
	traffic      *stream.Traffic
	subscription *subscription.Subscription
	parents      []subscriber.Parent
	inForce      atomic.Pointer[projection.Snapshot]

	// mutex guards the fields below.
	mutex     sync.Mutex
	applied   []Applied
	endpoints *endpoint.Table
}

// New returns a proxy that holds nothing. Traffic is counted in traffic, which
// may outlive this start.
func New(options Options, traffic *stream.Traffic) *Proxy {
	created := &Proxy{options: options, traffic: traffic, endpoints: endpoint.NewTable()}
	node := options.Node
	node.Incarnation = uint64(time.Now().UnixMilli())
	entitlement := projection.Entitlement{Zone: node.Zone, Services: slices.Sorted(slices.Values(options.Services))}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	core := subscriber.New(attachment.SubscriberConfig(options.Stream), node, distribution.ChildProxy, entitlement, random)
	client := stream.NewClient(stream.NewTransport(traffic, nil), "http", traffic)
	client.MaximumMessageBytes = options.Stream.MessageBytes
	announcer := attachment.NewAnnouncer(created.initialEndpoint(node), options.Logger)
	created.subscription = attachment.New(core, client, created, announcer, options.Logger)
	created.parents = attachment.Parents(options.Members, node, options.Stream)
	return created
}

func (p *Proxy) initialEndpoint(node distribution.Node) *endpoint.Update {
	if p.options.Endpoint == nil {
		return nil
	}
	initial := *p.options.Endpoint
	initial.Incarnation = node.Incarnation
	return &initial
}

// Run runs the proxy until ctx ends; then its stream is cut, as at a process's
// death.
func (p *Proxy) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- p.subscription.Run(running) }()
	if err := p.subscription.Parents(running, p.parents); err != nil {
		cancel()
		return <-ended
	}
	return <-ended
}

// Apply puts a snapshot in force.
func (p *Proxy) Apply(snapshot *projection.Snapshot) error {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.inForce.Store(snapshot)
	p.applied = append(p.applied, Applied{Version: snapshot.Version, At: now})
	if len(p.applied) > 2*appliedHistory {
		p.applied = slices.Clone(p.applied[len(p.applied)-appliedHistory:])
	}
	return nil
}

// UpdateEndpoints takes in endpoint states.
func (p *Proxy) UpdateEndpoints(updates []endpoint.Update) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, update := range updates {
		p.endpoints.Merge(update)
	}
}

// Version returns the version in force; zero before the first.
func (p *Proxy) Version() uint64 {
	if snapshot := p.inForce.Load(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// Snapshot returns the snapshot in force; nil before the first.
func (p *Proxy) Snapshot() *projection.Snapshot { return p.inForce.Load() }

// InForceAt returns when the proxy first enforced a version or a later one.
func (p *Proxy) InForceAt(version uint64) (time.Time, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at, _ := slices.BinarySearchFunc(p.applied, version, func(applied Applied, version uint64) int {
		if applied.Version < version {
			return -1
		}
		return 1
	})
	if at == len(p.applied) {
		return time.Time{}, false
	}
	return p.applied[at].At, true
}

// Endpoints returns how many endpoints the proxy knows.
func (p *Proxy) Endpoints() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.endpoints.Len()
}

// Status returns whom the proxy is attached to.
func (p *Proxy) Status() subscription.Status { return p.subscription.Status() }

// History returns when the newest versions came into force, oldest first.
func (p *Proxy) History() []Applied {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.applied)
}
