package controlhost

import (
	"context"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution/control"
)

// minStopDuration is how long a stopping host stays at the least, so that its
// announcement that it leaves goes out.
const minStopDuration = 200 * time.Millisecond

// Stop announces that the daemon leaves, gives a reader slot back, asks the
// children to move on and turns new ones away. It returns when no child is
// left, at the latest after the grace period, when the streams that remain are
// closed: their children move on then.
func (h *Host) Stop(ctx context.Context, grace time.Duration) error {
	if err := h.submitAndWait(ctx, func(now time.Time) control.Outputs { return h.stop(ctx, now) }); err != nil {
		return err
	}
	announcementSent := time.After(minStopDuration)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-h.drained:
		select {
		case <-announcementSent:
		case <-ctx.Done():
		}
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return h.submitAndWait(context.WithoutCancel(ctx), func(time.Time) control.Outputs {
		h.closeSessions()
		return control.Outputs{}
	})
}

func (h *Host) stop(ctx context.Context, now time.Time) control.Outputs {
	h.stopping = true
	h.signalDrained()
	h.local.announceLeaving(ctx, now)
	return h.core.Stop(now)
}

// signalDrained closes emptied once, when a stopping host has no child left.
func (h *Host) signalDrained() {
	if !h.stopping || len(h.sessions) > 0 {
		return
	}
	select {
	case <-h.drained:
	default:
		close(h.drained)
	}
}
