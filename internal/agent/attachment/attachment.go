// Package attachment is a proxy's side of control: the subscription that
// brings configuration to a data path and reports the state of the endpoint
// beside it. The data path may be a real one or one that carries no calls.
package attachment

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscription"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// stepCompile is the step named when the data path refuses a snapshot.
const stepCompile = "compile"

// DataPath is what an attachment puts configuration in force at.
type DataPath interface {
	// Apply puts a snapshot in force wholly, or returns why it did not.
	Apply(snapshot *projection.Snapshot) error
	// UpdateEndpoints takes in endpoint states.
	UpdateEndpoints(updates []endpoint.Update)
}

// SubscriberConfig returns the subscriber's intervals as a proxy's settings
// have them.
func SubscriberConfig(loaded settings.ProxyStream) subscriber.Config {
	config := subscriber.DefaultConfig()
	config.Silence = time.Duration(loaded.SilenceTimeout)
	config.BackoffBase = time.Duration(loaded.BackoffMinimum)
	config.BackoffCap = time.Duration(loaded.BackoffMaximum)
	config.AckWindow = time.Duration(loaded.ReportWindow)
	config.KeepAlive = time.Duration(loaded.Heartbeat)
	return config
}

// Parents returns a proxy's candidates among the control daemons, most
// preferred first.
func Parents(members []membership.Member, node distribution.Node, loaded settings.ProxyStream) []subscriber.Parent {
	return membership.ProxyParents(members, node.Zone, node.Name, loaded.RelaysPerZone)
}

// New returns the subscription of a data path and has the announcer report
// through it.
func New(core *subscriber.Core, client *stream.Client, path DataPath, announcer *Announcer, logger *zap.Logger) *subscription.Subscription {
	created := subscription.New(core, client, &sink{path: path, announcer: announcer}, logger)
	announcer.report = func(update endpoint.Update) {
		// Relays spread an update to everyone but who reported it.
		path.UpdateEndpoints([]endpoint.Update{update})
		created.EndpointChanged(update)
	}
	return created
}

// sink hands what the stream brings to the data path.
type sink struct {
	path      DataPath
	announcer *Announcer
}

// Handle applies a snapshot and the endpoint states that came with it.
func (s *sink) Handle(_ context.Context, received subscriber.Outputs) subscription.Outcome {
	if received.AttachedTo != "" {
		s.announcer.repeat()
	}
	outcome := subscription.Outcome{}
	if snapshot := received.Apply; snapshot != nil {
		outcome = s.apply(snapshot)
	}
	if len(received.Endpoints) > 0 {
		s.path.UpdateEndpoints(received.Endpoints)
		s.announcer.observe(received.Endpoints)
	}
	return outcome
}

func (s *sink) apply(snapshot *projection.Snapshot) subscription.Outcome {
	if err := s.path.Apply(snapshot); err != nil {
		return subscription.Outcome{Failure: &distribution.ApplyFailure{
			Version: snapshot.Version, Step: stepCompile, Reason: err.Error(),
		}}
	}
	return subscription.Outcome{Applied: snapshot.Version}
}
