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
	"sync/atomic"
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
)

// Options configure an exchanger.
type Options struct {
	Roster        *roster.Roster
	Configuration *configuration.Keeper
	// Bound is the time in which an accepted version has to be in force on each node
	// (DefaultBound when zero).
	Bound time.Duration
	// Interval is the time between two exchanges that this node begins.
	Interval time.Duration
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	// Refresh reads the configuration from the store now.
	Refresh func(ctx context.Context) error
	// IsReader reports whether the node reads the store itself.
	IsReader func() bool
	// Store knows how often the store has come back from a copy; nil when it never does.
	Store EraTracker
	// Rollouts knows the moves to other versions; nil when there are none ever.
	Rollouts Rollouts
	// Evacuations knows the zones that are to be emptied; nil when there are none ever.
	Evacuations Evacuations
	// Contention knows whether back ends share their machines; nil when nobody asks.
	Contention Contention
	// Quota answers questions about tenants' limits; nil when there are none ever.
	Quota Granter
	// Repeats answers questions about repeats; nil when none are lent ever.
	Repeats Granter
	// Observer is told how the node keeps level; nil for nobody.
	Observer Observer
	// OnUnreachable is told of nodes that do not answer.
	OnUnreachable func(*roster.Record)
	Logger  *zap.Logger
}

// EraTracker know how often the store has come back from an older copy.
type EraTracker interface {
	Era() uint64
	LearnEra(era uint64)
}

// Rollouts are the moves to other versions that a node knows of.
type Rollouts interface {
	// Tell returns them; nil when there are none.
	Tell() []rollout.Told
	// Hear takes in a peer's and reports whether some of it is news.
	Hear([]rollout.Told) (news bool)
}

// Evacuations are the orders to empty zones that a node knows of.
type Evacuations interface {
	// Tell returns them; nil when there are none.
	Tell() []evacuation.Order
	// Hear takes in a peer's and reports whether some of it is news.
	Hear([]evacuation.Order) (news bool)
}

// Contention knows whether some back end shares its machine with others.
type Contention interface {
	Shared() bool
	// SetShared takes in that one does.
	SetShared() (news bool)
}

// Granter is a node as the granter of others.
type Granter interface {
	Serve(*lending.GrantRequest) *lending.GrantResponse
}

const (
	// DefaultInterval is the time between two exchanges that a node begins.
	DefaultInterval = 800 * time.Millisecond

	exchangeTimeout = 700 * time.Millisecond
	idlePerPeer     = 1
	peerIdleTimeout = 20 * time.Second
	// pingTimeout bounds the answer to a ping, pings is how many are sent.
	pingTimeout = 240 * time.Millisecond
	pings       = 2
	// farShare is the part of the exchanges that leave the zone at most; with more
	// than a few nodes in the zone it falls, so that all of them together begin
	// about farNodes in an interval: bytes between zones are paid for.
	farShare = 0.25
	farNodes = 4
	// readerShare is the part of the exchanges of a node that does not read the
	// store that go to the reader which tells it.
	readerShare = 0.4
)

// Exchanger keeps a node level with its peers. It is safe for concurrent use.
type Exchanger struct {
	options Options
	limits  limits
	client  *http.Client
	lost    lostPeers
	// met: another node was in touch with this one.
	met atomic.Bool
	// behind has the node catch up with newer configurations, level asks whether there is one.
	behind   *catchUp
	level    *levelCheck
	observer Observer
}

// New returns an exchanger that Run starts.
func New(options Options) *Exchanger {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	if options.Bound == 0 {
		options.Bound = DefaultBound
	}
	created := &Exchanger{options: options, limits: limitsOf(options.Bound), client: newClient(options.Dial)}
	if created.observer = options.Observer; created.observer == nil {
		created.observer = unobserved{}
	}
	created.behind = newCatchUp(created)
	created.level = newLevelCheck(created)
	options.Configuration.Observe(func(*route.Table, configuration.Source) { created.behind.signal() })
	return created
}

// newClient returns the client of other nodes.
func newClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     peerIdleTimeout,
	}}
}

// Run begins an exchange with one peer after the other, and asks whether the node is level,
// until the context ends.
func (e *Exchanger) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { e.level.run(ctx) })
	defer running.Wait()
	for ctx.Err() == nil {
		half := e.options.Interval / 2
		timer := time.NewTimer(half + rand.N(e.options.Interval))
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

// pick returns a random peer: often a lost one, mostly one of the zone.
func (e *Exchanger) pick() *roster.Record {
	if lost := e.lost.pick(e.options.Roster.View(), clock.Now()); lost != nil {
		return lost
	}
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	if rand.Float64() < readerShare {
		if teller := readers.AssignedReader(view, own, e.Reachable); teller != nil {
			return teller
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
	if len(near) == 0 || (len(far) > 0 && rand.Float64() < min(farShare, farNodes/float64(len(near)+1))) {
		from = far
	}
	if len(from) == 0 {
		return nil
	}
	return from[rand.N(len(from))]
}

// peersOf returns those of the records that can be exchanged with.
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

// ExchangeWith exchanges with one peer: digests first, and where they differ the records
// of the parts that do. What the peer says cannot end this node.
func (e *Exchanger) ExchangeWith(ctx context.Context, peer *roster.Record) (err error) {
	fault := contain.Run("exchange", e.options.Logger, func() { err = e.with(ctx, peer) })
	return errors.Join(err, fault)
}

func (e *Exchanger) with(ctx context.Context, peer *roster.Record) error {
	asked := clock.Now()
	answer, err := e.post(ctx, peer, e.message())
	if err != nil {
		if ctx.Err() == nil {
			e.MarkLost(peer.Node)
			e.options.OnUnreachable(peer)
		}
		return err
	}
	e.lost.remove(peer.Node)
	e.take(answer)
	e.level.prove(answer.Version, answer.ProofAge, asked)
	compared := e.comparison(answer.Buckets)
	if compared == nil {
		return nil
	}
	answer, err = e.post(ctx, peer, compared)
	if err == nil {
		e.take(answer)
	}
	return err
}

// comparison asks for the records of the parts that differ from a peer's, and
// brings this node's own; nil when none does.
func (e *Exchanger) comparison(theirs []uint32) *Message {
	if len(theirs) == 0 || len(theirs) > mostBuckets {
		return nil
	}
	view := e.options.Roster.View()
	asked := e.message()
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

// HadContact reports whether another node was in touch with this one since it started.
func (e *Exchanger) HadContact() bool { return e.met.Load() }

// Reachable reports whether a node has not failed to answer of late.
func (e *Exchanger) Reachable(record *roster.Record) bool { return !e.lost.holds(record.Node) }

// MarkLost notes that a node did not answer: it is looked for until it does.
func (e *Exchanger) MarkLost(node string) { e.lost.add(node, clock.Now()) }

// message is what every message of this node says.
func (e *Exchanger) message() *Message {
	return &Message{
		From:     e.options.Roster.Own(),
		Digest:   e.options.Roster.View().Digest(),
		Version:  e.options.Configuration.Version(),
		ProofAge: e.level.proofAge(),
		SharedState:     e.told(),
	}
}

// told is what this node knows of operators' orders.
func (e *Exchanger) told() (told SharedState) {
	if e.options.Store != nil {
		told.Era = e.options.Store.Era()
	}
	if e.options.Rollouts != nil {
		told.Rollouts = e.options.Rollouts.Tell()
	}
	if e.options.Evacuations != nil {
		told.Evacuations = e.options.Evacuations.Tell()
	}
	if e.options.Contention != nil {
		told.SharedMachines = e.options.Contention.Shared()
	}
	return told
}

// hearEra takes in a peer's era of the store. What a peer of an earlier one takes for recorded
// there may be gone.
func (e *Exchanger) hearEra(told *SharedState) {
	if e.options.Store == nil {
		return
	}
	e.options.Store.LearnEra(told.Era)
	if told.Era < e.options.Store.Era() {
		for i := range told.Rollouts {
			told.Rollouts[i].Recorded = false
		}
	}
}

// hearTold takes in a peer's orders before its records: who knows of a new version knows why
// it is there. News is passed on in the zone.
func (e *Exchanger) hearTold(told *SharedState) {
	e.hearEra(told)
	moved := e.options.Rollouts != nil && len(told.Rollouts) > 0 && e.options.Rollouts.Hear(told.Rollouts)
	emptied := e.options.Evacuations != nil && len(told.Evacuations) > 0 && e.options.Evacuations.Hear(told.Evacuations)
	if told.SharedMachines && e.options.Contention != nil {
		e.options.Contention.SetShared()
	}
	if moved || emptied {
		go e.tellZone()
	}
}

// take merges a peer's message and fetches its configuration when it is newer.
func (e *Exchanger) take(received *Message) {
	e.met.Store(true)
	e.lost.remove(received.From.Node) // it is there, whoever began
	e.hearTold(&received.SharedState)
	e.options.Roster.Merge(append([]*roster.Record{received.From}, received.Records...))
	e.HandlePeerVersion(received.From, received.Version)
}

// post sends a message and reads the answer.
func (e *Exchanger) post(ctx context.Context, peer *roster.Record, message *Message) (*Message, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := e.send(ctx, peer, pathExchange, message)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	received := &Message{}
	plain, err := encoded.NewReader(resp.Header, resp.Body)
	if err == nil {
		err = json.NewDecoder(io.LimitReader(plain, messageBytes)).Decode(received)
	}
	if err != nil {
		return nil, trace.Wrap(err, "exchange with %s", peer.Node)
	}
	if received.From == nil {
		return nil, trace.Errorf("exchange with %s: from is missing", peer.Node)
	}
	return received, nil
}

// send posts a value to a peer. The body of the response, which has a status of
// success, is to be closed.
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
	req.Header.Set(headerAccept, encoded.ContentCoding)
	body.SetContentEncoding(req.Header)
	resp, err := e.do(req)
	return resp, trace.Wrap(err, "exchange with %s", peer.Node)
}

// statusError is the status of a peer's answer other than success.
type statusError int

// Error implements error.
func (s statusError) Error() string { return fmt.Sprintf("status %d", int(s)) }

// do sends a request. The body of the response, which has a status of success, is to be closed.
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
