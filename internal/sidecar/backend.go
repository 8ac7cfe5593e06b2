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

// spreadTimeout bounds how long a back end's word waits until another node has
// heard it. The word counts in any case.
const spreadTimeout = 400 * time.Millisecond

// Heartbeat takes in what the back end says. When it says that it is leaving,
// the call returns once another node knows, or after a short time: the word
// must outlive this process. An error says that the word is not of the back end.
func (s *Sidecar) Heartbeat(ctx context.Context, beat roster.Heartbeat) error {
	if !s.knows(beat.Service) {
		err := trace.BadParameter("info.service: %q is neither this machine's service nor one of the configuration", beat.Service)
		s.logger.Warn("heartbeat refused", zap.String("endpoint", beat.ID), zap.Error(err))
		return err
	}
	now := clock.Now()
	s.lastBeat.Store(clock.Stamp(now))
	if beat.WarmupLeft > 0 {
		s.warm.Store(clock.Stamp(now.Add(beat.WarmupLeft)))
		s.ingress.SetWarmupRemaining(beat.WarmupLeft)
	}
	own, changed := s.members.Update(func(record roster.Record) (roster.Record, bool) {
		return s.claims.ApplyHeartbeat(record, beat, clock.Now())
	})
	switch {
	case !changed:
	case own.Endpoint.State == roster.Ready:
		go s.spread(context.WithoutCancel(ctx))
	default:
		s.spread(ctx)
	}
	return nil
}

// knows reports whether a back end of the service may be beside this node.
func (s *Sidecar) knows(service string) bool {
	own := s.options.Settings.Service
	if own == "" || service == own {
		return true
	}
	table := s.keeper.Table()
	return table != nil && table.Service(service) != nil
}

// leaves takes in that the back end leaves by what an answer says, as if a heartbeat had said so.
func (s *Sidecar) leaves(of roster.Incarnation) {
	_, changed := s.members.Update(func(record roster.Record) (roster.Record, bool) { return record.MarkDraining(of) })
	if changed {
		go s.spread(context.Background())
	}
}

// identified takes in the id that the back end itself gives.
func (s *Sidecar) identified(id string) {
	_, changed := s.members.Update(func(record roster.Record) (roster.Record, bool) {
		return s.claims.Confirm(record, id, clock.Now())
	})
	if changed {
		go s.spread(context.Background())
	}
}

// guard passes the ends of the back end on to the quarantine, and lets the next one that
// makes itself known take its place at once.
type guard struct {
	*quarantine.Quarantine
	sidecar *Sidecar
}

// RecordCrash implements ingress.Quarantine.
func (g *guard) RecordCrash(crash roster.Crash) {
	g.Quarantine.RecordCrash(crash)
	g.sidecar.members.Update(func(record roster.Record) (roster.Record, bool) {
		g.sidecar.claims.MarkLost(record, crash.Endpoint)
		return record, false
	})
}

// Ended takes in that a back end ends for good.
func (s *Sidecar) Ended(ctx context.Context, ended roster.Incarnation) {
	_, changed := s.members.Update(func(record roster.Record) (roster.Record, bool) { return record.MarkEnded(ended) })
	if changed {
		s.spread(ctx)
	}
}

// spread tells the peers of the own record and returns when one of them knows,
// or none can be told in time.
func (s *Sidecar) spread(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
	context.AfterFunc(ctx, cancel)
	s.exchanger.BroadcastUntilFirst(ctx)
}

// tellTimeout bounds how long the requests under which a back end has ended wait until the
// peers know. Peers in touch hear within some milliseconds.
const tellTimeout = 250 * time.Millisecond

// tell tells the peers of the own record and returns when all that are told know, or after
// tellTimeout. The telling goes on then.
func (s *Sidecar) tell() {
	told := make(chan struct{})
	go func() {
		defer close(told)
		ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
		defer cancel()
		s.exchanger.Broadcast(ctx)
	}()
	timer := time.NewTimer(tellTimeout)
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
	}
}

// heartbeatAge returns the seconds since the last heartbeat, below zero before
// the first.
func (s *Sidecar) heartbeatAge() float64 {
	last := s.lastBeat.Load()
	if last == 0 {
		return -1
	}
	return clock.Since(clock.At(last)).Seconds()
}
