package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// drainPollInterval is the time between two checks whether the drain is done.
	drainPollInterval = 50 * time.Millisecond
	// minDrainTime is the minimum time for which a stopping node keeps serving: the platform takes
	// that long to direct callers to another node.
	minDrainTime = 2300 * time.Millisecond
	// minDrainGraceShare bounds minDrainTime by a fraction of the grace time, for short
	// grace times.
	minDrainGraceShare = 0.4
	// quietPeriod is the time without a call after which no more calls are expected.
	quietPeriod = 600 * time.Millisecond
	// announceShare is the fraction of the grace time after which peers are notified to send no
	// more requests. Until then the back end's slots are still useful, since local callers keep
	// arriving for about that long.
	announceShare = 0.3
	// acceptShare is the fraction of the grace time in which new calls are accepted. By then
	// the platform has directed callers elsewhere, unless most nodes of the zone are down; in
	// that case the sooner this node restarts the better.
	acceptShare = 0.4
	// cutoffMargin is the time before the forced end at which the remaining requests are cancelled.
	cutoffMargin = 900 * time.Millisecond
	// withdrawTimeout bounds the removal of the node's record from the store.
	withdrawTimeout = 300 * time.Millisecond
)

// Drain performs the planned stop of the node: it stops being ready, notifies its peers, and serves
// further requests until none arrive or the grace time is nearly over. The caller closes the
// listeners afterwards.
func (s *Sidecar) Drain() {
	started := clock.Now()
	s.stopping.Store(true)
	s.egress.Stop()
	s.ingress.Stop()
	plan := stopPlan{grace: s.settings.Load().Grace}
	s.egress.RefuseFrom(started.Add(plan.acceptUntil()))
	announcement := time.AfterFunc(time.Duration(float64(plan.grace)*announceShare), s.announceLeaving)
	defer announcement.Stop()
	s.logger.Info("stop begins", zap.Int("callsInFlight", s.egress.InFlight()), zap.Int("running", s.ingress.Load().Running))
	plan.waitIdle(started, s)
	s.egress.CancelCalls()
	s.withdraw()
	s.logger.Info("stop ends", zap.Int("callsInFlight", s.egress.InFlight()),
		zap.Int("running", s.ingress.Load().Running), zap.Duration("elapsed", clock.Since(started)))
}

// announceLeaving notifies the peers to send no more requests to the back end.
func (s *Sidecar) announceLeaving() {
	s.repeats.Close()
	s.quota.Close() // peers that learn that the node is leaving assume that its quota is closed
	s.members.Update(func(record roster.Record) (roster.Record, bool) {
		record.Leaving = true
		return record, true
	})
	s.broadcastRecord(context.Background())
}

// inFlight returns the number of requests in flight, outbound and inbound.
func (s *Sidecar) inFlight() int { return s.egress.InFlight() + s.ingress.InFlight() }

// lastCall returns when the last call arrived.
func (s *Sidecar) lastCall() time.Time { return s.egress.LastCall() }

// rejectNew makes both sides reject all requests from now on.
func (s *Sidecar) rejectNew() {
	s.egress.RefuseFrom(clock.Now())
	s.ingress.RejectNew()
}

// stopPlan is the schedule of a planned stop. Times count from its start.
type stopPlan struct {
	// grace is the time until the process is killed.
	grace time.Duration
}

// acceptUntil returns how long new calls are accepted.
func (p stopPlan) acceptUntil() time.Duration { return time.Duration(float64(p.grace) * acceptShare) }

// minimum returns how long the node keeps serving at least, for calls that still arrive.
func (p stopPlan) minimum() time.Duration {
	return min(minDrainTime, time.Duration(float64(p.grace)*minDrainGraceShare))
}

// cutoff returns when the remaining requests are cancelled.
func (p stopPlan) cutoff() time.Duration { return p.grace - cutoffMargin }

// done reports whether the drain is done after the elapsed time: either the cutoff is reached, or
// nothing is in flight, the minimum has passed, and no call has arrived for quietPeriod or new
// calls are rejected anyway.
func (p stopPlan) done(elapsed time.Duration, idle bool, sinceCall time.Duration) bool {
	switch {
	case elapsed >= p.cutoff():
		return true
	case !idle || elapsed < p.minimum():
		return false
	}
	return sinceCall >= quietPeriod || elapsed >= p.acceptUntil()
}

// drainable is the part of a node that a planned stop uses.
type drainable interface {
	inFlight() int
	lastCall() time.Time
	rejectNew()
}

// waitIdle returns when the node may close its listeners. Peers may still send requests: once the
// node is found idle it rejects new ones, and those that arrived before that are still served.
func (p stopPlan) waitIdle(started time.Time, node drainable) {
	for !p.done(clock.Since(started), node.inFlight() == 0, clock.Since(node.lastCall())) {
		time.Sleep(drainPollInterval)
	}
	node.rejectNew()
	for node.inFlight() > 0 && clock.Since(started) < p.cutoff() {
		time.Sleep(drainPollInterval)
	}
}

// withdraw removes the node's record from the store if its back end has ended for good: neither
// returns under this name.
func (s *Sidecar) withdraw() {
	if !s.members.Own().Gone() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := s.membership.Withdraw(ctx); err != nil {
		s.logger.Warn("record of the node not deleted from the store", zap.Error(err))
	}
}
