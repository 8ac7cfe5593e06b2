package egress

import (
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ratelimit"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

var (
	errLimited = errors.New("no back end's rate limit has capacity for the request in time")
	errLeaving = errors.New("all back ends of the service are leaving")
)

// limitReport holds what responses said about the rate limit of a back end. It is immutable except
// for the estimate.
type limitReport struct {
	*ratelimit.Estimate
	// endpoint is the back end that the responses came from.
	endpoint roster.Incarnation
	// perSecond is the rate that was reported last.
	perSecond float64
}

// matches reports whether the report is about the record's back end. A restart of the sidecar next
// to it changes nothing: that sidecar has to learn the limit.
func (r *limitReport) matches(record *roster.Record) bool {
	return r.endpoint == record.Endpoint.Incarnation()
}

// leavingReport holds the incarnation of a back end that announced in a response that it is
// leaving, and since when that is known.
type leavingReport struct {
	incarnation string
	since       time.Time
}

// class returns the request's class in the rate limit estimate.
func (c *call) class() ratelimit.Class { return ratelimit.ClassOf(c.nested, c.priority()) }

// observeNotices records the leaving notice and the rate limit that a response carries.
func (a *attempt) observeNotices(header http.Header, now time.Time) {
	if leaving := header.Get(hop.HeaderLeaving); leaving != "" {
		a.target.markLeaving(leaving, now)
	}
	line := header.Get(hop.HeaderLimit)
	if line == "" {
		if header.Get(outcome.HeaderOutcome) == "" {
			a.target.clearLimit()
		}
		return
	}
	reported, err := hop.ParseLimit(line)
	if err != nil {
		a.call.handler.options.Logger.Warn("invalid rate limit in a response", zap.String("peer", a.target.node), zap.Error(err))
		return
	}
	a.target.setLimit(reported, a.record, a.call.class(), now)
}

// markLeaving records that an incarnation is leaving.
func (t *target) markLeaving(incarnation string, now time.Time) {
	if current := t.leaving.Load(); current == nil || current.incarnation != incarnation {
		t.leaving.Store(&leavingReport{incarnation: incarnation, since: now})
	}
}

// leavingFor reports whether the record's back end is known to be leaving, and for how long.
func (t *target) leavingFor(record *roster.Record, now time.Time) (age time.Duration, leaves bool) {
	report := t.leaving.Load()
	if report == nil || report.incarnation != record.Endpoint.Incarnation().String() {
		return 0, false
	}
	return now.Sub(report.since), true
}

// clearLimit records that a response of the back end carried no limit. It is not called for a
// refusal by the sidecar itself, which may have just started and not know the limit yet.
func (t *target) clearLimit() {
	if t.limit.Load() != nil {
		t.limit.Store(nil)
	}
}

// setLimit records the limit that a response reported.
func (t *target) setLimit(reported hop.Limit, record *roster.Record, class ratelimit.Class, now time.Time) {
	next := &limitReport{endpoint: record.Endpoint.Incarnation(), perSecond: reported.PerSecond}
	if known := t.limitOf(record); known != nil {
		next.Estimate = known.Estimate
		next.Update(reported.PerSecond, reported.Remaining, class, now)
	} else {
		next.Estimate = ratelimit.NewEstimate(reported.PerSecond, reported.Remaining, class, now)
	}
	t.limit.Store(next)
}

// limitOf returns the known limit of the record's back end, nil for none.
func (t *target) limitOf(record *roster.Record) *limitReport {
	if report := t.limit.Load(); report != nil && report.matches(record) {
		return report
	}
	return nil
}

// setLimitHeader adds the known limit of the back end to a request, for the case that the sidecar
// next to it has restarted.
func (a *attempt) setLimitHeader(header http.Header) {
	if limit := a.target.limitOf(a.record); limit != nil {
		header[hop.HeaderLimit] = []string{hop.Limit{PerSecond: limit.perSecond}.Format()}
	}
}

// applyNotices adds the back end's notices to its description: a candidate is closed when its limit
// has no capacity in time or it has left.
func (s *candidateSet) applyNotices(described *choice.Candidate, peer *target, record *roster.Record) {
	if age, leaves := peer.leavingFor(record, s.now); leaves {
		described.Draining = true
		described.Excluded = age >= s.call.handler.options.DrainAfter()
	}
	limit := peer.limitOf(record)
	if limit == nil {
		return
	}
	described.Wait = limit.Wait(s.call.class(), s.now)
	if described.Wait > 0 && described.Wait > s.nextMaxWait(described.ServiceTime) {
		described.Excluded = true
		s.limitExceeded = true
	}
}

// nextMaxWait returns how long the request may wait at the next node.
func (s *candidateSet) nextMaxWait(work time.Duration) time.Duration {
	request := s.call.choiceRequest(clock.Until(s.call.deadline), work)
	return s.call.maxWait(request, len(s.call.attempts), s.ready)
}

// closedFailure returns the failure of a call whose candidates are all closed. If rate limits are
// the reason, its Retry-After is the time until one has capacity.
func (s *candidateSet) closedFailure() *outcome.Failure {
	wait, limited := s.shortestWait()
	if !limited {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, defaultRetryAfter, errLeaving)
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepLimit, wait, errLimited)
}

// retryAfterLimit returns the Retry-After of a request whose last attempt a rate limit refused: the time
// until any back end of the service is expected to have capacity. While other nodes may still be unknown
// it is short.
func (c *call) retryAfterLimit(last result) time.Duration {
	wait := last.failure.RetryAfter
	if c.handler.options.Search() {
		return min(wait, defaultRetryAfter)
	}
	if last.target != nil {
		if shortest, limited := c.candidateSet(clock.Now(), c.selection()).shortestWait(); limited {
			wait = shortest
		}
	}
	if soonest := c.attempts.soonestRetry(); soonest > 0 {
		wait = min(wait, c.clampRetryAfter(soonest))
	}
	return wait
}

// shortestWait returns the shortest time until a back end's limit has capacity for the caller and for
// those that were refused before; false when none has a limit.
func (s *candidateSet) shortestWait() (wait time.Duration, limited bool) {
	class := s.call.class()
	var soonest *limitReport
	for considered := s.subset; considered != nil; considered = considered.next {
		for _, record := range considered.records {
			peer := s.call.handler.targets.forRecord(record)
			limit := peer.limitOf(record)
			if _, leaves := peer.leavingFor(record, s.now); limit == nil || leaves || !record.AcceptsWork() {
				continue
			}
			if next := limit.NextRetryAfter(class, s.now); soonest == nil || next < wait {
				soonest, wait = limit, next
			}
		}
	}
	if soonest == nil {
		return 0, false
	}
	return soonest.RetryAfter(class, s.now), true
}
