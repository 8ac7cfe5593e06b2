package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// ErrNoConnection is returned when the connection limit of the peer is reached.
var ErrNoConnection = errors.New("forward: connection limit of the peer reached")

// Limits bound the connections to one peer.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// WarmIdle is how many idle connections the pool opens in advance.
	WarmIdle int
	// IdleTimeout is how long a connection may stay idle before it is closed. It
	// must be shorter than the peer's idle timeout, so that the peer does not
	// close a connection that is about to be reused.
	IdleTimeout time.Duration
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// ReplyHeaderBytes bounds the size of a reply's header together with those of
	// the interim replies before it; zero selects net/http's default for the former.
	ReplyHeaderBytes int64
	// ReplyHeaderTimeout bounds the time from the first byte of a reply's header to
	// its end; zero for no bound. The time until the first byte is that of the
	// request's context.
	ReplyHeaderTimeout time.Duration
	// InterimReplies bounds the number of interim replies (1xx) before a reply; zero
	// for no bound.
	InterimReplies int
	// ReplyBodyBytes bounds the size of a reply's body; zero for no bound. A reply
	// that states a greater length fails at once, any other one when its body
	// exceeds the bound. The time of a body is that of the request's context.
	ReplyBodyBytes int64
	// ExpectContinueTimeout is how long to wait for 100 Continue before the body
	// is sent anyway; zero selects defaultExpectContinueTimeout.
	ExpectContinueTimeout time.Duration
	// AllowUnframed accepts replies that are delimited by the end of the
	// connection; a reset while reading one is an error. Otherwise such replies
	// fail with ErrUnframedReply.
	AllowUnframed bool
	// Correlation matches replies with requests; zero if the peer echoes no id.
	Correlation Correlation
	// DroppedReplyBytes bounds the body of a reply to another request that is
	// dropped to await the own one, DroppedReplyTimeout the time to read it; zero
	// for no bound.
	DroppedReplyBytes   int64
	DroppedReplyTimeout time.Duration
	// OnInvalid is called when bytes of the peer were rejected, with the request that
	// they ended or followed, nil if there is none; nil for none.
	OnInvalid func(request *http.Request, invalid *ReplyError)
}

// Dialer opens network connections.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds the connections to one peer. It is safe for concurrent use.
type Pool struct {
	address   string
	transport *http.Transport
	// replies holds the limits as passed to NewPool; those of replies never change.
	// unframed, correlation and onInvalid are fields of it.
	replies     Limits
	unframed    bool
	correlation Correlation
	onInvalid   func(request *http.Request, invalid *ReplyError)
	limits      Limits

	mutex   sync.Mutex // guards all below
	idle    []*connection
	open    int
	warming bool
	closed  bool
	// generation counts the calls of Renew.
	generation uint64
	// used reports whether an exchange has started since the last Sweep.
	used bool
	// maxIdle bounds the idle time of connections in addition to
	// Limits.IdleTimeout.
	maxIdle idleBound
}

// connection is one HTTP/1.1 connection. It belongs either to the pool's idle
// list or to exactly one exchange.
type connection struct {
	client    *http.ClientConn
	tracked   *trackedConn
	idleSince time.Time
	reused    bool
	// idleFor is how long it was idle before the current exchange.
	idleFor time.Duration
	// latest is the latest request, previous the one before.
	latest, previous sentRequest
	// idleTimeout is derived from the peer's Keep-Alive header; zero if there
	// was none.
	idleTimeout time.Duration
	// generation is the pool's generation when the dial started.
	generation uint64
}

// NewPool returns an empty pool. If dial is nil, it opens TCP connections.
func NewPool(address string, limits Limits, dial Dialer) *Pool {
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: 15 * time.Second}).DialContext
	}
	pool := &Pool{
		address: address, limits: limits, replies: limits,
		unframed: limits.AllowUnframed, correlation: limits.Correlation, onInvalid: limits.OnInvalid,
	}
	pool.transport = &http.Transport{
		DialContext:            trackDials(dial, limits.header(), pool.reportInvalid),
		DisableCompression:     true,
		MaxResponseHeaderBytes: limits.ReplyHeaderBytes,
		ReadBufferSize:         connectionBufferBytes,
		WriteBufferSize:        connectionBufferBytes,
		ExpectContinueTimeout:  limits.expectContinueTimeout(),
	}
	return pool
}

// connectionBufferBytes is the size of the read and of the write buffer of a
// connection. Most messages fit, and the buffers must stay small because a
// proxy holds thousands of connections.
const connectionBufferBytes = 2 << 10

// defaultExpectContinueTimeout applies when Limits.ExpectContinueTimeout is zero.
const defaultExpectContinueTimeout = time.Second

func (l Limits) expectContinueTimeout() time.Duration {
	if l.ExpectContinueTimeout == 0 {
		return defaultExpectContinueTimeout
	}
	return l.ExpectContinueTimeout
}

// header returns the limits of reply headers.
func (l Limits) header() headerLimits {
	return headerLimits{bytes: l.ReplyHeaderBytes, timeout: l.ReplyHeaderTimeout, interim: l.InterimReplies}
}

// dialedConnKey is the context key of the pointer in which trackDials stores the
// new connection.
type dialedConnKey struct{}

func trackDials(dial Dialer, limits headerLimits, onUnsolicited func(*http.Request, *ReplyError)) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tracked := newTrackedConn(opened, limits, onUnsolicited)
		if dest, ok := ctx.Value(dialedConnKey{}).(**trackedConn); ok {
			*dest = tracked
		}
		return tracked, nil
	}
}

// Address returns the peer's address.
func (p *Pool) Address() string { return p.address }

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// SetLimits replaces the limits of connections; NewPool fixes those of replies,
// ExpectContinueTimeout, AllowUnframed, Correlation and OnInvalid.
// Connections above a lowered limit are closed when their exchange ends.
func (p *Pool) SetLimits(limits Limits) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.limits = limits
}

// get returns an idle connection or opens one. A connection that was idle for
// longer than maxIdle is used only if the limit allows no new one. One whose
// latest request had the same id is closed: another reply to that request could
// not be distinguished from the reply to this one.
func (p *Pool) get(ctx context.Context, maxIdle time.Duration, requestID string) (*connection, error) {
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
		repeated := requestID != "" && idle.latest.id == requestID
		if idle.client.Available() > 0 && !p.expired(idle, now) && !repeated {
			idle.idleFor = now.Sub(idle.idleSince)
			return idle, nil
		}
		p.discard(idle)
	}
}

// expired reports whether the connection was idle for so long that the peer may
// have closed it.
func (p *Pool) expired(idle *connection, now time.Time) bool {
	p.mutex.Lock()
	limits, maxIdle := p.limits, p.maxIdle.allowed(now)
	p.mutex.Unlock()
	return now.Sub(idle.idleSince) >= min(idle.idleLimit(limits), maxIdle)
}

// idleLimit returns the lower of the pool's idle timeout and that announced by
// the peer.
func (c *connection) idleLimit(limits Limits) time.Duration {
	if c.idleTimeout > 0 {
		return min(c.idleTimeout, limits.IdleTimeout)
	}
	return limits.IdleTimeout
}

// takeIdle pops the most recently used idle connection, unless it was idle for
// longer than maxIdle and a new one may be opened. mayOpen reports that a slot
// for a new connection is reserved: for the caller if taken is nil, otherwise
// for a spare.
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

// reserve reserves a slot for a new connection. The caller must hold the lock.
func (p *Pool) reserve() bool {
	if p.closed || p.open >= p.limits.Connections {
		return false
	}
	p.open++
	return true
}

// reserveSpare reserves a slot for a spare connection if there are fewer idle
// connections than Limits.WarmIdle. The caller must hold the lock.
func (p *Pool) reserveSpare() bool {
	if p.warming || len(p.idle) >= p.limits.WarmIdle || !p.reserve() {
		return false
	}
	p.warming = true
	return true
}

// dial opens a connection in a slot that the caller has reserved, and releases
// the slot on failure.
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

// put returns a connection to the pool after a complete exchange. It closes the
// connection instead if the pool is closed or over its limit, or if Renew was called
// since the connection was opened.
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

// discard closes a connection that is not in the idle list and releases its slot.
func (p *Pool) discard(unwanted *connection) {
	_ = unwanted.client.Close()
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// openSpare opens a connection in the slot reserved by reserveSpare.
func (p *Pool) openSpare() {
	spare, err := p.dial(context.Background())
	p.mutex.Lock()
	p.warming = false
	p.mutex.Unlock()
	if err == nil {
		p.put(spare, time.Now())
	}
}

// Warm opens a spare connection in the background if there are fewer idle
// connections than Limits.WarmIdle.
func (p *Pool) Warm() {
	p.mutex.Lock()
	wanted := p.reserveSpare()
	p.mutex.Unlock()
	if wanted {
		go p.openSpare()
	}
}

// Sweep closes connections that exceeded their idle timeout or were closed by
// the peer. It calls Warm if an exchange has started since the last Sweep; the
// connections of an unused pool expire.
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

// Close closes idle connections; those in use are closed when their exchange
// ends. No connections are opened afterwards.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.CloseIdle()
}

// Renew closes idle connections, and those in use once their exchange has
// ended. It is called after the credentials were reloaded, since older
// connections were verified with the previous ones.
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

// CloseIdle closes idle connections; the pool remains usable.
func (p *Pool) CloseIdle() {
	p.mutex.Lock()
	idle := p.idle
	p.idle = nil
	p.mutex.Unlock()
	for _, connection := range idle {
		p.discard(connection)
	}
}
