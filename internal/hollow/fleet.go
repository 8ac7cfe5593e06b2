package hollow

import (
	"context"
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
)

// Member is a hollow proxy that can be killed and started again. Its traffic
// is counted over all starts.
type Member struct {
	options Options
	traffic stream.Traffic

	// mutex guards the fields below: one start.
	mutex  sync.Mutex
	proxy  *Proxy
	cancel context.CancelFunc
	ended  chan struct{}
}

// Options returns what the member was made for.
func (m *Member) Options() Options { return m.options }

// Traffic returns the control traffic of all starts.
func (m *Member) Traffic() *stream.Traffic { return &m.traffic }

// Proxy returns the running start; nil while there is none.
func (m *Member) Proxy() *Proxy {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.proxy
}

// Start starts the proxy; a running start goes on.
func (m *Member) Start(ctx context.Context) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.proxy != nil {
		return
	}
	running, cancel := context.WithCancel(ctx)
	started, ended := New(m.options, &m.traffic), make(chan struct{})
	m.proxy, m.cancel, m.ended = started, cancel, ended
	go func() {
		defer close(ended)
		// The subscription ends only with its context.
		_ = started.Run(running)
	}()
}

// Kill ends the running start at once and returns once it has ended.
func (m *Member) Kill() {
	m.mutex.Lock()
	cancel, ended := m.cancel, m.ended
	m.proxy = nil
	m.mutex.Unlock()
	if cancel != nil {
		cancel()
		<-ended
	}
}

// Fleet is a set of hollow proxies that share a process.
type Fleet struct {
	members []*Member
}

// NewFleet prepares proxies; none runs yet.
func NewFleet(options []Options) *Fleet {
	fleet := &Fleet{members: make([]*Member, len(options))}
	for i, each := range options {
		fleet.members[i] = &Member{options: each}
	}
	return fleet
}

// Members returns every proxy in the order of their options.
func (f *Fleet) Members() []*Member { return f.members }

// Where returns the proxies that match.
func (f *Fleet) Where(match func(Options) bool) []*Member {
	var chosen []*Member
	for _, member := range f.members {
		if match(member.options) {
			chosen = append(chosen, member)
		}
	}
	return chosen
}

// OfZone returns the proxies of a zone.
func (f *Fleet) OfZone(zone string) []*Member {
	return f.Where(func(options Options) bool { return options.Node.Zone == zone })
}

// Kill ends every proxy.
func (f *Fleet) Kill() {
	var killing sync.WaitGroup
	for _, member := range f.members {
		killing.Go(member.Kill)
	}
	killing.Wait()
}
