//go:build wireinject

package assembly

import (
	"github.com/google/wire"

	"github.com/kestrelstream/kestrelstream/internal/sidecar"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/dial"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

func assemble(loaded *sidecar.Settings, flags Flags, network dial.Network) (*Process, error) {
	wire.Build(
		telemetry.NewRegistry,
		provideRing,
		provideLogger,
		provideStore,
		provideSidecar,
		provideListeners,
		provideAdmin,
		wire.Struct(new(Process), "*"),
	)
	return nil, nil
}
