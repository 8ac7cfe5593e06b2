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
	errLimited = errors.New("no back end's limit has room for the request in time")
	errLeaving = errors.New("the back ends of the service are leaving")
)

// limitReport is what replies said of the limit of a back end. It is immutable but for the estimate.
type limitReport struct {
	*ratelimit.Estimate
	// endpoint is the back end that the replies came from.
	endpoint roster.Incarnation
	// perSecond is the rate that was told last.
	perSecond float64
}

// of reports whether the report is of the back end that the record tells of. Another life of the node beside
// it changes nothing: that node has to learn of the limit.
func (r *limitReport) matches(record *roster.Record) bool {
	return r.endpoint == record.Endpoint.Incarnation()
}

// leavingReport says since when an incarnation is known to leave by what an answer says.
type leavingReport struct {
	incarnation string
	since       time.Time
}

// class is the request's among those that a limit tells apart.
func (c *call) class() ratelimit.Class { return ratelimit.ClassOf(c.nested, c.priority()) }

// hearNotices takes in what a reply says that the back end asks for.
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
	told, err := hop.ParseLimit(line)
	if err != nil {
		a.call.handler.options.Logger.Warn("limit told by a node not read", zap.String("peer", a.target.node), zap.Error(err))
		return
	}
	a.target.setLimit(told, a.record, a.call.class(), now)
}

// leaves takes in that an incarnation leaves.
func (t *target) markLeaving(incarnation string, now time.Time) {
	if held := t.leaving.Load(); held == nil || held.incarnation != incarnation {
		t.leaving.Store(&leavingReport{incarnation: incarnation, since: now})
	}
}

// left reports whether the record's back end is known to leave, and for how long.
func (t *target) leavingFor(record *roster.Record, now time.Time) (age time.Duration, leaves bool) {
	held := t.leaving.Load()
	if held == nil || held.incarnation != record.Endpoint.Incarnation().String() {
		return 0, false
	}
	return now.Sub(held.since), true
}

// unlimited takes in that an answer of the back end came without a limit. A refusal by its node says nothing:
// that may have just started.
func (t *target) clearLimit() {
	if t.limit.Load() != nil {
		t.limit.Store(nil)
	}
}

// limited takes in what a reply told of the limit.
func (t *target) setLimit(told hop.Limit, record *roster.Record, class ratelimit.Class, now time.Time) {
	next := &limitReport{endpoint: record.Endpoint.Incarnation(), perSecond: told.PerSecond}
	if held := t.limitOf(record); held != nil {
		next.Estimate = held.Estimate
		next.Update(told.PerSecond, told.Room, class, now)
	} else {
		next.Estimate = ratelimit.NewEstimate(told.PerSecond, told.Room, class, now)
	}
	t.limit.Store(next)
}

// limitOf returns what is known of the limit of the record's back end, nil for none.
func (t *target) limitOf(record *roster.Record) *limitReport {
	if held := t.limit.Load(); held != nil && held.matches(record) {
		return held
	}
	return nil
}

// tellLimit adds to a request the limit that is known of its back end: the node beside it may have started
// since.
func (a *attempt) setLimitHeader(header http.Header) {
	if limit := a.target.limitOf(a.record); limit != nil {
		header[hop.HeaderLimit] = []string{hop.Limit{PerSecond: limit.perSecond}.Format()}
	}
}

// judgeNotices adds to a description what the back end asks for: one whose limit has no room in time, or
// that has left, is not sent to.
func (s *candidateSet) applyNotices(described *choice.Candidate, found *target, record *roster.Record) {
	if age, leaves := found.leavingFor(record, s.now); leaves {
		described.Leaving = true
		described.Closed = age >= s.call.handler.options.DrainAfter()
	}
	limit := found.limitOf(record)
	if limit == nil {
		return
	}
	described.Wait = limit.Wait(s.call.class(), s.now)
	if described.Wait > 0 && described.Wait > s.nextMaxWait(described.Work) {
		described.Closed = true
		s.limitExceeded = true
	}
}

// patience is how long the request may wait at the next node.
func (s *candidateSet) nextMaxWait(work time.Duration) time.Duration {
	request := s.call.choiceRequest(clock.Until(s.call.deadline), work)
	return s.call.maxWait(request, len(s.call.attempts), s.ready)
}

// closed returns the failure of a call whose candidates are all closed to it. Where limits are the
// reason it is told when there will be room.
func (s *candidateSet) closedFailure() *outcome.Failure {
	wait, limited := s.shortestWait()
	if !limited {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepDrain, defaultRetryAfter, errLeaving)
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepLimit, wait, errLimited)
}

// turn returns the shortest time in which a back end's limit will have room for the caller, false when
// none has a limit.
func (s *candidateSet) shortestWait() (wait time.Duration, limited bool) {
	class := s.call.class()
	var soonest *limitReport
	for _, record := range s.records {
		limit := s.call.handler.targets.forRecord(record).limitOf(record)
		if limit == nil || !record.AcceptsWork() {
			continue
		}
		if next := limit.Wait(class, s.now); soonest == nil || next < wait {
			soonest, wait = limit, next
		}
	}
	if soonest == nil {
		return 0, false
	}
	return soonest.RetryAfter(class, s.now), true
}
