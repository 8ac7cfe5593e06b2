package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/agent/attachment"
	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscription"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/identity"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/proxy"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// forceContext ends when an orderly stop is to be cut short.
type forceContext struct{ context.Context }

func provideForce(options Options) forceContext { return forceContext{options.Force} }

func provideNode(loaded settings.Proxy) distribution.Node {
	return distribution.Node{
		Name:        loaded.Node.Name,
		Zone:        loaded.Node.Zone,
		Region:      loaded.Node.Region,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

func provideLogger(loaded settings.Proxy, options Options, registry *prometheus.Registry) (*zap.Logger, error) {
	return telemetry.NewLogger(loaded.Logging, loaded.Node.Node, options.LogOutput, registry)
}

func provideTraffic(registry *prometheus.Registry) *stream.Traffic {
	traffic := &stream.Traffic{}
	registry.MustRegister(traffic)
	return traffic
}

func provideCredentials(loaded settings.Proxy, logger *zap.Logger, registry *prometheus.Registry) (*identity.Credentials, error) {
	credentials, err := identity.Load(loaded.Identity, logger, registry)
	if err != nil {
		return nil, err
	}
	return credentials, credentials.MatchSettings(identity.RoleProxy, loaded.Node.Name, loaded.Node.Zone, loaded.Node.Services)
}

// provideCallerCertificate returns nil when callers speak plain HTTP.
func provideCallerCertificate(loaded settings.Proxy) (*identity.ServerCertificate, error) {
	files := loaded.CallerTLS
	if files == nil {
		return nil, nil
	}
	return identity.LoadServerCertificate(files.CertificateFile, files.KeyFile)
}

func provideClient(loaded settings.Proxy, options Options, credentials *identity.Credentials, traffic *stream.Traffic) *stream.Client {
	transport := stream.NewTransport(traffic, options.Dial)
	transport.TLSClientConfig = credentials.ClientConfig(identity.AcceptRoles(identity.RoleControl))
	credentials.OnReload(transport.CloseIdleConnections)
	client := stream.NewClient(transport, credentials.Scheme(), traffic)
	client.MaximumMessageBytes = loaded.Stream.MessageBytes
	return client
}

func provideProxy(loaded settings.Proxy, options Options, node distribution.Node, listeners *Listeners, credentials *identity.Credentials, registry *prometheus.Registry, logger *zap.Logger) *proxy.Proxy {
	created := proxy.New(proxy.Options{
		Node:    node,
		Backend: backendOptions(loaded.Backend, listeners),
		Limits: proxy.Limits{
			HeaderBytes:       loaded.Limits.HeaderBytes,
			HeaderTimeout:     time.Duration(loaded.Limits.HeaderTimeout),
			CallerIdleTimeout: time.Duration(loaded.Limits.IdleTimeout),
			RememberedCalls:   loaded.Limits.CallMemory,
		},
		AnnouncePeriod: time.Duration(loaded.Drain.Announce),
		Logger:         logger,
		Metrics:        registry,
		Dial:           forward.Dialer(options.Dial),
		PeerDial:       peerDial(credentials),
	})
	credentials.OnReload(created.RenewConnections)
	return created
}

// keepAlive is how often an idle connection to another proxy is probed.
const keepAlive = 15 * time.Second

// peerDial has the inbound proxy of an endpoint prove that it is in the zone
// and acts for the service; nil when TLS is off.
func peerDial(credentials *identity.Credentials) func(endpoint.ID, string) forward.Dialer {
	if credentials.Plain() {
		return nil
	}
	dial := (&net.Dialer{KeepAlive: keepAlive}).DialContext
	return func(id endpoint.ID, zone string) forward.Dialer {
		return forward.Dialer(credentials.Dialer(identity.AcceptEndpoint(id.Service, zone), dial))
	}
}

func backendOptions(backend *settings.Backend, listeners *Listeners) *proxy.Backend {
	if backend == nil {
		return nil
	}
	return &proxy.Backend{
		Service:        backend.Service,
		Endpoint:       backend.Endpoint,
		Address:        backend.Address,
		InboundAddress: listeners.Addresses().Inbound,
		HealthPath:     backend.HealthPath,
		HealthInterval: time.Duration(backend.HealthInterval),
		Labels:         backend.Labels,
	}
}

func provideAnnouncer(loaded settings.Proxy, node distribution.Node, listeners *Listeners, logger *zap.Logger) *attachment.Announcer {
	return newAnnouncer(node, loaded.Backend, listeners.Addresses().Inbound, logger)
}

func provideSubscriber(loaded settings.Proxy, node distribution.Node) *subscriber.Core {
	config := attachment.SubscriberConfig(loaded.Stream)
	entitlement := projection.Entitlement{Zone: node.Zone, Services: slices.Sorted(slices.Values(loaded.Node.Services))}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return subscriber.New(config, node, distribution.ChildProxy, entitlement, random)
}

func provideSubscription(core *subscriber.Core, client *stream.Client, path *proxy.Proxy, announcer *attachment.Announcer, logger *zap.Logger) *subscription.Subscription {
	return attachment.New(core, client, path, announcer, logger)
}

// errNoConfiguration is the reason of the readiness check before the first
// snapshot.
var errNoConfiguration = errors.New("no configuration is in force yet")

func provideAdmin(loaded settings.Proxy, registry *prometheus.Registry, path *proxy.Proxy, subscribed *subscription.Subscription, traffic *stream.Traffic, credentials *identity.Credentials, logger *zap.Logger) *telemetry.Admin {
	admin := telemetry.NewAdmin(registry, loaded.Diagnostics.Profiling, logger)
	admin.AddCheck("configuration", func() error {
		if version, _ := path.Version(); version == 0 {
			return errNoConfiguration
		}
		return nil
	})
	admin.AddSnapshotPages(path.Snapshot)
	admin.AddPage("/in-flight", "requests in flight on each side", func() any {
		outbound, inbound := path.InFlight()
		return InFlight{Outbound: outbound, Inbound: inbound, Draining: path.Draining()}
	})
	admin.AddPage("/parent", "the parent this proxy is attached to", func() any { return subscribed.Status() })
	admin.AddPage("/traffic", "control traffic since the start, by kind", func() any { return traffic.Totals() })
	admin.AddPage("/identity", "this process's identity and when its certificates expire", func() any { return credentials.Status() })
	return admin
}
