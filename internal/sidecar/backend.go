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

// broadcastTimeout bounds how long a back end's word waits until another node has
// heard it. The word counts in any case.
const broadcastTimeout = 400 * time.Millisecond

// Heartbeat takes in what the back end says. When it says that it is leaving,
// the call returns once another node knows, or after a short time: the word
// must outlive this process. An error says that the word is not of the back end.
func (s *Sidecar) Heartbeat(ctx context.Context, beat roster.Heartbeat) error {
	if !s.servesService(beat.Service) {
		err := trace.BadParameter("info.service: %q is neither this machine's service nor one of the configuration", beat.Service)
		s.logger.Warn("heartbeat refused", zap.String("endpoint", beat.ID), zap.Error(err))
		return err
	}
	now := clock.Now()
	s.lastHeartbeat.Store(clock.Stamp(now))
	if beat.WarmupLeft > 0 {
		s.warmedUp.Store(clock.Stamp(now.Add(beat.WarmupLeft)))
		s.ingress.SetWarmupRemaining(beat.WarmupLeft)
	}
	own, changed := s.members.Update(func(record roster.Record) (roster.Record, bool) {
		return s.incarnations.ApplyHeartbeat(record, beat, clock.Now())
	})
	switch {
	case !changed:
	case own.Endpoint.State == roster.Ready:
		go s.broadcastRecord(context.WithoutCancel(ctx))
	default:
		s.broadcastRecord(ctx)
	}
	return nil
}

// servesService reports whether a back end of the service may be beside this node.
func (s *Sidecar) servesService(service string) bool {
	own := s.options.Settings.Service
	if own == "" || service == own {
		return true
	}
	table := s.keeper.Table()
	return table != nil && table.Service(service) != nil
}

// handleDrainNotice takes in that the back end handleDrainNotice by what an answer says, as if a heartbeat had said so.
func (s *Sidecar) handleDrainNotice(of roster.Incarnation) {
	_, changed := s.members.Update(func(record roster.Record) (roster.Record, bool) { return record.MarkDraining(of) })
	if changed {
		go s.broadcastRecord(context.Background())
	}
}

// confirmInstance takes in the id that the back end itself gives.
func (s *Sidecar) confirmInstance(id string) {
	_, changed := s.members.Update(func(record roster.Record) (roster.Record, bool) {
		return s.incarnations.Confirm(record, id, clock.Now())
	})
	if changed {
		go s.broadcastRecord(context.Background())
	}
}

// crashRecorder passes the ends of the back end on to the quarantine, and lets the next one that
// makes itself known take its place at once.
type crashRecorder struct {
	*quarantine.Quarantine
	sidecar *Sidecar
}

// Ended implements ingress.Quarantine.
func (g *crashRecorder) Ended(crash roster.Crash) {
	g.Quarantine.Ended(crash)
	g.sidecar.members.Update(func(record roster.Record) (roster.Record, bool) {
		g.sidecar.incarnations.MarkLost(record, crash.Endpoint)
		return record, false
	})
}

// Ended takes in that a back end ends for good.
func (s *Sidecar) Ended(ctx context.Context, ended roster.Incarnation) {
	_, changed := s.members.Update(func(record roster.Record) (roster.Record, bool) { return record.MarkEnded(ended) })
	if changed {
		s.broadcastRecord(ctx)
	}
}

// broadcastRecord tells the peers of the own record and returns when one of them knows,
// or none can be told in time.
func (s *Sidecar) broadcastRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), broadcastTimeout)
	context.AfterFunc(ctx, cancel)
	s.exchanger.BroadcastUntilFirst(ctx)
}

// crashBroadcastWait bounds how long the requests under which a back end has ended wait until the
// peers know. Peers in touch hear within some milliseconds.
const crashBroadcastWait = 250 * time.Millisecond

// broadcastAndWait tells the peers of the own record and returns when all that are told know, or after
// tellTimeout. The telling goes on then.
func (s *Sidecar) broadcastAndWait() {
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
		defer cancel()
		s.exchanger.Broadcast(ctx)
	}()
	timer := time.NewTimer(crashBroadcastWait)
	defer timer.Stop()
	select {
	case <-delivered:
	case <-timer.C:
	}
}

// heartbeatAge returns the seconds since the last heartbeat, below zero before
// the first.
func (s *Sidecar) heartbeatAge() float64 {
	last := s.lastHeartbeat.Load()
	if last == 0 {
		return -1
	}
	return clock.Since(clock.At(last)).Seconds()
}
