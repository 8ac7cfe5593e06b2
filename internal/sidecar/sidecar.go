package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/pipelining"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contention"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/dial"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/egress"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/evacuation"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/exchange"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ingress"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/membership"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/nested"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quarantine"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quota"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/repeats"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout/controller"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/stall"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Store is what a sidecar needs of the store.
type Store interface {
	membership.Store
	store.Writer
	// Era is how often the store has come back from an older copy, as far as known; LearnEra
	// takes in what another node knows.
	Era() uint64
	LearnEra(era uint64)
	// OnEra has the function told of each such return. It must not block.
	OnEra(func(era uint64))
	// PaceWatches sets how long each call of a watch waits; first: it is the first one, or the one
	// before brought events.
	PaceWatches(wait func(first bool) time.Duration)
}

// Options are the parts that the assembly provides.
type Options struct {
	Settings   Settings
	Vocabulary hop.Vocabulary
	// ConfigurationKey is where the store has the configuration, OperatorPrefix begins
	// the keys of all that operators write.
	ConfigurationKey, OperatorPrefix string
	Decode                           configuration.Decoder
	// IsOrder tells the keys of orders to roll a version out, DecodeOrder reads one.
	IsOrder     func(key string) bool
	DecodeOrder func(store.KeyValue) (rollout.Order, error)
	// EvacuatedZone returns the zone that an item under the key orders to be emptied.
	EvacuatedZone func(key string) (zone string, is bool)
	Rollouts      controller.Codec
	// DecodeLoad reads what a back end tells of its load.
	DecodeLoad func(header string) (hop.BackendLoad, error)
	// DecodeNotice reads what a back end asks for with an answer.
	DecodeNotice func(header http.Header) (hop.Notice, error)
	Store        Store
	// Network has the listeners of the node and opens its connections.
	Network  dial.Network
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

const (
	// drainShare is the part of the drain bound after which a back end that is
	// leaving gets no new work any more; the rest covers what is on its way.
	drainShare = 0.5
	// peerSilence bounds connections to other nodes.
	peerUnacknowledged = 1500 * time.Millisecond
	peerIdle           = time.Second
	exchangeDial       = 400 * time.Millisecond
	storeDial          = time.Second
	storeSilence       = 3 * time.Second
	// WatchPause is how long a watch of the store rests after an event: changes
	// in quick succession come with one call.
	WatchPause = 500 * time.Millisecond
)

// Sidecar is one node. It is safe for concurrent use.
type Sidecar struct {
	options Options
	logger  *zap.Logger
	members *roster.Roster
	keeper  *configuration.Keeper
	// membership finds the other nodes in the store.
	membership *membership.Membership
	exchanger  *exchange.Exchanger
	rollouts   *controller.Controller
	quarantine *quarantine.Quarantine
	// evacuations are the orders to empty zones.
	evacuations *evacuation.Orders
	quota       *quota.Quota
	repeats     *repeats.Repeats
	// contention says whether requests compete for room, work what the back end works on.
	contention *contention.Switch
	work       *nested.ActiveRequests
	egress     *egress.Handler
	ingress    *ingress.Handler
	stopping   atomic.Bool
	// following: the node follows the configuration in the store.
	following atomic.Bool
	// started is when the node was made, joined when the store had first told of the
	// other nodes; nil before.
	started time.Time
	joined  atomic.Pointer[time.Time]
	// settings are replaced at a reload.
	settings atomic.Pointer[Settings]
	// lastBeat is when a heartbeat was last heard, as a stamp of the node's clock;
	// zero before the first.
	lastBeat atomic.Int64
	// warm is when the back end's warm-up is over, as a stamp of the node's clock; zero
	// when it has told of none.
	warm atomic.Int64
	// stalls are the times at which the node did not run, known while its answers are judged.
	stalls stall.Monitor
	// claims is used under the roster's lock.
	claims roster.IncarnationTracker
}

// StoreDialer returns the dialer for connections to the store.
func StoreDialer(network dial.Network) func(ctx context.Context, network, address string) (net.Conn, error) {
	return network.Dialer(storeDial, dial.PeerTimeouts{Unacknowledged: storeSilence, Idle: peerIdle})
}

// New returns a sidecar that serves nobody before its first configuration.
func New(options Options) *Sidecar {
	settings := &options.Settings
	created := &Sidecar{
		options: options,
		logger:  options.Logger,
		members: roster.New(roster.Record{
			Node: settings.Node, Epoch: 1, Counter: 1, Zone: settings.Zone,
			Address: settings.Listen.Inbound, PeerAddress: settings.Listen.Peer, Link: settings.LinkMbps,
			RunID: uint64(rand.Uint32()),
		}),
		started:    clock.Now(),
		keeper:     configuration.NewKeeper(options.Decode, options.Logger),
		contention: contention.NewSwitch(settings.OverloadControl),
		work:       &nested.ActiveRequests{},
		claims:     roster.IncarnationTracker{Interval: settings.HeartbeatInterval},
	}
	observed := newMetrics(options.Registry)
	options.Store = newCountedStore(options.Store, options.Registry)
	created.options.Store = options.Store
	created.settings.Store(settings)
	created.quarantine = quarantine.New(quarantine.Options{
		Members:          created.members,
		Broadcast:        func() { created.spread(context.Background()) },
		BroadcastAndWait: created.tell,
		Logger:           options.Logger, Registry: options.Registry,
	})
	created.addRollouts()
	created.addEvacuations()
	created.addQuota()
	created.addRepeats()
	created.addIngress(observed)
	created.addEgress(observed)
	created.exchanger = exchange.New(exchange.Options{
		Roster:        created.members,
		Configuration: created.keeper,
		Dial:          options.Network.Dialer(exchangeDial, dial.PeerTimeouts{Unacknowledged: peerUnacknowledged, Idle: peerIdle}),
		Refresh: func(ctx context.Context) error {
			return configuration.Refresh(ctx, options.Store, created.place(), created.keeper)
		},
		Bound:            settings.applyBound(),
		Store:            options.Store,
		Rollouts:         created.rollouts,
		Evacuations:      created.evacuations,
		Quota:            created.quota,
		Repeats:          created.repeats,
		Contention:       created.contention,
		IsReader:         created.reads,
		Observer:         observed,
		MarkUnresponsive: created.egress.MarkUnresponsive,
		Logger:           options.Logger,
	})
	created.membership = membership.New(membership.Options{
		Store: options.Store, Members: created.members,
		FirstStart: settings.FirstStart, HeartbeatInterval: settings.HeartbeatInterval,
		OnDiscovery: created.join, HadContact: created.exchanger.HadContact, IsReader: created.reads, Logger: options.Logger,
		CompactionRank: created.compactRank,
	})
	created.members.Observe(created.follow)
	created.keeper.Observe(created.apply)
	created.watch(options.Registry)
	options.Store.PaceWatches(created.WatchWait)
	options.Store.OnEra(created.restored)
	return created
}

func (s *Sidecar) addIngress(observed *metrics) {
	settings := &s.options.Settings
	s.ingress = ingress.New(ingress.Options{
		Vocabulary:     s.options.Vocabulary,
		Address:        settings.BackendAddress,
		LinkMbps:       settings.LinkMbps,
		ActiveRequests: s.work,
		DecodeLoad:     s.options.DecodeLoad,
		RecordLoad:     s.loadTold,

		DecodeNotice:       s.options.DecodeNotice,
		OnDraining:         s.leaves,
		Restarted:          !settings.FirstStart,
		Contended:          s.contention.On,
		Judge:              &judge{sidecar: s},
		Quarantine:         &guard{Quarantine: s.quarantine, sidecar: s},
		Endpoint:           func() *roster.Endpoint { return s.members.Own().Endpoint },
		OnInstanceMismatch: s.identified,
		Version:            s.keeper.Version,
		Proof:              func() (time.Duration, bool) { return s.exchanger.FreshProof() },
		RoutesTo:           s.serves,
		Evacuated:          func() bool { return s.evacuations.Zones().Contains(settings.Zone) },
		DrainDelay:         s.drainAfter,
		Dial:               s.options.Network.Dialer(0, dial.PeerTimeouts{}),
		Logger:             s.logger,
		Observer:           observed,
	})
}

func (s *Sidecar) addEgress(observed *metrics) {
	settings := &s.options.Settings
	s.egress = egress.New(egress.Options{
		Vocabulary:  s.options.Vocabulary,
		Table:       s.keeper.Table,
		TableAge:    s.keeper.Age,
		View:        s.members.View,
		Node:        settings.Node,
		Zone:        settings.Zone,
		Regions:     settings.Regions,
		Caller:      s.caller,
		Plan:        s.rollouts.Plan,
		Evacuated:   s.evacuations.Zones,
		Quarantine:  s.quarantine,
		Quota:       s.quota,
		Nested:      &nestedCalls{contention: s.contention, recognizer: nested.NewClassifier(s.work, s.started)},
		RetryBudget: s.repeats,
		Contended:   s.contention.On,
		Weights:     choice.DefaultWeights(),
		Freshness:   (*level)(s),
		DrainAfter:  s.drainAfter,
		Dial:        s.options.Network.Dialer(exchangeDial, dial.PeerTimeouts{Unacknowledged: peerUnacknowledged, Idle: peerIdle}),
		Probe: func(ctx context.Context, record *roster.Record) error {
			return s.exchanger.Ping(ctx, record)
		},
		Logger:   s.logger,
		Observer: &callObserver{metrics: observed, sidecar: s},
	})
}

// drainAfter is how long after its word that it is leaving a back end still gets new work.
func (s *Sidecar) drainAfter() time.Duration {
	return time.Duration(float64(s.settings.Load().DrainBound) * drainShare)
}

// callObserver adds to the metrics what a reply says of a peer's configuration.
type callObserver struct {
	*metrics
	sidecar *Sidecar
}

// ProbeFailed implements egress.Observer.
func (o *callObserver) ProbeFailed(node string, first bool) {
	o.silent.Inc()
	if first {
		o.sidecar.logger.Warn("peer silent", zap.String("peer", node))
	}
}

// Unreachable implements egress.Observer.
func (o *callObserver) Unreachable(node string) { o.sidecar.exchanger.MarkLost(node) }

// Recovered implements egress.Observer.
func (o *callObserver) Recovered(node string) {
	o.sidecar.logger.Info("peer regained", zap.String("peer", node))
}

// NewerVersionReported implements egress.Observer.
func (o *callObserver) NewerVersionReported(node string, version uint64) {
	o.sidecar.exchanger.NewerVersionReported(o.sidecar.members.View().Record(node), version)
}

// caller names the service beside this node.
func (s *Sidecar) caller() string {
	if endpoint := s.members.Own().Endpoint; endpoint != nil {
		return endpoint.Service
	}
	return s.options.Settings.Service
}

// follow passes changed records on. The roster's lock is held.
func (s *Sidecar) follow(changed []*roster.Record) {
	for _, record := range changed {
		s.logChange(record)
		if record.Node == s.options.Settings.Node {
			s.ingress.Follow(record.Endpoint)
			s.setService(s.keeper.Table(), record.Endpoint)
		}
	}
	s.quarantine.Follow(changed)
	s.egress.Follow(changed)
	s.rollouts.Follow(changed)
}

func (s *Sidecar) logChange(record *roster.Record) {
	entry := s.logger.Check(zap.InfoLevel, "node changed")
	if entry == nil {
		return
	}
	fields := []zap.Field{
		zap.String("peer", record.Node), zap.Uint64("epoch", record.Epoch), zap.Uint64("counter", record.Counter),
		zap.Bool("leaving", record.Leaving),
	}
	if record.Endpoint != nil {
		fields = append(fields, zap.String("endpoint", record.Endpoint.Incarnation().String()), zap.String("service", record.Endpoint.Service), zap.String("software", record.Endpoint.Version),
			zap.String("state", string(record.Endpoint.State)), zap.Uint64("sequence", record.Endpoint.Sequence))
	}
	entry.Write(fields...)
}

// apply takes in a new configuration. What the watch brings is announced to those
// that do not read. What the watch had missed is likely to have been missed by
// others as well: all are told.
func (s *Sidecar) apply(table *route.Table, source configuration.Source) {
	s.setService(table, s.members.Own().Endpoint)
	s.contention.SetTenantsConfigured(len(table.Document().Tenants) > 0)
	switch source {
	case configuration.SourceWatch:
		go s.exchanger.AnnounceVersion()
	case configuration.SourceRead:
		go s.spread(context.Background())
		go s.exchanger.AnnounceVersion()
	}
}

// setService passes on what the configuration says of the back end's service.
func (s *Sidecar) setService(table *route.Table, endpoint *roster.Endpoint) {
	if table != nil && endpoint != nil {
		s.ingress.SetService(table.Service(endpoint.Service))
	}
}

// Ready reports whether callers are to come to this node.
func (s *Sidecar) Ready() bool { return !s.stopping.Load() && s.keeper.Table() != nil }

// Stopping reports whether the planned stop has begun.
func (s *Sidecar) Stopping() bool { return s.stopping.Load() }

// Outbound returns the handler of the callers' listener.
func (s *Sidecar) Outbound() http.Handler { return s.egress }

// Pipelining says which requests that a caller sent ahead of answers are served
// side by side.
func (s *Sidecar) Pipelining() *pipelining.Options {
	return &pipelining.Options{Ahead: s.egress.Ahead, Begun: s.egress.Begun}
}

// Inbound returns the handler of the listener for other nodes.
func (s *Sidecar) Inbound() http.Handler { return s.ingress }

// Quarantine returns what the node knows of requests that end back ends.
func (s *Sidecar) Quarantine() *quarantine.Quarantine { return s.quarantine }

// Exchanger returns the node's exchanges with its peers.
func (s *Sidecar) Exchanger() *exchange.Exchanger { return s.exchanger }
