package controlhost

import (
	"context"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution/control"
)

// minStopDuration is the minimum time that a host without children keeps running
// after Stop, so that its announcement that it leaves is sent.
const minStopDuration = 200 * time.Millisecond

// Stop announces that the daemon leaves, releases its reader slot, asks the
// children to attach elsewhere and refuses new ones. It returns when no child is
// left. After the grace period it closes the remaining streams, whose children
// then attach elsewhere.
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

// signalDrained closes drained once a stopping host has no child left.
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
