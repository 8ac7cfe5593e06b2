package agent

import (
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/agent/attachment"
	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// newAnnouncer returns the authority of the settings' back end, which is down
// until its health is known.
func newAnnouncer(node distribution.Node, backend *settings.Backend, inboundAddress string, logger *zap.Logger) *attachment.Announcer {
	if backend == nil {
		return attachment.NewAnnouncer(nil, logger)
	}
	return attachment.NewAnnouncer(&endpoint.Update{
		ID:          endpoint.ID{Service: backend.Service, Name: backend.Endpoint},
		Incarnation: node.Incarnation,
		State:       endpoint.Down,
		Zone:        node.Zone,
		Address:     inboundAddress,
		Labels:      backend.Labels,
	}, logger)
}
