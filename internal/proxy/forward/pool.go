package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// ErrNoConnection says that the peer's connection limit is reached.
var ErrNoConnection = errors.New("forward: all connections to the peer are in use")

// Limits bound the connections to one peer.
type Limits struct {
	// Connections is the most connections open at once.
	Connections int
	// WarmIdle is how many idle connections are opened ahead of need.
	WarmIdle int
	// IdleTimeout closes connections unused for so long. It must be shorter
	// than the peer's own, so that the peer is not the one to close.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of one connection.
	DialTimeout time.Duration
	// ReplyHeaderBytes bounds the headers of a reply.
	ReplyHeaderBytes int64
	// ExpectContinueTimeout is how long a peer may take to answer an Expect header
	// before the body is sent without its consent; zero takes the default.
	ExpectContinueTimeout time.Duration
	// AllowUnframed takes replies that end with their connection; one that is
	// reset is broken off. Without it such replies are errors.
	AllowUnframed bool
}

// Dialer opens network connections.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds the connections to one peer. It is safe for concurrent use.
type Pool struct {
	address   string
	transport *http.Transport
	// unframed is Limits.AllowUnframed, which never changes.
	unframed bool
	limits   Limits

	mutex   sync.Mutex // guards all below
	idle    []*connection
	open    int
	warming bool
	closed  bool
	// generation counts the calls of Renew.
	generation uint64
	// used says whether an exchange began since the last Sweep.
	used bool
	// maxIdle bounds the maxIdle of connections, beside Limits.IdleTimeout.
	maxIdle idleBound
}

// connection is one HTTP/1.1 connection. It belongs either to the pool's idle
// list or to exactly one exchange.
type connection struct {
	client    *http.ClientConn
	tracked   *trackedConn
	idleSince time.Time
	reused    bool
	// idleFor is how long it was idle before the exchange that it is used by.
	idleFor time.Duration
	// idleTimeout is what the peer said of this connection; zero when it said
	// nothing.
	idleTimeout time.Duration
	// generation is the pool's when the connection was asked for.
	generation uint64
}

// NewPool returns an empty pool. A nil dialer opens TCP connections.
func NewPool(address string, limits Limits, dial Dialer) *Pool {
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: 15 * time.Second}).DialContext
	}
	pool := &Pool{address: address, limits: limits, unframed: limits.AllowUnframed}
	pool.transport = &http.Transport{
		DialContext:            trackDials(dial),
		DisableCompression:     true,
		MaxResponseHeaderBytes: limits.ReplyHeaderBytes,
		ReadBufferSize:         connectionBufferBytes,
		WriteBufferSize:        connectionBufferBytes,
		ExpectContinueTimeout:  limits.expectContinueTimeout(),
	}
	return pool
}

// connectionBufferBytes is the size of each of a connection's two buffers.
// Most messages fit; a proxy holds thousands of connections.
const connectionBufferBytes = 2 << 10

// defaultExpectContinueTimeout is how long a peer may take to answer an Expect header
// before the body is sent without its consent.
const defaultExpectContinueTimeout = time.Second

func (l Limits) expectContinueTimeout() time.Duration {
	if l.ExpectContinueTimeout == 0 {
		return defaultExpectContinueTimeout
	}
	return l.ExpectContinueTimeout
}

// dialedConnKey is the context key under which a dial leaves its connection.
type dialedConnKey struct{}

func trackDials(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{Conn: opened}
		if dest, ok := ctx.Value(dialedConnKey{}).(**trackedConn); ok {
			*dest = tracked
		}
		return tracked, nil
	}
}

// Address returns the peer's address.
func (p *Pool) Address() string { return p.address }

// Open returns how many connections are open.
func (p *Pool) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// SetLimits changes the bounds for connections opened from now on.
func (p *Pool) SetLimits(limits Limits) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.limits = limits
}

// get returns an idle connection or opens one. An idle one that has rested longer
// than the given time is used only when none may be opened.
func (p *Pool) get(ctx context.Context, maxIdle time.Duration) (*connection, error) {
	for {
		idle, mayOpen := p.takeIdle(maxIdle)
		if idle == nil && !mayOpen {
			return nil, ErrNoConnection
		}
		if idle == nil {
			return p.dial(ctx)
		}
		if mayOpen {
			go p.openSpare()
		}
		now := time.Now()
		if idle.client.Available() > 0 && !p.expired(idle, now) {
			idle.idleFor = now.Sub(idle.idleSince)
			return idle, nil
		}
		p.discard(idle)
	}
}

// expired reports whether the connection was idle for so long that the peer may
// be closing it.
func (p *Pool) expired(idle *connection, now time.Time) bool {
	p.mutex.Lock()
	limits, maxIdle := p.limits, p.maxIdle.allowed(now)
	p.mutex.Unlock()
	return now.Sub(idle.idleSince) >= min(idle.idleLimit(limits), maxIdle)
}

// idleLimit is the pool's idle time-out, or less if the peer said so.
func (c *connection) idleLimit(limits Limits) time.Duration {
	if c.idleTimeout > 0 {
		return min(c.idleTimeout, limits.IdleTimeout)
	}
	return limits.IdleTimeout
}

// takeIdle pops the connection used last, unless it has rested too long and one
// may be opened. mayOpen says that a place for a new
// connection is reserved: for the caller when it got none, else for a spare.
func (p *Pool) takeIdle(maxIdle time.Duration) (taken *connection, mayOpen bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.used = true
	last := len(p.idle) - 1
	if last >= 0 && time.Since(p.idle[last].idleSince) > maxIdle && p.reserve() {
		return nil, true
	}
	if last >= 0 {
		taken = p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		return taken, p.reserveSpare()
	}
	return nil, p.reserve()
}

// reserve takes a place for a new connection; the caller holds the lock.
func (p *Pool) reserve() bool {
	if p.closed || p.open >= p.limits.Connections {
		return false
	}
	p.open++
	return true
}

// reserveSpare takes a place for a connection ahead of need when the idle list
// has run short; the caller holds the lock.
func (p *Pool) reserveSpare() bool {
	if p.warming || len(p.idle) >= p.limits.WarmIdle || !p.reserve() {
		return false
	}
	p.warming = true
	return true
}

// dial opens a connection in a place that was reserved before.
func (p *Pool) dial(ctx context.Context) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout())
	defer cancel()
	var tracked *trackedConn
	generation := p.currentGeneration()
	client, err := p.transport.NewClientConn(context.WithValue(ctx, dialedConnKey{}, &tracked), "http", p.address)
	if err != nil {
		p.mutex.Lock()
		p.open--
		p.mutex.Unlock()
		return nil, err
	}
	return &connection{client: client, tracked: tracked, generation: generation}, nil
}

func (p *Pool) dialTimeout() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.limits.DialTimeout
}

// put takes back a connection whose exchange is whole.
func (p *Pool) put(returned *connection, now time.Time) {
	returned.tracked.finish()
	returned.idleSince = now
	returned.reused = true
	p.mutex.Lock()
	keep := !p.closed && p.open <= p.limits.Connections && returned.generation == p.generation
	if keep {
		p.idle = append(p.idle, returned)
	}
	p.mutex.Unlock()
	if !keep {
		p.discard(returned)
	}
}

// discard closes a connection that is in no list.
func (p *Pool) discard(unwanted *connection) {
	_ = unwanted.client.Close()
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// openSpare opens a connection in a place that reserveSpare took.
func (p *Pool) openSpare() {
	spare, err := p.dial(context.Background())
	p.mutex.Lock()
	p.warming = false
	p.mutex.Unlock()
	if err == nil {
		p.put(spare, time.Now())
	}
}

// Warm opens a spare connection in the background when the idle list has run
// short.
func (p *Pool) Warm() {
	p.mutex.Lock()
	wanted := p.reserveSpare()
	p.mutex.Unlock()
	if wanted {
		go p.openSpare()
	}
}

// Sweep closes connections idle for too long and those the peer has closed. A
// pool in use is kept warm; one that is not loses its connections in time.
func (p *Pool) Sweep(now time.Time) {
	stale, inUse := p.takeStale(now)
	for _, connection := range stale {
		p.discard(connection)
	}
	if inUse {
		p.Warm()
	}
}

func (p *Pool) takeStale(now time.Time) (stale []*connection, inUse bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	inUse, p.used = p.used, false
	kept := p.idle[:0]
	for _, candidate := range p.idle {
		expired := now.Sub(candidate.idleSince) >= candidate.idleLimit(p.limits)
		if expired || candidate.client.Available() == 0 {
			stale = append(stale, candidate)
		} else {
			kept = append(kept, candidate)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return stale, inUse
}

// Close closes idle connections and lets those in use end with their
// exchange. No connection is opened any more.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.CloseIdle()
}

// Renew closes idle connections, and those in use once their exchange has
// ended. It is for when a connection opened before proves less than a new one.
func (p *Pool) Renew() {
	p.mutex.Lock()
	p.generation++
	p.mutex.Unlock()
	p.CloseIdle()
}

func (p *Pool) currentGeneration() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.generation
}

// CloseIdle closes idle connections; the pool stays in use.
func (p *Pool) CloseIdle() {
	p.mutex.Lock()
	idle := p.idle
	p.idle = nil
	p.mutex.Unlock()
	for _, connection := range idle {
		p.discard(connection)
	}
}
