package controlhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/control"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// uplink is the current connection attempt or stream to a parent or peer.
type uplink struct {
	link *stream.Link
}

func (h *Host) performUplinkOutput(ctx context.Context, output control.UplinkOutput) {
	if output.Disconnect {
		h.disconnect(output.Uplink)
	}
	if output.Connect != nil {
		h.connect(ctx, output.Uplink, *output.Connect)
	}
	if current := h.links[output.Uplink]; current != nil && output.Report != nil {
		current.link.Report(*output.Report)
	}
}

func (h *Host) disconnect(name string) {
	if current := h.links[name]; current != nil {
		current.link.Close()
		delete(h.links, name)
	}
}

// connect replaces the uplink's current attempt or stream with a new attempt.
func (h *Host) connect(ctx context.Context, name string, request subscriber.Connect) {
	h.disconnect(name)
	opened := &uplink{}
	h.links[name] = opened
	peer := zap.String(telemetry.PeerField, request.Parent.Node)
	step := func(next input) { h.submitUplinkInput(ctx, name, opened, next) }
	opened.link = h.client.Link(ctx, request.Parent.Address, request.Hello, stream.LinkEvents{
		Connected: func() {
			h.logger.Info("attached", peer)
			step(func(now time.Time) control.Outputs { return h.core.UplinkConnected(now, name) })
		},
		Received: func(message *distribution.Message) {
			step(func(now time.Time) control.Outputs {
				outputs := h.core.UplinkReceived(now, name, message)
				h.publish(message.Entries)
				return outputs
			})
		},
		Refused: func(refused *stream.RefusedError) {
			h.logger.Info("refused", peer, telemetry.Error(refused))
			step(func(now time.Time) control.Outputs { return h.core.UplinkRefused(now, name, refused.RetryAfter) })
		},
		Lost: func(err error) {
			h.logger.Info("stream failed", peer, telemetry.Error(err))
			step(func(now time.Time) control.Outputs { return h.core.UplinkDisconnected(now, name, err) })
		},
	})
}

// submitUplinkInput submits an input of one attempt. The input is dropped if
// another attempt has replaced it.
func (h *Host) submitUplinkInput(ctx context.Context, name string, from *uplink, next input) {
	_ = h.submit(ctx, func(now time.Time) control.Outputs {
		if h.links[name] != from {
			return control.Outputs{}
		}
		return next(now)
	})
}
