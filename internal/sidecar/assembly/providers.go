// Package assembly assembles a sidecar for the users' platform from the product's components, the
// platform adapter's names, formats and clients, and the listeners.
package assembly

import (
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/httpserver"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/sidecar"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/dial"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quarantine"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
	"github.com/kestrelstream/kestrelstream/platform"
)

// Flags holds the command-line flags that supplement the platform's settings.
type Flags struct {
	// MetricsPort is the port that serves metrics; zero disables them.
	MetricsPort int
	// LogLevel is the minimum level to log: debug, info, warn or error.
	LogLevel string
}

const (
	// logRepeatInterval and logRepeatBurst limit the rate of repeated messages.
	logRepeatInterval = time.Second
	logRepeatBurst    = 500
	// logQueueLines is the number of log lines that are buffered for the output.
	logQueueLines = 1024

	headerTimeout = 10 * time.Second
	headerBytes   = 80 << 10
	// callerIdleTimeout is longer than callers keep idle connections, peerIdleTimeout longer than
	// other nodes do.
	callerIdleTimeout  = 2 * time.Minute
	peerIdleTimeout    = 90 * time.Second
	controlIdleTimeout = 30 * time.Second
)

func provideRing(registry *prometheus.Registry) *telemetry.Ring {
	lost := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kestrel_log_lost_total", Help: "Log lines that found no room before a slow output.",
	})
	registry.MustRegister(lost)
	return telemetry.NewRing(os.Stdout, logQueueLines, lost)
}

func provideLogger(loaded *sidecar.Settings, flags Flags, ring *telemetry.Ring, registry *prometheus.Registry) (*zap.Logger, error) {
	logging := settings.Logging{
		Level: flags.LogLevel, RepeatInterval: settings.Duration(logRepeatInterval), RepeatBurst: logRepeatBurst,
	}
	return telemetry.NewLogger(logging, settings.Node{Name: loaded.Node, Zone: loaded.Zone}, ring, registry)
}

func provideStore(loaded *sidecar.Settings, network dial.Network) *platform.Store {
	return platform.NewStore(loaded.StoreAddress, sidecar.WatchBatchDelay, sidecar.StoreDialer(network))
}

func provideSidecar(loaded *sidecar.Settings, store *platform.Store, network dial.Network, logger *zap.Logger, registry *prometheus.Registry) *sidecar.Sidecar {
	return sidecar.New(sidecar.Options{
		Settings:         *loaded,
		Vocabulary:       platform.Vocabulary(),
		ConfigurationKey: platform.ConfigurationKey,
		OperatorPrefix:   platform.OperatorPrefix,
		Decode:           platform.DecodeConfiguration,
		IsOrderKey:       platform.IsRolloutOrder,
		DecodeOrder:      platform.DecodeRolloutOrder,
		DecodeLoad:       platform.DecodeLoad,
		DecodeNotice:     platform.DecodeNotice,
		EvacuatedZone:    platform.EvacuatedZone,
		Rollouts:         platform.RolloutCodec(),
		Store:            store,
		Network:          network,
		Logger:           logger,
		Registry:         registry,
	})
}

// listeners holds the bound listeners of the process.
type listeners struct {
	outbound, inbound, peer, readiness, control, metrics net.Listener
}

func provideListeners(loaded *sidecar.Settings, flags Flags, network dial.Network) (*listeners, error) {
	bound := &listeners{}
	addresses := loaded.Listen
	if flags.MetricsPort != 0 {
		addresses.Metrics = net.JoinHostPort(loaded.Host, strconv.Itoa(flags.MetricsPort))
	}
	return bound, httpserver.BindBy(network.Listen, []httpserver.Binding{
		{Field: "listen.outbound", Address: addresses.Outbound, Listener: &bound.outbound},
		{Field: "listen.inbound", Address: addresses.Inbound, Listener: &bound.inbound},
		{Field: "listen.peer", Address: addresses.Peer, Listener: &bound.peer},
		{Field: "listen.readiness", Address: addresses.Readiness, Listener: &bound.readiness},
		{Field: "listen.control", Address: addresses.Control, Listener: &bound.control},
		{Field: "listen.metrics", Address: addresses.Metrics, Listener: &bound.metrics},
	})
}

func provideAdmin(registry *prometheus.Registry, node *sidecar.Sidecar, logger *zap.Logger) *telemetry.Admin {
	admin := telemetry.NewAdmin(registry, false, logger)
	admin.AddCheck("configuration", func() error {
		if node.Ready() {
			return nil
		}
		return trace.Errorf("no configuration is in force, or the node is stopping")
	})
	admin.AddPage(sidecar.PathBackend, "the back end beside the node, and what it asks for", func() any { return node.BackendStatus() })
	requests := node.Quarantine()
	admin.AddPage(quarantine.PathList, "requests that no back end gets", func() any { return requests.Quarantined() })
	admin.HandleCommand(quarantine.PathLift, http.HandlerFunc(requests.ServeLift))
	return admin
}

// container returns a handler that serves one web service.
func container(service *restful.WebService) *restful.Container {
	created := restful.NewContainer()
	created.Add(service)
	return created
}
