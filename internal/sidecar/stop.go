package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// Drain performs the planned stop of the node: it stops being ready, notifies its peers, and serves
// further requests until none arrive or the grace time is nearly over. The caller closes the
// listeners afterwards; closeBy is the time at which it cuts off what is still open.
func (s *Sidecar) Drain() (closeBy time.Time) {
	started := clock.Now()
	s.stopping.Store(true)
	plan := stopPlan{grace: s.settings.Load().Grace}
	s.egress.Stop()
	s.ingress.Stop(started.Add(plan.cutoff()))
	s.egress.RefuseFrom(started.Add(plan.acceptUntil()))
	s.egress.AcceptNestedUntil(started.Add(plan.cutoff()))
	announcement := time.AfterFunc(plan.announceAt(), s.announceLeaving)
	defer announcement.Stop()
	s.logger.Info("stop begins", zap.Int("callsInFlight", s.egress.InFlight()), zap.Int("running", s.ingress.Load().Running))
	plan.waitIdle(started, s)
	cancelled := s.egress.InFlight()
	s.egress.CancelCalls()
	s.withdraw(started.Add(plan.closeBy(clock.Since(started), withdrawTimeout)))
	s.logger.Info("stop ends", zap.Int("callsInFlight", cancelled),
		zap.Int("running", s.ingress.Load().Running), zap.Duration("elapsed", clock.Since(started)))
	return started.Add(plan.closeBy(clock.Since(started), closeTimeout))
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

// withdraw removes the node's record from the store if its back end has ended for good: neither
// returns under this name.
func (s *Sidecar) withdraw(until time.Time) {
	if !s.members.Own().Gone() {
		return
	}
	ctx, cancel := clock.WithDeadline(context.Background(), until)
	defer cancel()
	if err := s.membership.Withdraw(ctx); err != nil {
		s.logger.Warn("record of the node not deleted from the store", zap.Error(err))
	}
}
