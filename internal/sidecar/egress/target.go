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

// target is another node as this one sees it: its connections, what it last
// said of its load, and how it failed. It is shared by all of its records.
type target struct {
	node    string
	address string
	pool    *forward.Pool
	// inFlight counts this node's requests there.
	inFlight atomic.Int64
	// avoidUntil is a stamp of the node's clock; zero for never.
	avoidUntil atomic.Int64
	failures   atomic.Int32
	// silent: the node has not answered the last probe.
	silent atomic.Bool
	report atomic.Pointer[loadReport]
	// limit and leaving are what replies said that the back end asks for; nil while it asks for nothing.
	limit   atomic.Pointer[limitReport]
	leaving atomic.Pointer[leavingReport]
	// outstanding are the visits that wait for an answer.
	outstanding outstanding
}

// loadReport is what a reply said of the load there. It is immutable.
type loadReport struct {
	hop.Reply
	// epoch is the node's life and endpoint the back end that the reply came from.
	epoch    uint64
	endpoint roster.Incarnation
	// others estimates how many requests there are not this node's.
	others     occupancy.Estimate
	receivedAt time.Time
}

const (
	// avoidBase is how long a target is avoided after its first failure; each
	// further one doubles it, up to avoidMost.
	baseAvoidance = 200 * time.Millisecond
	maxAvoidance  = 2 * time.Second
	// coldAvoid is how long a target is avoided whose back end is cold and has got what it bears.
	// It bears a few requests a second: a look some times a second finds its room.
	coldAvoidance = 250 * time.Millisecond
)

// of reports whether the report is of the back end and the life of the node that
// the record tells of. After either has changed it says nothing any more.
func (r *loadReport) matches(record *roster.Record) bool {
	return r.epoch == record.Epoch && r.endpoint == record.Endpoint.Incarnation()
}

// learn takes in the load that a reply carries, and returns how many requests of others are
// there. The record is the one that the request was sent by.
func (t *target) observe(load hop.Reply, record *roster.Record, now time.Time) (others float64) {
	others = float64(load.Running+load.Waiting) - float64(t.inFlight.Load())
	for {
		before := t.report.Load()
		next := &loadReport{Reply: load, epoch: record.Epoch, endpoint: record.Endpoint.Incarnation(), receivedAt: now}
		if before != nil && before.matches(record) {
			next.others = before.others
		}
		next.others = next.others.After(others, record.Endpoint.Slots, load.Held, now)
		if t.report.CompareAndSwap(before, next) {
			return others
		}
	}
}

// failed has the target avoided for a while.
func (t *target) failed(now time.Time) {
	count := t.failures.Add(1)
	wait := maxAvoidance
	if shift := count - 1; shift < 4 {
		wait = min(baseAvoidance<<shift, maxAvoidance)
	}
	t.avoid(now, wait)
}

// avoid has the target avoided for that long. It has not failed.
func (t *target) avoid(now time.Time, wait time.Duration) {
	t.avoidUntil.Store(clock.Stamp(now.Add(wait)))
}

// avoided reports whether the target is avoided.
func (t *target) avoided(now time.Time) bool {
	until := t.avoidUntil.Load()
	return until != 0 && until > clock.Stamp(now)
}

// succeeded ends a target's bad record.
func (t *target) succeeded() {
	if t.failures.Load() != 0 {
		t.failures.Store(0)
		t.avoidUntil.Store(0)
	}
}

// place is where a node is.
type location struct {
	zone string
	// regions holds the region of each zone, as far as known.
	regions map[string]string
}

// leaves reports whether a zone is known to be in another region.
func (p location) crossesRegion(zone string) bool {
	own, other := p.regions[p.zone], p.regions[zone]
	return own != "" && other != "" && own != other
}

// candidate describes the target for the choice. usual is how long back ends of
// the service work on such a request.
func (t *target) candidate(record *roster.Record, origin location, expectedWork time.Duration, now time.Time) choice.Candidate {
	described := choice.Candidate{
		SameZone: record.Zone == origin.zone, OtherRegion: origin.crossesRegion(record.Zone),
		Busy:    float64(t.inFlight.Load()),
		Slots:   record.Endpoint.Slots,
		Work:    expectedWork,
		Held:    expectedWork,
		Avoid:   t.avoided(now),
		Leaving: !record.AcceptsWork(),
		Silent:  t.silent.Load(),
	}
	switch {
	case described.OtherRegion:
		described.RoundTrip = crossRegionRTT
	case !described.SameZone:
		described.RoundTrip = crossZoneRTT
	}
	if report := t.report.Load(); report != nil && report.matches(record) {
		age := now.Sub(report.receivedAt)
		described.Busy += report.others.Others(now)
		described.Work = time.Duration(float64(expectedWork) * choice.Faded(report.Factor, age, report.others.HalfLife()))
		described.Held = report.Held
		described.Failing = choice.FadedShare(report.Failing, age, report.others.HalfLife())
	}
	return described
}

// unheard is the part of what is there that no report tells of any more: one without any report,
// little after a fresh one.
func (t *target) unreportedWeight(record *roster.Record, now time.Time) float64 {
	report := t.report.Load()
	if report == nil || !report.matches(record) {
		return 1
	}
	return 1 - report.others.Weight(now)
}

// reportAge is how old the node's own account of its load is; below zero when
// there is none.
func (t *target) reportAge(now time.Time) time.Duration {
	if report := t.report.Load(); report != nil {
		return now.Sub(report.receivedAt)
	}
	return -1
}

// targets holds the targets of all nodes. Reads take a shared lock only.
type targets struct {
	options forward.Limits
	dial    forward.Dialer

	mutex  sync.RWMutex // guards byNode
	byNode map[string]*target
}

// of returns the target of a record, a new one when the node has moved.
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
	held := t.byNode[node]
	delete(t.byNode, node)
	t.mutex.Unlock()
	if held != nil {
		held.pool.Close()
	}
}

// all returns every target.
func (t *targets) all() []*target {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	list := make([]*target, 0, len(t.byNode))
	for _, held := range t.byNode {
		list = append(list, held)
	}
	return list
}
