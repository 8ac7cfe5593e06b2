package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/api"
	"github.com/kestrelstream/kestrelstream/internal/command"
	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/control"
	"github.com/kestrelstream/kestrelstream/internal/distribution/controlhost"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/identity"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/membership/machines"
	"github.com/kestrelstream/kestrelstream/internal/query"
	"github.com/kestrelstream/kestrelstream/internal/seal"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/store/httpclient"
	"github.com/kestrelstream/kestrelstream/internal/store/slots"
	"github.com/kestrelstream/kestrelstream/internal/store/versionlog"
	"github.com/kestrelstream/kestrelstream/internal/strictreply"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// forceContext ends when an orderly stop is to be cut short.
type forceContext struct{ context.Context }

// apiHandler serves the resource API to operators.
type apiHandler struct {
	http.Handler
	// endWatches is called when the daemon begins to stop.
	endWatches func()
}

func provideForce(options Options) forceContext { return forceContext{options.Force} }

func provideNode(loaded settings.Daemon) distribution.Node {
	return distribution.Node{
		Name:        loaded.Node.Name,
		Zone:        loaded.Node.Zone,
		Region:      loaded.Node.Region,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

// provideSelf describes this daemon to the others.
func provideSelf(loaded settings.Daemon, listeners *Listeners) membership.Member {
	return membership.Member{
		Name: loaded.Node.Name, Zone: loaded.Node.Zone, Region: loaded.Node.Region,
		Address: listeners.Addresses().Stream,
	}
}

func provideRoster(loaded settings.Daemon, node distribution.Node, self membership.Member) *membership.Roster {
	seeds := make([]membership.Member, 0, len(loaded.Seeds))
	for _, seed := range loaded.Seeds {
		seeds = append(seeds, membership.Member{
			Name: seed.Name, Zone: seed.Zone, Region: seed.Region, Address: seed.Address,
		})
	}
	return membership.NewRoster(self, node.Incarnation, seeds)
}

func provideMembers(roster *membership.Roster) *controlhost.MemberList {
	return controlhost.NewMemberList(roster.Members(time.Now()))
}

func provideLogger(loaded settings.Daemon, options Options, registry *prometheus.Registry) (*zap.Logger, error) {
	return telemetry.NewLogger(loaded.Logging, loaded.Node, options.LogOutput, registry)
}

func provideCredentials(loaded settings.Daemon, logger *zap.Logger, registry *prometheus.Registry) (*identity.Credentials, error) {
	credentials, err := identity.Load(loaded.Identity, logger, registry)
	if err != nil {
		return nil, err
	}
	return credentials, credentials.MatchSettings(identity.RoleControl, loaded.Node.Name, loaded.Node.Zone, nil)
}

func provideTraffic(registry *prometheus.Registry) *stream.Traffic {
	traffic := &stream.Traffic{}
	registry.MustRegister(traffic)
	return traffic
}

func provideClient(loaded settings.Daemon, options Options, credentials *identity.Credentials, traffic *stream.Traffic) *stream.Client {
	transport := stream.NewTransport(traffic, options.Dial)
	transport.TLSClientConfig = credentials.ClientConfig(identity.AcceptRoles(identity.RoleControl))
	credentials.OnReload(transport.CloseIdleConnections)
	client := stream.NewClient(transport, credentials.Scheme(), traffic)
	client.MaximumMessageBytes = loaded.Distribution.MessageBytes
	return client
}

func provideStore(loaded settings.Daemon, options Options) *httpclient.Client {
	return httpclient.New(loaded.Store.Address, httpclient.Options{
		Timeout:           time.Duration(loaded.Store.Timeout),
		RequestsPerSecond: loaded.Store.RequestsPerSecond,
		Dial:              options.Dial,
	})
}

func provideMachines(loaded settings.Daemon, options Options, host *controlhost.Host, logger *zap.Logger) *machines.Poller {
	if loaded.MachineList.Address == "" {
		return nil
	}
	return &machines.Poller{
		Address:  loaded.MachineList.Address,
		Interval: time.Duration(loaded.MachineList.Interval),
		Leaving: func(ctx context.Context, machine machines.Machine) {
			_ = host.MachineLeaving(ctx, machine.Name)
		},
		Logger: logger,
		Client: &http.Client{Transport: strictreply.NewTransport(&http.Transport{DialContext: options.Dial})},
	}
}

func provideLog(loaded settings.Daemon, client *httpclient.Client, logger *zap.Logger) (*versionlog.Log, error) {
	sealer, err := seal.Load(loaded.Sealing)
	if err != nil {
		return nil, err
	}
	if len(sealer.KeyIDs()) == 0 {
		logger.Warn("NO SEALING IDENTITY: secret values are stored readable in the store")
	}
	options := versionlog.Options{Sealer: sealer, KeepEntries: uint64(loaded.Distribution.LogTail)}
	return versionlog.NewWithOptions(client, options), nil
}

func provideMaintainer(loaded settings.Daemon, log *versionlog.Log, host *controlhost.Host, slots *readerSlots, logger *zap.Logger) *maintainer {
	return &maintainer{
		log:    log,
		state:  host.State,
		holds:  slots.holds,
		every:  uint64(loaded.Distribution.CheckpointEvery),
		logger: logger,
	}
}

func provideSlots(loaded settings.Daemon, client *httpclient.Client, self membership.Member, members *controlhost.MemberList) *readerSlots {
	return &readerSlots{
		slots:      slots.New(client, loaded.Distribution.Readers),
		address:    self.Address,
		timeToLive: time.Duration(loaded.Store.LeaseTimeToLive),
		members:    members,
	}
}

func provideCore(loaded settings.Daemon, node distribution.Node, members *controlhost.MemberList) *control.Core {
	config := control.DefaultConfig()
	config.Slots = loaded.Distribution.Readers
	config.RelaysPerZone = loaded.Distribution.RelaysPerZone
	config.Relay = relayConfig(config.Relay, loaded.Distribution)
	config.Subscriber = subscriberConfig(config.Subscriber, loaded.Distribution)
	config.Reader.LeaseTime = time.Duration(loaded.Store.LeaseTimeToLive)
	config.Reader.RenewInterval = config.Reader.LeaseTime / renewalsPerLease
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return control.New(config, node, members.Load(), random)
}

// renewalsPerLease is how many renewals fit into the life of a lease.
const renewalsPerLease = 3

func relayConfig(config relay.Config, distribution settings.Distribution) relay.Config {
	config.BatchWindow = time.Duration(distribution.BatchWindow)
	config.Heartbeat = time.Duration(distribution.Heartbeat)
	config.SendTimeout = time.Duration(distribution.WriteTimeout)
	config.SessionSilence = time.Duration(distribution.SuspectAfter)
	config.ProxySuspicionTimeout = time.Duration(distribution.DownAfter - distribution.SuspectAfter)
	config.MaximumSnapshots = distribution.MaximumSnapshots
	return config
}

func subscriberConfig(config subscriber.Config, distribution settings.Distribution) subscriber.Config {
	// A parent that misses two heartbeats is given up.
	config.Silence = time.Duration(distribution.Heartbeat) * 12 / 5
	config.BackoffBase = time.Duration(distribution.BackoffMinimum)
	config.BackoffCap = time.Duration(distribution.BackoffMaximum)
	config.AckWindow = time.Duration(distribution.ReportWindow)
	// Two reports in a row may be late before a parent gives the child up.
	config.KeepAlive = time.Duration(distribution.SuspectAfter) * 2 / 5
	return config
}

func provideHost(loaded settings.Daemon, node distribution.Node, core *control.Core, client *stream.Client, log *versionlog.Log, slots *readerSlots, roster *membership.Roster, members *controlhost.MemberList, logger *zap.Logger) *controlhost.Host {
	return controlhost.New(controlhost.Dependencies{
		Core:          core,
		Node:          node,
		Client:        client,
		Log:           log,
		ReaderSlots:   slots,
		Roster:        roster,
		Members:       members,
		HistoryLength: loaded.Distribution.LogTail,
		Logger:        logger,
	})
}

func provideAuthorizer(credentials *identity.Credentials) stream.Authorizer {
	if credentials.Plain() {
		return stream.PermissiveAuthorizer{}
	}
	return stream.CertificateAuthorizer{}
}

func provideCommands(loaded settings.Daemon, log *versionlog.Log, host *controlhost.Host) *command.Service {
	return command.New(log, host, command.Config{Machine: loaded.Node.Name, Tail: host})
}

func provideQueries(commands *command.Service, host *controlhost.Host) *query.Service {
	return query.New(commands, host, host)
}

func provideAPI(loaded settings.Daemon, commands *command.Service, queries *query.Service, credentials *identity.Credentials, registry *prometheus.Registry, logger *zap.Logger) apiHandler {
	metrics := api.NewMetrics()
	registry.MustRegister(metrics)
	handler := api.NewHandler(commands, queries, api.Options{
		Authenticate:   operatorName,
		Logger:         logger,
		MaximumBody:    int64(loaded.API.BodyBytes),
		MaximumChanges: loaded.API.BatchSize,
		MaximumWatches: loaded.API.Watches,
		Metrics:        metrics,
	})
	return apiHandler{
		Handler:    credentials.Authenticate(identity.AcceptRoles(identity.RoleOperator), handler),
		endWatches: handler.EndWatches,
	}
}

// operatorName returns the operator of the request's certificate, for the
// history of changes; none without mutual TLS.
func operatorName(request *http.Request) (string, error) {
	operator, _ := identity.FromRequest(request)
	return operator.Operator, nil
}

// errNoConfiguration is the reason of the readiness check while this daemon
// has neither a reader slot nor a parent that leads to a reader.
var errNoConfiguration = errors.New("no path to the configuration yet")

func provideAdmin(loaded settings.Daemon, registry *prometheus.Registry, credentials *identity.Credentials, host *controlhost.Host, traffic *stream.Traffic, logger *zap.Logger) *telemetry.Admin {
	admin := telemetry.NewAdmin(registry, loaded.Diagnostics.Profiling, logger)
	admin.AddCheck("configuration", func() error {
		if host.Status().Source.Detached {
			return errNoConfiguration
		}
		return nil
	})
	registry.MustRegister(newStatusMetrics(host))
	admin.AddPage("/relay", "version, role, parent and children of this daemon", func() any { return host.Status() })
	admin.AddPage("/zones", "which versions are in force, by zone and relay", func() any { return host.Zones() })
	admin.AddPage("/endpoints", "back ends and daemons as this daemon knows them, with their states", func() any { return host.Endpoints() })
	admin.AddPage("/traffic", "control traffic since the start, by kind", func() any { return traffic.Totals() })
	admin.AddPage("/identity", "this process's identity and when its certificates expire", func() any { return credentials.Status() })
	return admin
}
