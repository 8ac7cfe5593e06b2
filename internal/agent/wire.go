//go:build wireinject

package agent

import (
	"github.com/google/wire"

	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

func assemble(loaded settings.Proxy, options Options, listeners *Listeners) (*Agent, error) {
	wire.Build(
		telemetry.NewRegistry,
		provideForce,
		provideNode,
		provideLogger,
		provideTraffic,
		provideCredentials,
		provideCallerCertificate,
		provideClient,
		provideProxy,
		provideAnnouncer,
		provideSubscriber,
		provideSubscription,
		provideParents,
		provideAdmin,
		wire.Struct(new(Agent), "*"),
	)
	return nil, nil
}
