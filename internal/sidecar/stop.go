package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// drainPollInterval is the time between two looks at whether a stop is done.
	drainPollInterval = 50 * time.Millisecond
	// minDrainTime is how long a stopping node serves at least: so long the
	// platform takes to lead callers elsewhere.
	minDrainTime = 2300 * time.Millisecond
	// minDrainGraceShare bounds that time where the grace time is short.
	minDrainGraceShare = 0.4
	// quietPeriod is the time without a call after which no more are expected.
	quietPeriod = 600 * time.Millisecond
	// announceShare is the part of the grace time after which peers are told to
	// send no more requests: until then the back end's slots are still of use,
	// since callers of this machine come for about as long.
	announceShare = 0.3
	// acceptShare is the part of the grace time in which new calls are taken. The
	// platform has led callers elsewhere before, unless most nodes of the zone are
	// away; then the sooner this one is back the better.
	acceptShare = 0.4
	// cutoffMargin is how long before the forced end what is left is cut.
	cutoffMargin = 900 * time.Millisecond
	// withdrawTimeout bounds the last word to the store.
	withdrawTimeout = 300 * time.Millisecond
)

// Drain brings the node to its planned stop: it is no longer ready, tells its
// peers, and serves what still comes until nothing does or the time is nearly
// over. The listeners are to be closed after that.
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

// announceLeaving tells the peers to send no more requests for the back end.
func (s *Sidecar) announceLeaving() {
	s.repeats.Close()
	s.quota.Close() // who hears that the node leaves takes it for closed
	s.members.Update(func(record roster.Record) (roster.Record, bool) {
		record.Leaving = true
		return record, true
	})
	s.broadcastRecord(context.Background())
}

// inFlight returns how many requests there are on either side.
func (s *Sidecar) inFlight() int { return s.egress.InFlight() + s.ingress.InFlight() }

// lastCall returns when a caller last came.
func (s *Sidecar) lastCall() time.Time { return s.egress.LastCall() }

// rejectNew has both sides rejectNew whatever comes from now on.
func (s *Sidecar) rejectNew() {
	s.egress.RefuseFrom(clock.Now())
	s.ingress.RejectNew()
}

// stopPlan says what happens when in a planned stop. Times count from its
// beginning.
type stopPlan struct {
	// grace is the time until the forced end.
	grace time.Duration
}

// acceptUntil returns until when new calls are taken.
func (p stopPlan) acceptUntil() time.Duration { return time.Duration(float64(p.grace) * acceptShare) }

// minimum returns how long the node stays at minimum, for calls that still come.
func (p stopPlan) minimum() time.Duration {
	return min(minDrainTime, time.Duration(float64(p.grace)*minDrainGraceShare))
}

// cutoff returns when what is left is cut.
func (p stopPlan) cutoff() time.Duration { return p.grace - cutoffMargin }

// done reports whether the stop is done after the elapsed time: nothing is under
// way, and either no call has come for a while or all are refused anyhow. What
// is still under way near the forced end is cut.
func (p stopPlan) done(elapsed time.Duration, idle bool, sinceCall time.Duration) bool {
	switch {
	case elapsed >= p.cutoff():
		return true
	case !idle || elapsed < p.minimum():
		return false
	}
	return sinceCall >= quietPeriod || elapsed >= p.acceptUntil()
}

// drainable is what a planned stop needs of the node.
type drainable interface {
	inFlight() int
	lastCall() time.Time
	rejectNew()
}

// waitIdle returns when the node may close its listeners. Peers may still send: from
// the moment it is found idle everything is refused, and what came in before that
// is still served.
func (p stopPlan) waitIdle(started time.Time, node drainable) {
	for !p.done(clock.Since(started), node.inFlight() == 0, clock.Since(node.lastCall())) {
		time.Sleep(drainPollInterval)
	}
	node.rejectNew()
	for node.inFlight() > 0 && clock.Since(started) < p.cutoff() {
		time.Sleep(drainPollInterval)
	}
}

// withdraw removes the node's key when its back end has ended: neither comes
// back under this name.
func (s *Sidecar) withdraw() {
	if !s.members.Own().Gone() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := s.membership.Withdraw(ctx); err != nil {
		s.logger.Warn("record not withdrawn", zap.Error(err))
	}
}
