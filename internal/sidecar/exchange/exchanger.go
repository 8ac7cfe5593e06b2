package exchange

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/encoded"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/evacuation"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
	"github.com/kestrelstream/kestrelstream/internal/strictreply"
)

// Options configure an exchanger.
type Options struct {
	Roster        *roster.Roster
	Configuration *configuration.Keeper
	// Bound is the time within which an accepted version has to be in force on each node
	// (DefaultBound when zero).
	Bound time.Duration
	// Interval is the mean time between two exchanges that this node starts (DefaultInterval when zero).
	Interval time.Duration
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	// Refresh reads the configuration from the store.
	Refresh func(ctx context.Context) error
	// IsReader reports whether the node reads the store itself.
	IsReader func() bool
	// Store tracks how often the store was restored from a copy; nil when it never is.
	Store EraTracker
	// Rollouts holds the roll-outs of back-end versions; nil when there are none.
	Rollouts Rollouts
	// Evacuations holds the zones to be evacuated; nil when there are none.
	Evacuations Evacuations
	// Contention records whether back ends share their machines; nil when that is not used.
	Contention Contention
	// Quota answers requests for shares of tenants' limits; nil when there are none.
	Quota Granter
	// Repeats answers requests for shares of the budget of repeats; nil when none are lent.
	Repeats Granter
	// Observer observes how the node stays up to date; it may be nil.
	Observer Observer
	// MarkUnresponsive is called with nodes that do not respond.
	MarkUnresponsive func(*roster.Record)
	// Seed determines the node's random draws; zero draws it at random.
	Seed   uint64
	Logger *zap.Logger
}

// EraTracker tracks how often the store was restored from an older copy.
type EraTracker interface {
	Era() uint64
	LearnEra(era uint64)
}

// Rollouts holds the roll-outs of back-end versions that a node knows of.
type Rollouts interface {
	// Export returns the known roll-outs; nil when there are none.
	Export() []rollout.SharedState
	// Import merges a peer's roll-outs and reports whether some of them were new.
	Import([]rollout.SharedState) (news bool)
}

// Evacuations holds the orders to evacuate zones that a node knows of.
type Evacuations interface {
	// Export returns the known orders; nil when there are none.
	Export() []evacuation.Order
	// Import merges a peer's orders and reports whether some of them were new.
	Import([]evacuation.Order) (news bool)
}

// Contention records whether some back end shares its machine with others.
type Contention interface {
	Shared() bool
	// SetShared records that one does, and reports whether that was new.
	SetShared() (news bool)
}

// Granter answers other nodes' requests for shares of a budget.
type Granter interface {
	Serve(*lending.GrantRequest) *lending.GrantResponse
}

const (
	// DefaultInterval is the default of Options.Interval.
	DefaultInterval = 800 * time.Millisecond

	exchangeTimeout = 700 * time.Millisecond
	maxIdlePerPeer  = 1
	peerIdleTimeout = 20 * time.Second
	// maxHeaderBytes bounds the header of a reply.
	maxHeaderBytes = 64 << 10
	// pingTimeout bounds the reply to a ping, pingAttempts is the number of pings sent.
	pingTimeout  = 240 * time.Millisecond
	pingAttempts = 2
	// crossZoneShare is the largest share of exchanges with other zones. In zones with more
	// than a few nodes the share falls, so that all nodes of a zone together start about
	// crossZoneExchanges of them per interval: traffic between zones is billed by the byte.
	crossZoneShare     = 0.25
	crossZoneExchanges = 4
	// readerShare is the share of the exchanges of a node that is not a reader which go
	// to its assigned reader.
	readerShare = 0.4
)

// Exchanger keeps a node in sync with its peers. It is safe for concurrent use.
type Exchanger struct {
	options Options
	limits  limits
	client  *http.Client
	lost    lostPeers
	random  *rand.Rand
	// firstContact is the time at which this node was first in contact with another one.
	firstContact atomicTime
	// updater fetches newer configurations; proof keeps the proof of being up to date fresh.
	updater  *catchUp
	proof    *proofChecker
	observer Observer
}

// New returns an exchanger, which Run starts.
func New(options Options) *Exchanger {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	if options.Bound == 0 {
		options.Bound = DefaultBound
	}
	created := &Exchanger{options: options, limits: newLimits(options.Bound), client: newClient(options.Dial)}
	created.random = newRandom(options.Seed, exchangeStream)
	if created.observer = options.Observer; created.observer == nil {
		created.observer = noopObserver{}
	}
	created.updater = newCatchUp(created)
	created.proof = newProofChecker(created)
	options.Configuration.Observe(func(*route.Table, configuration.Source) { created.updater.signal() })
	return created
}

// newClient returns the HTTP client for requests to other nodes.
func newClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: strictreply.NewTransport(&http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerPeer,
		IdleConnTimeout:        peerIdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})}
}

// Run starts exchanges with one peer after another, and keeps the proof that the node is up to date
// fresh, until the context ends.
func (e *Exchanger) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { e.proof.run(ctx) })
	defer running.Wait()
	for ctx.Err() == nil {
		half := e.options.Interval / 2
		timer := clock.NewTimer(half + time.Duration(e.random.Int64N(int64(e.options.Interval))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if peer := e.pick(); peer != nil {
			_ = e.ExchangeWith(ctx, peer)
		}
	}
}

// pick returns a random peer: often a lost one or the assigned reader, otherwise mostly one of the
// own zone. It returns nil when there is none.
func (e *Exchanger) pick() *roster.Record {
	if lost := e.lost.pick(e.options.Roster.View(), clock.Now(), e.random); lost != nil {
		return lost
	}
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	if e.random.Float64() < readerShare {
		if reader := readers.AssignedReader(view, own, e.Reachable); reader != nil {
			return reader
		}
	}
	var near, far []*roster.Record
	for _, zone := range view.Zones() {
		if zone == own.Zone {
			near = e.peersOf(view.Zone(zone))
		} else {
			far = append(far, e.peersOf(view.Zone(zone))...)
		}
	}
	from := near
	if len(near) == 0 || (len(far) > 0 && e.random.Float64() < min(crossZoneShare, crossZoneExchanges/float64(len(near)+1))) {
		from = far
	}
	if len(from) == 0 {
		return nil
	}
	return from[e.random.IntN(len(from))]
}

// peersOf returns the records of other nodes that have a peer address.
func (e *Exchanger) peersOf(records []*roster.Record) []*roster.Record {
	self := e.options.Roster.Own().Node
	peers := make([]*roster.Record, 0, len(records))
	for _, record := range records {
		if record.Node != self && record.PeerAddress != "" {
			peers = append(peers, record)
		}
	}
	return peers
}

// ExchangeWith exchanges state with one peer: digests first, and the records of the
// buckets whose digests differ. A panic caused by the peer's messages is contained.
func (e *Exchanger) ExchangeWith(ctx context.Context, peer *roster.Record) (err error) {
	fault := contain.Run("exchange", e.options.Logger, func() { err = e.exchangeWith(ctx, peer) })
	return errors.Join(err, fault)
}

func (e *Exchanger) exchangeWith(ctx context.Context, peer *roster.Record) error {
	asked := clock.Now()
	answer, err := e.post(ctx, peer, e.newMessage())
	if err != nil {
		if ctx.Err() == nil {
			e.MarkLost(peer.Node)
			e.options.MarkUnresponsive(peer)
		}
		return err
	}
	e.lost.remove(peer.Node)
	e.handleMessage(answer)
	e.proof.recordProof(answer.Version, answer.ProofAge, asked)
	compared := e.compareBuckets(answer.Buckets)
	if compared == nil {
		return nil
	}
	answer, err = e.post(ctx, peer, compared)
	if err == nil {
		e.handleMessage(answer)
	}
	return err
}

// compareBuckets returns a message that requests the records of the buckets that differ from
// a peer's and carries this node's own; nil when none differs.
func (e *Exchanger) compareBuckets(theirs []uint32) *Message {
	if len(theirs) == 0 || len(theirs) > maxBuckets {
		return nil
	}
	view := e.options.Roster.View()
	asked := e.newMessage()
	asked.BucketCount = len(theirs)
	for index, digest := range view.Buckets(len(theirs)) {
		if digest != theirs[index] {
			asked.DifferingBuckets = append(asked.DifferingBuckets, index)
		}
	}
	if len(asked.DifferingBuckets) == 0 {
		return nil
	}
	asked.Records = view.InBuckets(asked.DifferingBuckets, asked.BucketCount)
	return asked
}

// HadContact reports whether this node was in contact with another one since it started.
func (e *Exchanger) HadContact() bool {
	_, had := e.firstContact.get()
	return had
}

// FirstContact returns the time at which this node was first in contact with another one, and false
// before.
func (e *Exchanger) FirstContact() (time.Time, bool) { return e.firstContact.get() }

// Reachable reports whether a node is not recorded as lost.
func (e *Exchanger) Reachable(record *roster.Record) bool { return !e.lost.contains(record.Node) }

// MarkLost records that a node did not respond; it is retried more often until it does.
func (e *Exchanger) MarkLost(node string) { e.lost.add(node, clock.Now()) }

// newMessage returns a message with the fields that every message carries.
func (e *Exchanger) newMessage() *Message {
	return &Message{
		From:        e.options.Roster.Own(),
		Digest:      e.options.Roster.View().Digest(),
		Version:     e.options.Configuration.Version(),
		ProofAge:    e.proof.proofAge(),
		SharedState: e.state(),
	}
}

// state returns what this node knows of operators' orders and deployment-wide facts.
func (e *Exchanger) state() (state SharedState) {
	if e.options.Store != nil {
		state.Era = e.options.Store.Era()
	}
	if e.options.Rollouts != nil {
		state.Rollouts = e.options.Rollouts.Export()
	}
	if e.options.Evacuations != nil {
		state.Evacuations = e.options.Evacuations.Export()
	}
	if e.options.Contention != nil {
		state.SharedMachines = e.options.Contention.Shared()
	}
	return state
}

// mergeEra merges a peer's era of the store. What a peer in an earlier era considers recorded
// in the store may have been lost since.
func (e *Exchanger) mergeEra(state *SharedState) {
	if e.options.Store == nil {
		return
	}
	e.options.Store.LearnEra(state.Era)
	if state.Era < e.options.Store.Era() {
		for i := range state.Rollouts {
			state.Rollouts[i].Recorded = false
		}
	}
}

// mergeState merges a peer's shared state. It precedes the merge of the peer's records, so that a
// node that learns of a new back-end version knows the roll-out behind it. New orders are forwarded
// in the zone.
func (e *Exchanger) mergeState(state *SharedState) {
	e.mergeEra(state)
	rolloutsChanged := e.options.Rollouts != nil && len(state.Rollouts) > 0 && e.options.Rollouts.Import(state.Rollouts)
	evacuationsChanged := e.options.Evacuations != nil && len(state.Evacuations) > 0 && e.options.Evacuations.Import(state.Evacuations)
	if state.SharedMachines && e.options.Contention != nil {
		e.options.Contention.SetShared()
	}
	if rolloutsChanged || evacuationsChanged {
		go e.notifyZone()
	}
}

// handleMessage merges a peer's message and fetches its configuration when that is newer.
func (e *Exchanger) handleMessage(received *Message) {
	e.firstContact.setOnce(clock.Now())
	e.lost.remove(received.From.Node) // it is reachable, whichever side started
	e.mergeState(&received.SharedState)
	e.options.Roster.Merge(append([]*roster.Record{received.From}, received.Records...))
	e.NewerVersionReported(received.From, received.Version)
}

// post sends a message and returns the reply.
func (e *Exchanger) post(ctx context.Context, peer *roster.Record, message *Message) (*Message, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := e.send(ctx, peer, pathExchange, message)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	received := &Message{}
	plain, err := encoded.Reader(resp.Header, resp.Body)
	if err == nil {
		err = json.NewDecoder(io.LimitReader(plain, maxMessageBytes)).Decode(received)
	}
	if err != nil {
		return nil, trace.Wrap(err, "exchange with %s", peer.Node)
	}
	if received.From == nil {
		return nil, trace.Errorf("exchange with %s: from is missing", peer.Node)
	}
	return received, nil
}

// send posts a value to a peer. On success the caller closes the body of the response.
func (e *Exchanger) send(ctx context.Context, peer *roster.Record, path string, value any) (*http.Response, error) {
	body, err := encoded.JSON(value, encoded.CompressionThreshold)
	if err != nil {
		return nil, trace.Wrap(err, "exchange")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.PeerAddress+PathRoot+path, bytes.NewReader(body.Bytes))
	if err != nil {
		return nil, trace.Wrap(err, "exchange")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerAcceptEncoding, encoded.ContentCoding)
	body.SetContentEncoding(req.Header)
	resp, err := e.do(req)
	return resp, trace.Wrap(err, "exchange with %s", peer.Node)
}

// statusError is the status of a response other than success.
type statusError int

// Error implements error.
func (s statusError) Error() string { return fmt.Sprintf("status %d", int(s)) }

// do sends a request. A status of 300 or above is an error. On success the caller closes the body of the response.
func (e *Exchanger) do(req *http.Request) (*http.Response, error) {
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		_ = resp.Body.Close()
		return nil, statusError(resp.StatusCode)
	}
	return resp, nil
}
