package sidecar

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quarantine"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// broadcastTimeout bounds how long a broadcast of the node's record waits until another node has
// received it. The change takes effect on this node in any case.
const broadcastTimeout = 400 * time.Millisecond

// identityTimeout bounds the question for the back end's id. The back end is on the same machine and
// answers at once, unless the question waits for a slot.
const identityTimeout = 100 * time.Millisecond

// Heartbeat handles a heartbeat of the back end. If the heartbeat puts the back end into a state
// other than ready, the call returns once another node has received the change, or after
// broadcastTimeout: the change must survive the end of this process. An error means that the
// heartbeat does not come from the local back end.
func (s *Sidecar) Heartbeat(ctx context.Context, beat roster.Heartbeat) error {
	if service := s.settings.Load().Service; service != "" && beat.Service != service {
		s.logRefusedHeartbeat(&beat, roster.RefusedService)
		return trace.BadParameter("info.service: %q is not this machine's service, %q", beat.Service, service)
	}
	beat.Identity = s.identify(ctx, &beat)
	var refusal roster.Refusal
	own, changed := s.members.Update(func(record roster.Record) (next roster.Record, changed bool) {
		now := clock.Now()
		next, changed, refusal = s.incarnations.ApplyHeartbeat(record, beat, now)
		if refusal == "" {
			s.recordHeartbeat(&beat, now)
		}
		return next, changed
	})
	switch {
	case refusal != "":
		s.logRefusedHeartbeat(&beat, refusal)
	case !changed:
	case own.Endpoint.State == roster.Ready:
		go s.broadcastRecord(context.WithoutCancel(ctx))
	default:
		s.broadcastRecord(ctx)
	}
	return nil
}

// identify asks the back end whether it has the id in a heartbeat, unless the heartbeat is of the
// current incarnation or of one that has ended.
func (s *Sidecar) identify(ctx context.Context, beat *roster.Heartbeat) roster.Identity {
	own := s.members.Own()
	if own.HasEnded(beat.Incarnation()) || (own.Endpoint != nil && own.Endpoint.Incarnation() == beat.Incarnation()) {
		return roster.IdentityUnknown
	}
	return s.askIdentity(ctx, beat.ID)
}

// askIdentity asks the back end whether it has the id. Where no configuration is in force yet, it
// first waits for one, since that names the health check.
func (s *Sidecar) askIdentity(ctx context.Context, id string) roster.Identity {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	select {
	case <-s.configured:
	case <-ctx.Done():
	}
	reported, err := s.ingress.ReportedInstance(ctx)
	switch {
	case err != nil:
		s.logger.Info("back end's id not known", zap.String("endpoint", id), zap.Error(err))
		return roster.IdentityUnknown
	case reported != id:
		return roster.IdentityRefuted
	}
	return roster.IdentityConfirmed
}

// verifyBackend asks the back end for its id if it was not known when its first heartbeat was taken,
// and drops it if the back end has another one.
func (s *Sidecar) verifyBackend() {
	var unverified *roster.Endpoint
	s.members.Update(func(record roster.Record) (roster.Record, bool) {
		unverified = s.incarnations.TakeUnverified(record)
		return record, false
	})
	if unverified == nil || s.askIdentity(context.Background(), unverified.ID) != roster.IdentityRefuted {
		return
	}
	_, dropped := s.members.Update(func(record roster.Record) (roster.Record, bool) {
		return record.WithoutEndpoint(unverified.Incarnation())
	})
	if dropped {
		s.logRefusedHeartbeat(&roster.Heartbeat{Endpoint: *unverified}, roster.RefusedInstance)
		s.broadcastRecord(context.Background())
	}
}

// recordHeartbeat records what a heartbeat of the local back end says besides its record.
func (s *Sidecar) recordHeartbeat(beat *roster.Heartbeat, now time.Time) {
	s.lastHeartbeat.Store(clock.Stamp(now))
	if beat.WarmupLeft > 0 {
		s.warmedUp.Store(clock.Stamp(now.Add(beat.WarmupLeft)))
		s.ingress.SetWarmupRemaining(beat.WarmupLeft)
	}
}

// logRefusedHeartbeat logs and counts a heartbeat that does not count.
func (s *Sidecar) logRefusedHeartbeat(beat *roster.Heartbeat, refusal roster.Refusal) {
	s.metrics.refusedHeartbeats.WithLabelValues(string(refusal)).Inc()
	s.logger.Warn("heartbeat refused", zap.String("endpoint", beat.Incarnation().String()), zap.String("service", beat.Service),
		zap.Uint64("sequence", beat.Sequence), zap.String("reason", string(refusal)))
}

// handleDrainNotice marks the back end as draining after it announced so in an answer, with the
// same effect as a heartbeat.
func (s *Sidecar) handleDrainNotice(of roster.Incarnation) {
	_, changed := s.members.Update(func(record roster.Record) (roster.Record, bool) { return record.MarkDraining(of) })
	if changed {
		go s.broadcastRecord(context.Background())
	}
}

// confirmInstance confirms the instance id that the back end itself reports.
func (s *Sidecar) confirmInstance(id string) {
	_, changed := s.members.Update(func(record roster.Record) (roster.Record, bool) {
		return s.incarnations.Confirm(record, id, clock.Now())
	})
	if changed {
		go s.broadcastRecord(context.Background())
	}
}

// crashRecorder passes crashes of the back end to the quarantine and marks the crashed incarnation
// as lost, so that the next one to send a heartbeat replaces it at once.
type crashRecorder struct {
	*quarantine.Quarantine
	sidecar *Sidecar
}

// RecordCrash implements ingress.Quarantine.
func (c *crashRecorder) RecordCrash(crash roster.Crash) {
	c.Quarantine.RecordCrash(crash)
	c.sidecar.members.Update(func(record roster.Record) (roster.Record, bool) {
		c.sidecar.incarnations.MarkLost(record, crash.Endpoint)
		return record, false
	})
}

// Deregister records that a back end has ended for good, and notifies the peers.
func (s *Sidecar) Deregister(ctx context.Context, ended roster.Incarnation) {
	_, changed := s.members.Update(func(record roster.Record) (roster.Record, bool) { return record.MarkEnded(ended) })
	if changed {
		s.broadcastRecord(ctx)
	}
}

// broadcastRecord sends the node's own record to the peers and returns when the first of them has
// received it, or after broadcastTimeout.
func (s *Sidecar) broadcastRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), broadcastTimeout)
	context.AfterFunc(ctx, cancel)
	s.exchanger.BroadcastUntilFirst(ctx)
}

// crashBroadcastWait bounds how long the requests that were active when a back end crashed wait
// until the peers know. Connected peers receive the record within a few milliseconds.
const crashBroadcastWait = 250 * time.Millisecond

// broadcastAndWait sends the node's own record to the peers and returns when the broadcast is
// complete, or after crashBroadcastWait; the broadcast then continues in the background.
func (s *Sidecar) broadcastAndWait() {
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
		defer cancel()
		s.exchanger.Broadcast(ctx)
	}()
	timer := clock.NewTimer(crashBroadcastWait)
	defer timer.Stop()
	select {
	case <-delivered:
	case <-timer.C:
	}
}

// heartbeatAge returns the seconds since the last heartbeat; negative before the first.
func (s *Sidecar) heartbeatAge() float64 {
	last := s.lastHeartbeat.Load()
	if last == 0 {
		return -1
	}
	return clock.Since(clock.At(last)).Seconds()
}
