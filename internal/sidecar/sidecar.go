package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
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

// Store is the part of the store client that a sidecar uses.
type Store interface {
	membership.Store
	store.Writer
	// Era returns how often the store has been restored from an older copy, as far as known.
	// LearnEra records the era that another node knows.
	Era() uint64
	LearnEra(era uint64)
	// OnRestore registers a function to call when the era rises. The function must not block.
	OnRestore(func(era uint64))
	// SetWatchTimeout sets the function that returns the timeout of each call of a watch. first is true
	// for the first call and for a call whose predecessor returned events.
	SetWatchTimeout(wait func(first bool) time.Duration)
}

// Options holds the dependencies of a sidecar.
type Options struct {
	Settings   Settings
	Vocabulary hop.Vocabulary
	// ConfigurationKey is the key of the configuration in the store. OperatorPrefix is the
	// prefix of all keys that operators write.
	ConfigurationKey, OperatorPrefix string
	Decode                           configuration.Decoder
	// IsOrderKey reports whether a key holds a roll-out order. DecodeOrder decodes the order.
	IsOrderKey  func(key string) bool
	DecodeOrder func(store.KeyValue) (rollout.Order, error)
	// EvacuatedZone returns the zone whose evacuation an item under the key orders.
	EvacuatedZone func(key string) (zone string, is bool)
	Rollouts      controller.Codec
	// DecodeLoad decodes the load that a back end reports in a reply header.
	DecodeLoad func(header string) (hop.BackendLoad, error)
	// DecodeNotice decodes a request limit or drain notice from the headers of a reply.
	DecodeNotice func(header http.Header) (hop.Notice, error)
	Store        Store
	// Network provides the node's listeners and dials its connections.
	Network  dial.Network
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

const (
	// drainDelayShare is the fraction of DrainBound after which a draining back end receives no
	// new requests. The rest of the bound covers requests already on their way.
	drainDelayShare = 0.5
	// Timeouts of connections to other nodes and to the store.
	peerAckTimeout    = 1500 * time.Millisecond
	peerKeepAliveIdle = time.Second
	peerDialTimeout   = 400 * time.Millisecond
	storeDialTimeout  = time.Second
	storeAckTimeout   = 3 * time.Second
	// WatchBatchDelay is the time for which a watch of the store waits after an event before the
	// next call, so that one call returns several changes made in quick succession.
	WatchBatchDelay = 500 * time.Millisecond
)

// Sidecar is one node of the mesh. It is safe for concurrent use.
type Sidecar struct {
	options Options
	logger  *zap.Logger
	metrics *metrics
	members *roster.Roster
	keeper  *configuration.Keeper
	// membership discovers the other nodes through the store.
	membership *membership.Membership
	exchanger  *exchange.Exchanger
	rollouts   *controller.Controller
	quarantine *quarantine.Quarantine
	// evacuations holds the orders to evacuate zones.
	evacuations *evacuation.Orders
	quota       *quota.Quota
	repeats     *repeats.Repeats
	// contention reports whether requests compete for capacity.
	contention *contention.Switch
	// activeRequests holds the requests that the back end is processing.
	activeRequests *nested.ActiveRequests
	egress         *egress.Handler
	ingress        *ingress.Handler
	stopping       atomic.Bool
	// hasTenants is true while the configuration in force has tenants.
	hasTenants atomic.Bool
	// following is true while the node watches the configuration in the store.
	following atomic.Bool
	// started is the time at which the node was created. peersDiscovered is the time at which the
	// store first returned the other nodes; nil before.
	started         time.Time
	peersDiscovered atomic.Pointer[time.Time]
	// configured is closed once a configuration is in force.
	configured     chan struct{}
	configuredOnce sync.Once
	// settings is replaced when settings are reloaded.
	settings atomic.Pointer[Settings]
	// lastHeartbeat is the arrival time of the last heartbeat, as a clock.Stamp; zero before the
	// first.
	lastHeartbeat atomic.Int64
	// warmedUp is the end time of the back end's warm-up, as a clock.Stamp; zero if it has reported
	// no warm-up.
	warmedUp atomic.Int64
	// stalls records when this process was not scheduled. It runs only while the back end's
	// answers are judged.
	stalls stall.Monitor
	// incarnations is guarded by the roster's lock.
	incarnations roster.IncarnationTracker
}

// StoreDialer returns the dialer for connections to the store.
func StoreDialer(network dial.Network) func(ctx context.Context, network, address string) (net.Conn, error) {
	return network.Dialer(storeDialTimeout, dial.PeerTimeouts{Unacknowledged: storeAckTimeout, Idle: peerKeepAliveIdle})
}

// New returns a sidecar. It serves no calls before its first configuration is in force.
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
		started:        clock.Now(),
		configured:     make(chan struct{}),
		keeper:         configuration.NewKeeper(options.Decode, options.Logger),
		contention:     contention.NewSwitch(settings.OverloadControl),
		activeRequests: &nested.ActiveRequests{},
		incarnations:   roster.IncarnationTracker{Interval: settings.HeartbeatInterval},
	}
	observer := newMetrics(options.Registry)
	created.metrics = observer
	options.Store = newCountedStore(options.Store, options.Registry)
	created.options.Store = options.Store
	created.settings.Store(settings)
	created.members.SetService(settings.Service)
	created.quarantine = quarantine.New(quarantine.Options{
		Members:          created.members,
		Broadcast:        func() { created.broadcastRecord(context.Background()) },
		BroadcastAndWait: created.broadcastAndWait,
		Logger:           options.Logger, Registry: options.Registry,
	})
	created.addRollouts()
	created.addEvacuations()
	created.addQuota()
	created.addRepeats()
	created.addIngress(observer)
	created.addEgress(observer)
	created.exchanger = exchange.New(exchange.Options{
		Roster:        created.members,
		Configuration: created.keeper,
		Dial:          options.Network.Dialer(peerDialTimeout, dial.PeerTimeouts{Unacknowledged: peerAckTimeout, Idle: peerKeepAliveIdle}),
		Refresh: func(ctx context.Context) error {
			return configuration.Refresh(ctx, options.Store, created.keyspace(), created.keeper)
		},
		Bound:            settings.applyBound(),
		Store:            options.Store,
		Rollouts:         created.rollouts,
		Evacuations:      created.evacuations,
		Quota:            created.quota,
		Repeats:          created.repeats,
		Contention:       created.contention,
		IsReader:         created.isReader,
		Observer:         observer,
		MarkUnresponsive: created.egress.MarkUnresponsive,
		Logger:           options.Logger,
	})
	created.membership = membership.New(membership.Options{
		Store: options.Store, Members: created.members,
		FirstStart: settings.FirstStart, HeartbeatInterval: settings.HeartbeatInterval,
		OnDiscovery: created.handlePeersDiscovered, HadContact: created.exchanger.HadContact, IsReader: created.isReader, Logger: options.Logger,
		CompactionRank: created.compactionRank,
	})
	created.members.Observe(created.handleRecordChanges)
	created.keeper.Observe(created.applyConfiguration)
	created.registerGauges(options.Registry)
	options.Store.SetWatchTimeout(created.WatchTimeout)
	options.Store.OnRestore(created.handleStoreRestore)
	return created
}

func (s *Sidecar) addIngress(observed *metrics) {
	settings := &s.options.Settings
	s.ingress = ingress.New(ingress.Options{
		Vocabulary:     s.options.Vocabulary,
		Address:        settings.BackendAddress,
		LinkMbps:       settings.LinkMbps,
		MaxAnswerBytes: settings.MaxAnswerBytes,
		ActiveRequests: s.activeRequests,
		DecodeLoad:     s.options.DecodeLoad,
		RecordLoad:     s.recordLoad,

		DecodeNotice:       s.options.DecodeNotice,
		OnDraining:         s.handleDrainNotice,
		Restarted:          !settings.FirstStart,
		Contended:          s.contention.On,
		Judge:              &answerJudge{sidecar: s},
		Quarantine:         &crashRecorder{Quarantine: s.quarantine, sidecar: s},
		Endpoint:           func() *roster.Endpoint { return s.members.Own().Endpoint },
		OnInstanceMismatch: s.confirmInstance,
		Version:            s.keeper.Version,
		Proof:              func() (time.Duration, bool) { return s.exchanger.FreshProof() },
		RoutesTo:           s.routesTo,
		Evacuated:          func() bool { return s.evacuations.Zones().Contains(settings.Zone) },
		DrainDelay:         s.drainDelay,
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
		Search:      func() bool { return s.membership.Search() },
		Node:        settings.Node,
		Zone:        settings.Zone,
		Regions:     settings.Regions,
		Caller:      s.caller,
		Plan:        s.rollouts.Plan,
		Evacuated:   s.evacuations.Zones,
		Quarantine:  s.quarantine,
		Quota:       s.quota,
		Nested:      &nestedClassifier{contention: s.contention, classifier: nested.NewClassifier(s.activeRequests, s.started)},
		RetryBudget: s.repeats,
		Contended:   s.contention.On,
		Weights:     choice.DefaultWeights(),
		Freshness:   (*freshness)(s),
		DrainAfter:  s.drainDelay,
		Dial:        s.options.Network.Dialer(peerDialTimeout, dial.PeerTimeouts{Unacknowledged: peerAckTimeout, Idle: peerKeepAliveIdle}),
		Probe: func(ctx context.Context, record *roster.Record) error {
			return s.exchanger.Ping(ctx, record)
		},
		Logger:   s.logger,
		Observer: &callObserver{metrics: observed, sidecar: s},
	})
}

// drainDelay returns how long a back end still receives new requests after it has announced
// that it is leaving.
func (s *Sidecar) drainDelay() time.Duration {
	return time.Duration(float64(s.settings.Load().DrainBound) * drainDelayShare)
}

// callObserver implements egress.Observer. Besides counting, it logs silent peers and passes
// unreachable peers and those with a newer configuration to the exchanger.
type callObserver struct {
	*metrics
	sidecar *Sidecar
}

// ProbeFailed implements egress.Observer.
func (o *callObserver) ProbeFailed(node string, first bool) {
	o.silentProbes.Inc()
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

// caller returns the name of the service beside this node.
func (s *Sidecar) caller() string { return s.serviceOf(s.members.Own().Endpoint) }

// serviceOf returns the service of the local back end: the one in the settings, since a heartbeat may
// be that of another back end. If the settings name none, it is that of the endpoint; empty if that
// is nil.
func (s *Sidecar) serviceOf(endpoint *roster.Endpoint) string {
	if service := s.settings.Load().Service; service != "" || endpoint == nil {
		return service
	}
	return endpoint.Service
}

// handleRecordChanges passes changed records to the parts that depend on them. It is called with
// the roster's lock held.
func (s *Sidecar) handleRecordChanges(changed []*roster.Record) {
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

// applyConfiguration puts a new configuration to use. A version that came with the watch is
// announced to the nodes that do not read the store. A version that the watch missed and a read
// found has probably been missed by other readers too, so the node's record is sent to all peers
// as well.
func (s *Sidecar) applyConfiguration(table *route.Table, source configuration.Source) {
	s.setService(table, s.members.Own().Endpoint)
	s.configuredOnce.Do(func() { close(s.configured) })
	go s.verifyBackend()
	s.contention.SetTenantsConfigured(table.HasTenants())
	s.warnOfKeys(table)
	switch source {
	case configuration.SourceWatch:
		go s.exchanger.AnnounceVersion()
	case configuration.SourceRead:
		go s.broadcastRecord(context.Background())
		go s.exchanger.AnnounceVersion()
	}
}

// warnOfKeys logs a version that lets nobody in, and one that ends the use of keys.
func (s *Sidecar) warnOfKeys(table *route.Table) {
	had := s.hasTenants.Swap(table.HasTenants())
	switch {
	case table.HasTenants() && !table.HasKeys():
		s.logger.Warn("no tenant has a key: only open routes are served", zap.Uint64("version", table.Version()))
	case had && !table.HasTenants():
		s.logger.Warn("the configuration has no tenants any more: no route requires a key", zap.Uint64("version", table.Version()))
	}
}

// setService gives the ingress handler the configured service of the back end.
func (s *Sidecar) setService(table *route.Table, endpoint *roster.Endpoint) {
	if service := s.serviceOf(endpoint); table != nil && service != "" {
		s.ingress.SetService(table.Service(service))
	}
}

// Ready reports whether the node accepts calls.
func (s *Sidecar) Ready() bool { return !s.stopping.Load() && s.keeper.Table() != nil }

// Stopping reports whether the planned stop has begun.
func (s *Sidecar) Stopping() bool { return s.stopping.Load() }

// Outbound returns the handler of the listener for local callers.
func (s *Sidecar) Outbound() http.Handler { return s.egress }

// Pipelining returns the options that decide which pipelined requests of a caller are served
// concurrently.
func (s *Sidecar) Pipelining() *pipelining.Options {
	return &pipelining.Options{
		Ahead: s.egress.Ahead, Begun: s.egress.Begun, ExceedsHold: s.egress.ExceedsHold, OnExceedsHold: s.egress.OnExceedsHold,
	}
}

// Inbound returns the handler of the listener for other nodes.
func (s *Sidecar) Inbound() http.Handler { return s.ingress }

// Quarantine returns the node's quarantine of requests that crash back ends.
func (s *Sidecar) Quarantine() *quarantine.Quarantine { return s.quarantine }

// Exchanger returns the part that exchanges state with peers.
func (s *Sidecar) Exchanger() *exchange.Exchanger { return s.exchanger }
