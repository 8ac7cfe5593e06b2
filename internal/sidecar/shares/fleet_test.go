package shares_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/shares"
)

const (
	// The load: tenants with a skewed demand, in TestMaxMinSharing of 1.5 times the capacity of
	// the back ends in total.
	fleetTenants  = 77
	fleetSkew     = 1.2
	fleetDemand   = 1.5
	fleetWork     = 100 * time.Millisecond
	fleetSlots    = 12
	fleetStep     = 50 * time.Millisecond
	fleetAttempts = 4
	fleetMaxWait  = 150 * time.Millisecond
	// fleetCutAt is the time at which a third of the nodes is partitioned off; fleetSettle is the
	// time after it from which the bound applies.
	fleetCutAt  = 4 * time.Second
	fleetSettle = 2 * time.Second
	fleetEnd    = 8 * time.Second
	// fleetSubset is the number of back ends in the subset of a node.
	fleetSubset = 40
)

// fleet is a service in which every node has callers and a back end.
type fleet struct {
	random *rand.Rand
	policy policy
	nodes  []*node
	now    time.Time
	// demands is the demand by tenant, in slots of the whole fleet.
	demands []float64
}

type node struct {
	number      int
	subset      []int
	partitioned bool
	// capacity is the remaining capacity of the back end in this step. servedByTenant counts
	// the requests served by tenant.
	capacity       float64
	servedByTenant [fleetTenants]float64
	// pending are the fractional requests of each tenant; offered and got count its requests.
	pending      [fleetTenants]float64
	offered, got [fleetTenants]float64
	queue        []*call
	virtualTime  float64
}

// call is a request in progress.
type call struct {
	from, tenant int
	marked       bool
	fraction     float64
	tried        []int
	// deadline is the time at which it is refused unless it has got a slot.
	deadline time.Time
}

// policy determines how a node learns which fraction of its requests is within a tenant's
// share.
type policy interface {
	fraction(f *fleet, from *node, tenant int) float64
	arrived(f *fleet, at *node, request *call)
	answered(f *fleet, at *node, request *call, served bool)
	step(f *fleet)
}

// replyPolicy is that of the package: meters report with replies.
type replyPolicy struct {
	meters   []shares.Meter
	trackers []shares.Tracker
}

// tenantNames are the names by number.
var tenantNames = func() (names [fleetTenants]string) {
	for tenant := range names {
		names[tenant] = fmt.Sprint(tenant)
	}
	return names
}()

func newReplyPolicy(size int) *replyPolicy {
	return &replyPolicy{meters: make([]shares.Meter, size), trackers: make([]shares.Tracker, size)}
}

func flow(tenant int) shares.Flow {
	return shares.Flow{Service: "one", Tenant: tenantNames[tenant]}
}

func (w *replyPolicy) fraction(f *fleet, from *node, tenant int) float64 {
	return w.trackers[from.number].Fraction(flow(tenant), f.now)
}

func (w *replyPolicy) arrived(f *fleet, at *node, request *call) {
	if !request.marked {
		w.meters[at.number].RecordArrival(0, tenantNames[request.tenant], fleetWork, request.fraction, f.now)
	}
}

func (w *replyPolicy) answered(f *fleet, at *node, request *call, served bool) {
	if served {
		w.meters[at.number].RecordServed(0, fleetWork, f.now)
	}
	w.trackers[request.from].Observe(flow(request.tenant), w.meters[at.number].Allocation(0, tenantNames[request.tenant], f.now), f.now)
}
func (w *replyPolicy) step(*fleet) {}

// independentPolicy marks nothing: each queue shares by itself.
type independentPolicy struct{}

func (independentPolicy) fraction(*fleet, *node, int) float64 { return shares.FullFraction }
func (independentPolicy) arrived(*fleet, *node, *call)        {}
func (independentPolicy) answered(*fleet, *node, *call, bool) {}
func (independentPolicy) step(*fleet)                         {}

// gossipPolicy is the alternative: each node gossips the demand that it knows of all nodes with
// one other node every 800 ms, and adds up reports that are at most three intervals old.
type gossipPolicy struct {
	next  time.Time
	views [][]demandReport // by node and by reported node
}

type demandReport struct {
	demand [fleetTenants]float64
	at     time.Time
}

func newGossipPolicy(size int) *gossipPolicy {
	views := make([][]demandReport, size)
	for i := range views {
		views[i] = make([]demandReport, size)
	}
	return &gossipPolicy{views: views}
}

func (w *gossipPolicy) fraction(f *fleet, from *node, tenant int) float64 {
	var demands [fleetTenants]float64
	members := 0.0
	for _, report := range w.views[from.number] {
		if f.now.Sub(report.at) > 2400*time.Millisecond {
			continue
		}
		members++
		for i, demand := range report.demand {
			demands[i] += demand
		}
	}
	wanted := demands[tenant]
	sorted := slices.Sorted(slices.Values(demands[:]))
	return min(shares.MaxMin(sorted, members*fleetSlots)/max(wanted, 1e-9), shares.FullFraction)
}
func (w *gossipPolicy) arrived(*fleet, *node, *call)        {}
func (w *gossipPolicy) answered(*fleet, *node, *call, bool) {}

func (w *gossipPolicy) step(f *fleet) {
	if f.now.Before(w.next) {
		return
	}
	w.next = f.now.Add(800 * time.Millisecond)
	for _, n := range f.nodes {
		own := &w.views[n.number][n.number]
		own.at = f.now
		for tenant := range own.demand {
			own.demand[tenant] = f.demands[tenant] * f.callerFraction(tenant, n.number)
		}
	}
	for _, n := range f.nodes {
		other := f.nodes[f.random.IntN(len(f.nodes))]
		if n.partitioned || other.partitioned {
			continue
		}
		local, remote := w.views[n.number], w.views[other.number]
		for i := range local {
			if local[i].at.After(remote[i].at) {
				remote[i] = local[i]
			} else {
				local[i] = remote[i]
			}
		}
	}
}

// callerFraction returns the fraction of a tenant's callers at a node. Every other of the
// smaller tenants has all its callers at three nodes.
func (f *fleet) callerFraction(tenant, number int) float64 {
	if tenant%2 == 0 || tenant < 10 {
		return 1 / float64(len(f.nodes))
	}
	for i := range 3 {
		if (tenant*7+i*5)%len(f.nodes) == number {
			return 1.0 / 3
		}
	}
	return 0
}

// newFleet creates a fleet in which the tenants demand the given fraction of the capacity.
func newFleet(size int, p policy, demand float64, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), policy: p, now: time.Unix(1, 0), demands: make([]float64, fleetTenants)}
	total := 0.0
	for tenant := range f.demands {
		f.demands[tenant] = math.Pow(float64(tenant+1), -fleetSkew)
		total += f.demands[tenant]
	}
	for tenant := range f.demands {
		f.demands[tenant] *= demand * float64(size*fleetSlots) / total
	}
	for number := range size {
		created := &node{number: number, subset: f.random.Perm(size)[:min(size, fleetSubset)]}
		for tenant := range created.pending {
			created.pending[tenant] = f.random.Float64()
		}
		f.nodes = append(f.nodes, created)
	}
	return f
}

// step simulates one interval: requests arrive, wait at back ends, are served as capacity
// permits, and go to another back end when they are refused.
func (f *fleet) step() {
	f.now = f.now.Add(fleetStep)
	f.policy.step(f)
	for _, n := range f.nodes {
		for _, request := range f.arrivals(n) {
			f.send(request)
		}
	}
	for _, n := range f.nodes {
		n.capacity = min(n.capacity, 1) + fleetSlots*fleetStep.Seconds()/fleetWork.Seconds()
		f.serve(n)
	}
	for _, n := range f.nodes {
		f.refuse(n)
	}
}

// arrivals returns the requests that callers make at a node.
func (f *fleet) arrivals(n *node) (requests []*call) {
	for tenant := range fleetTenants {
		n.pending[tenant] += f.demands[tenant] * f.callerFraction(tenant, n.number) * fleetStep.Seconds() / fleetWork.Seconds()
		for ; n.pending[tenant] >= 1; n.pending[tenant]-- {
			fraction := f.policy.fraction(f, n, tenant)
			requests = append(requests, &call{from: n.number, tenant: tenant, fraction: fraction, marked: f.random.Float64() >= fraction})
			n.offered[tenant]++
		}
	}
	return requests
}

// send sends a request to a back end that is in its node's subset and reachable.
func (f *fleet) send(request *call) {
	from := f.nodes[request.from]
	for range 2 * fleetSubset {
		to := f.nodes[from.subset[f.random.IntN(len(from.subset))]]
		if to != from && (to.partitioned || from.partitioned) || slices.Contains(request.tried, to.number) {
			continue
		}
		if !slices.ContainsFunc(to.queue, func(other *call) bool { return other.tenant == request.tenant }) {
			to.servedByTenant[request.tenant] = max(to.servedByTenant[request.tenant], to.virtualTime)
		}
		request.tried = append(request.tried, to.number)
		request.deadline = f.now.Add(fleetMaxWait)
		to.queue = append(to.queue, request)
		f.policy.arrived(f, to, request)
		return
	}
}

// serve uses the capacity of the back end: for unmarked requests first, then for the tenant
// that was served least.
func (f *fleet) serve(n *node) {
	for ; n.capacity >= 1 && len(n.queue) > 0; n.capacity-- {
		best := 0
		for i, request := range n.queue {
			first := n.queue[best]
			if !request.marked && first.marked || request.marked == first.marked && n.servedByTenant[request.tenant] <= n.servedByTenant[first.tenant] {
				best = i
			}
		}
		request := n.queue[best]
		n.queue = slices.Delete(n.queue, best, best+1)
		n.virtualTime = max(n.virtualTime, n.servedByTenant[request.tenant])
		n.servedByTenant[request.tenant]++
		f.nodes[request.from].got[request.tenant]++
		f.policy.answered(f, n, request, true)
	}
}

// refuse refuses the requests that have waited too long, which then go to another back end.
func (f *fleet) refuse(n *node) {
	var left []*call
	for _, request := range n.queue {
		if f.now.Before(request.deadline) {
			left = append(left, request)
			continue
		}
		f.policy.answered(f, n, request, false)
		if len(request.tried) < fleetAttempts {
			defer f.send(request)
		}
	}
	n.queue = left
}

// simulate returns, before and after the partition, the smallest ratio of what a tenant was
// served to its max-min share of the back ends that its callers reach, over tenants with enough
// requests.
func simulate(size int, p policy) (before, after float64) {
	f := newFleet(size, p, fleetDemand, 1)
	start := f.now
	runUntil := func(at time.Duration) {
		for f.now.Sub(start) < at {
			f.step()
		}
	}
	runUntil(fleetSettle)
	f.reset()
	runUntil(fleetCutAt)
	before = f.minServedShare()
	for i := range size / 3 {
		f.nodes[i].partitioned = true
	}
	runUntil(fleetCutAt + fleetSettle)
	f.reset()
	runUntil(fleetEnd)
	return before, f.minServedShare()
}

func (f *fleet) reset() {
	for _, n := range f.nodes {
		clear(n.offered[:])
		clear(n.got[:])
	}
}

// minServedShare considers the nodes that are not partitioned off.
func (f *fleet) minServedShare() float64 {
	var offered, got [fleetTenants]float64
	served := 0.0
	for _, n := range f.nodes {
		if n.partitioned {
			continue
		}
		for tenant := range fleetTenants {
			offered[tenant] += n.offered[tenant]
			got[tenant] += n.got[tenant]
			served += n.got[tenant]
		}
	}
	share := shares.MaxMin(slices.Sorted(slices.Values(offered[:])), served)
	minServedShare := math.Inf(1)
	const enough = 40
	for tenant := range fleetTenants {
		if offered[tenant] >= enough {
			minServedShare = min(minServedShare, got[tenant]/min(share, offered[tenant]))
		}
	}
	return minServedShare
}

// TestMaxMinSharing checks that no tenant falls below half of its max-min share of a service,
// whether its callers are at all nodes or at three, from two seconds after a third of the nodes
// is partitioned off; the asserted limits are stricter. The two alternatives are run for
// comparison at sizes where they take little time.
func TestMaxMinSharing(t *testing.T) {
	for _, size := range []int{13, 37, 88, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			before, after := simulate(size, newReplyPolicy(size))
			t.Logf("with replies: minimum %.3f, with a third partitioned off %.3f", before, after)
			g.Expect(before).To(BeNumerically(">=", 0.85))
			g.Expect(after).To(BeNumerically(">=", 0.7))
			if size > 88 {
				return
			}
			before, after = simulate(size, independentPolicy{})
			t.Logf("independent queues: minimum %.3f, with a third partitioned off %.3f", before, after)
			before, after = simulate(size, newGossipPolicy(size))
			t.Logf("with gossip: minimum %.3f, with a third partitioned off %.3f", before, after)
		})
	}
}

// TestTenantOverload checks that at 80% utilization the others lose less than 3% when one of
// the largest tenants sends ten times as much.
func TestTenantOverload(t *testing.T) {
	const (
		size        = 37
		demand      = 0.8
		heavyTenant = 1
	)
	othersGot := func(times float64) (got, offered float64) {
		f := newFleet(size, newReplyPolicy(size), demand, 1)
		f.demands[heavyTenant] *= times
		for second := range 5 {
			for range int(time.Second / fleetStep) {
				f.step()
			}
			if second == 0 {
				f.reset()
			}
		}
		for _, n := range f.nodes {
			for tenant := range fleetTenants {
				if tenant != heavyTenant {
					got += n.got[tenant]
					offered += n.offered[tenant]
				}
			}
		}
		return got, offered
	}
	g := NewWithT(t)
	normal, _ := othersGot(1)
	overloaded, offered := othersGot(10)
	t.Logf("the others: %.0f before, %.0f during the overload, of %.0f", normal, overloaded, offered)
	g.Expect(overloaded).To(BeNumerically(">", normal*0.97))
}
