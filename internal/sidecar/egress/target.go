package egress

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/occupancy"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// target is another node as seen by this one: its connections, its last load report and its
// failures. All records of the node share it.
type target struct {
	node    string
	address string
	pool    *forward.Pool
	// inFlight counts the requests that this node has in flight there.
	inFlight atomic.Int64
	// avoidUntil is a clock.Stamp; zero for never.
	avoidUntil atomic.Int64
	failures   atomic.Int32
	// silent: the node has not answered the last probe.
	silent atomic.Bool
	report atomic.Pointer[loadReport]
	// limit and leaving hold the rate limit and the leaving notice that responses reported; nil
	// without one.
	limit   atomic.Pointer[limitReport]
	leaving atomic.Pointer[leavingReport]
	// outstanding holds the attempts that wait for a response.
	outstanding outstanding
}

// loadReport is the load that a response reported. It is immutable.
type loadReport struct {
	hop.Reply
	// epoch identifies the node's process and endpoint the back end that the response came from.
	epoch    uint64
	endpoint roster.Incarnation
	// others estimates the requests there that are not this node's.
	others     occupancy.Estimate
	receivedAt time.Time
}

const (
	// baseAvoidance is the time for which a target is avoided after its first failure; each further
	// one doubles it, up to maxAvoidance.
	baseAvoidance = 200 * time.Millisecond
	maxAvoidance  = 2 * time.Second
	// coldAvoidance is the time for which a target is avoided whose back end is warming up and has
	// reached its limit. Such a back end takes a few requests per second, so trying it several
	// times a second finds its free capacity.
	coldAvoidance = 250 * time.Millisecond
)

// matches reports whether the report comes from the record's back end and epoch. After a restart of
// either it is void.
func (r *loadReport) matches(record *roster.Record) bool {
	return r.epoch == record.Epoch && r.endpoint == record.Endpoint.Incarnation()
}

// observe records the load that a response reports, and returns how many requests of other nodes
// are there. The record is the one that the request was sent by.
func (t *target) observe(load hop.Reply, record *roster.Record, now time.Time) (others float64) {
	others = float64(load.Running+load.Waiting) - float64(t.inFlight.Load())
	for {
		before := t.report.Load()
		next := &loadReport{Reply: load, epoch: record.Epoch, endpoint: record.Endpoint.Incarnation(), receivedAt: now}
		if before != nil && before.matches(record) {
			next.others = before.others
		}
		next.others = next.others.After(others, record.Endpoint.Slots, load.HoldTime, now)
		if t.report.CompareAndSwap(before, next) {
			return others
		}
	}
}

// failed avoids the target for a while, longer after each consecutive failure.
func (t *target) failed(now time.Time) {
	count := t.failures.Add(1)
	wait := maxAvoidance
	if shift := count - 1; shift < 4 {
		wait = min(baseAvoidance<<shift, maxAvoidance)
	}
	t.avoid(now, wait)
}

// avoid avoids the target for that long without counting a failure.
func (t *target) avoid(now time.Time, wait time.Duration) {
	t.avoidUntil.Store(clock.Stamp(now.Add(wait)))
}

// avoided reports whether the target is avoided.
func (t *target) avoided(now time.Time) bool {
	until := t.avoidUntil.Load()
	return until != 0 && until > clock.Stamp(now)
}

// succeeded resets the target's failures.
func (t *target) succeeded() {
	if t.failures.Load() != 0 {
		t.failures.Store(0)
		t.avoidUntil.Store(0)
	}
}

// location is the zone of a node.
type location struct {
	zone string
	// regions maps each zone to its region, as far as known.
	regions map[string]string
}

// crossesRegion reports whether a zone is known to be in another region.
func (p location) crossesRegion(zone string) bool {
	own, other := p.regions[p.zone], p.regions[zone]
	return own != "" && other != "" && own != other
}

// candidate describes the target for the choice. expectedWork is the time that back ends of the
// service take to process such a request.
func (t *target) candidate(record *roster.Record, origin location, expectedWork time.Duration, now time.Time) choice.Candidate {
	described := choice.Candidate{
		SameZone: record.Zone == origin.zone, OtherRegion: origin.crossesRegion(record.Zone),
		Outstanding:    float64(t.inFlight.Load()),
		Slots:          record.Endpoint.Slots,
		ServiceTime:    expectedWork,
		HoldTime:       expectedWork,
		RecentlyFailed: t.avoided(now),
		Draining:       !record.AcceptsWork(),
		Unresponsive:   t.silent.Load(),
	}
	switch {
	case described.OtherRegion:
		described.RoundTrip = crossRegionRTT
	case !described.SameZone:
		described.RoundTrip = crossZoneRTT
	}
	if report := t.report.Load(); report != nil && report.matches(record) {
		age := now.Sub(report.receivedAt)
		described.Outstanding += report.others.OtherRequests(now)
		described.ServiceTime = time.Duration(float64(expectedWork) * choice.DecayedPace(report.Factor, age, report.others.HalfLife()))
		described.HoldTime = report.HoldTime
		described.FailureRate = choice.DecayedFailureRate(report.FailureRate, age, report.others.HalfLife())
	}
	return described
}

// unreportedWeight is the weight of the zone's average in the estimate of the target's load: one
// without a report, near zero after a fresh one.
func (t *target) unreportedWeight(record *roster.Record, now time.Time) float64 {
	report := t.report.Load()
	if report == nil || !report.matches(record) {
		return 1
	}
	return 1 - report.others.Weight(now)
}

// reportAge returns the age of the node's load report; below zero when there is none.
func (t *target) reportAge(now time.Time) time.Duration {
	if report := t.report.Load(); report != nil {
		return now.Sub(report.receivedAt)
	}
	return -1
}

// targets holds the targets of all nodes. Lookups take only a read lock.
type targets struct {
	options forward.Limits
	dial    forward.Dialer

	mutex  sync.RWMutex // guards byNode
	byNode map[string]*target
}

// forRecord returns the target of a record, a new one when the node's address has changed.
func (t *targets) forRecord(record *roster.Record) *target {
	t.mutex.RLock()
	existing := t.byNode[record.Node]
	t.mutex.RUnlock()
	if existing != nil && existing.address == record.Address {
		return existing
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	existing = t.byNode[record.Node]
	if existing != nil && existing.address == record.Address {
		return existing
	}
	if existing != nil {
		existing.pool.Close()
	}
	created := &target{node: record.Node, address: record.Address, pool: forward.NewPool(record.Address, t.options, t.dial)}
	t.byNode[record.Node] = created
	return created
}

// drop forgets a node that is gone.
func (t *targets) drop(node string) {
	t.mutex.Lock()
	removed := t.byNode[node]
	delete(t.byNode, node)
	t.mutex.Unlock()
	if removed != nil {
		removed.pool.Close()
	}
}

// all returns every target.
func (t *targets) all() []*target {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	list := make([]*target, 0, len(t.byNode))
	for _, entry := range t.byNode {
		list = append(list, entry)
	}
	return list
}
