//go:build wireinject

package daemon

import (
	"github.com/google/wire"

	"github.com/kestrelstream/kestrelstream/internal/distribution/controlhost"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

func assemble(loaded settings.Daemon, options Options, listeners *Listeners) (*Daemon, error) {
	wire.Build(
		telemetry.NewRegistry,
		provideForce,
		provideNode,
		provideSelf,
		provideRoster,
		provideMembers,
		provideLogger,
		provideCredentials,
		provideTraffic,
		provideClient,
		provideStore,
		provideMachines,
		provideLog,
		provideSlots,
		provideMaintainer,
		provideCore,
		provideHost,
		provideAuthorizer,
		provideCommands,
		provideQueries,
		provideAPI,
		provideAdmin,
		stream.NewServer,
		wire.Bind(new(stream.Host), new(*controlhost.Host)),
		wire.Struct(new(Daemon), "*"),
	)
	return nil, nil
}
