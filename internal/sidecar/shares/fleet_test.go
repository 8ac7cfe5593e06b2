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
	// The load: tenants by a skew, in TestSharesOfAService asking for one and a half times the room of
	// the back ends.
	fleetTenants = 77
	fleetSkew    = 1.2
	fleetDemand  = 1.5
	fleetWork    = 100 * time.Millisecond
	fleetSlots   = 12
	fleetStep    = 50 * time.Millisecond
	fleetTries   = 4
	fleetWait    = 150 * time.Millisecond
	// fleetChange is when a third of the nodes is cut off, fleetBound when the bound holds after it.
	fleetChange = 4 * time.Second
	fleetBound  = 2 * time.Second
	fleetLast   = 8 * time.Second
	// fleetSees is how many back ends a node considers.
	fleetSees = 40
)

// fleet is a service whose every node has callers and a back end beside it.
type fleet struct {
	random *rand.Rand
	way    way
	nodes  []*node
	now    time.Time
	// tenants by the room they want, in back ends' worth of the whole fleet.
	wants []float64
}

type node struct {
	number int
	sees   []int
	cut    bool
	// room is what the back end can still serve in this step, had what each tenant's requests got there.
	room float64
	had  [fleetTenants]float64
	// due are the requests of each tenant that are not yet a whole one, offered and got what is counted.
	due          [fleetTenants]float64
	offered, got [fleetTenants]float64
	waiting      []*asked
	clock        float64
}

// asked is one request on its way.
type asked struct {
	from, tenant int
	over         bool
	part         float64
	tried        []int
	// refused is when it is refused where it waits, unless it has a slot by then.
	refused time.Time
}

// way is how a node knows which part of its requests is within a tenant's share.
type way interface {
	part(f *fleet, from *node, tenant int) float64
	came(f *fleet, at *node, request *asked)
	answered(f *fleet, at *node, request *asked, served bool)
	step(f *fleet)
}

// told is the package's: what meters tell with replies.
type told struct {
	meters []shares.Meter
	heard  []shares.Tracker
}

// tenantNames are by number.
var tenantNames = func() (names [fleetTenants]string) {
	for tenant := range names {
		names[tenant] = fmt.Sprint(tenant)
	}
	return names
}()

func newTold(size int) *told {
	return &told{meters: make([]shares.Meter, size), heard: make([]shares.Tracker, size)}
}

func subject(tenant int) shares.Flow {
	return shares.Flow{Service: "one", Tenant: tenantNames[tenant]}
}

func (w *told) part(f *fleet, from *node, tenant int) float64 {
	return w.heard[from.number].Fraction(subject(tenant), f.now)
}

func (w *told) came(f *fleet, at *node, request *asked) {
	if !request.over {
		w.meters[at.number].RecordArrival(0, tenantNames[request.tenant], fleetWork, request.part, f.now)
	}
}

func (w *told) answered(f *fleet, at *node, request *asked, served bool) {
	if served {
		w.meters[at.number].RecordServed(0, fleetWork, f.now)
	}
	w.heard[request.from].Observe(subject(request.tenant), w.meters[at.number].Allocation(0, tenantNames[request.tenant], f.now), f.now)
}
func (w *told) step(*fleet) {}

// alone marks nothing: each queue by itself.
type alone struct{}

func (alone) part(*fleet, *node, int) float64      { return shares.FullFraction }
func (alone) came(*fleet, *node, *asked)           {}
func (alone) answered(*fleet, *node, *asked, bool) {}
func (alone) step(*fleet)                          {}

// summed is the way that was weighed against it: each node tells what it knows of all nodes' demand
// in an exchange with one other every 800 ms, and adds up what is not older than three of them.
type summed struct {
	next  time.Time
	known [][]account // by who knows, and of whom
}

type account struct {
	demand [fleetTenants]float64
	at     time.Time
}

func newSummed(size int) *summed {
	known := make([][]account, size)
	for i := range known {
		known[i] = make([]account, size)
	}
	return &summed{known: known}
}

func (w *summed) part(f *fleet, from *node, tenant int) float64 {
	var demands [fleetTenants]float64
	members := 0.0
	for _, one := range w.known[from.number] {
		if f.now.Sub(one.at) > 2400*time.Millisecond {
			continue
		}
		members++
		for i, demand := range one.demand {
			demands[i] += demand
		}
	}
	wanted := demands[tenant]
	sorted := slices.Sorted(slices.Values(demands[:]))
	return min(shares.MaxMin(sorted, members*fleetSlots)/max(wanted, 1e-9), shares.FullFraction)
}
func (w *summed) came(*fleet, *node, *asked)           {}
func (w *summed) answered(*fleet, *node, *asked, bool) {}

func (w *summed) step(f *fleet) {
	if f.now.Before(w.next) {
		return
	}
	w.next = f.now.Add(800 * time.Millisecond)
	for _, one := range f.nodes {
		own := &w.known[one.number][one.number]
		own.at = f.now
		for tenant := range own.demand {
			own.demand[tenant] = f.wants[tenant] * f.callersAt(tenant, one.number)
		}
	}
	for _, one := range f.nodes {
		other := f.nodes[f.random.IntN(len(f.nodes))]
		if one.cut || other.cut {
			continue
		}
		mine, theirs := w.known[one.number], w.known[other.number]
		for i := range mine {
			if mine[i].at.After(theirs[i].at) {
				theirs[i] = mine[i]
			} else {
				mine[i] = theirs[i]
			}
		}
	}
}

// callersAt is which part of a tenant's callers is at a node: every other of the smaller tenants has
// all of them at three nodes.
func (f *fleet) callersAt(tenant, number int) float64 {
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

// newFleet has tenants ask for the given part of the room.
func newFleet(size int, by way, demand float64, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), way: by, now: time.Unix(1, 0), wants: make([]float64, fleetTenants)}
	total := 0.0
	for tenant := range f.wants {
		f.wants[tenant] = math.Pow(float64(tenant+1), -fleetSkew)
		total += f.wants[tenant]
	}
	for tenant := range f.wants {
		f.wants[tenant] *= demand * float64(size*fleetSlots) / total
	}
	for number := range size {
		created := &node{number: number, sees: f.random.Perm(size)[:min(size, fleetSees)]}
		for tenant := range created.due {
			created.due[tenant] = f.random.Float64()
		}
		f.nodes = append(f.nodes, created)
	}
	return f
}

// step plays a moment: requests come, wait at back ends, get what room there is, and go to another
// back end when they are refused.
func (f *fleet) step() {
	f.now = f.now.Add(fleetStep)
	f.way.step(f)
	for _, one := range f.nodes {
		for _, request := range f.begin(one) {
			f.send(request)
		}
	}
	for _, one := range f.nodes {
		one.room = min(one.room, 1) + fleetSlots*fleetStep.Seconds()/fleetWork.Seconds()
		f.serve(one)
	}
	for _, one := range f.nodes {
		f.refuse(one)
	}
}

// begin returns the requests that callers make at a node.
func (f *fleet) begin(one *node) (begun []*asked) {
	for tenant := range fleetTenants {
		one.due[tenant] += f.wants[tenant] * f.callersAt(tenant, one.number) * fleetStep.Seconds() / fleetWork.Seconds()
		for ; one.due[tenant] >= 1; one.due[tenant]-- {
			part := f.way.part(f, one, tenant)
			begun = append(begun, &asked{from: one.number, tenant: tenant, part: part, over: f.random.Float64() >= part})
			one.offered[tenant]++
		}
	}
	return begun
}

// send passes a request to a back end that its node considers and can reach.
func (f *fleet) send(request *asked) {
	from := f.nodes[request.from]
	for range 2 * fleetSees {
		to := f.nodes[from.sees[f.random.IntN(len(from.sees))]]
		if to != from && (to.cut || from.cut) || slices.Contains(request.tried, to.number) {
			continue
		}
		if !slices.ContainsFunc(to.waiting, func(other *asked) bool { return other.tenant == request.tenant }) {
			to.had[request.tenant] = max(to.had[request.tenant], to.clock)
		}
		request.tried = append(request.tried, to.number)
		request.refused = f.now.Add(fleetWait)
		to.waiting = append(to.waiting, request)
		f.way.came(f, to, request)
		return
	}
}

// serve gives what room the back end has: to those that are not marked first, then to the tenant that has
// had the least.
func (f *fleet) serve(one *node) {
	for ; one.room >= 1 && len(one.waiting) > 0; one.room-- {
		best := 0
		for i, request := range one.waiting {
			first := one.waiting[best]
			if !request.over && first.over || request.over == first.over && one.had[request.tenant] <= one.had[first.tenant] {
				best = i
			}
		}
		request := one.waiting[best]
		one.waiting = slices.Delete(one.waiting, best, best+1)
		one.clock = max(one.clock, one.had[request.tenant])
		one.had[request.tenant]++
		f.nodes[request.from].got[request.tenant]++
		f.way.answered(f, one, request, true)
	}
}

// refuse sends those on that have waited for too long.
func (f *fleet) refuse(one *node) {
	var left []*asked
	for _, request := range one.waiting {
		if f.now.Before(request.refused) {
			left = append(left, request)
			continue
		}
		f.way.answered(f, one, request, false)
		if len(request.tried) < fleetTries {
			defer f.send(request)
		}
	}
	one.waiting = left
}

// play returns, for the time since the last change, the least part that a tenant got of its max-min share
// of the back ends that its callers reach, over tenants with enough requests to say so.
func play(size int, by way) (before, after float64) {
	f := newFleet(size, by, fleetDemand, 1)
	began := f.now
	until := func(at time.Duration) {
		for f.now.Sub(began) < at {
			f.step()
		}
	}
	until(fleetBound)
	f.reset()
	until(fleetChange)
	before = f.least()
	for i := range size / 3 {
		f.nodes[i].cut = true
	}
	until(fleetChange + fleetBound)
	f.reset()
	until(fleetLast)
	return before, f.least()
}

func (f *fleet) reset() {
	for _, one := range f.nodes {
		clear(one.offered[:])
		clear(one.got[:])
	}
}

// least looks at the nodes that are not cut off.
func (f *fleet) least() float64 {
	var offered, got [fleetTenants]float64
	served := 0.0
	for _, one := range f.nodes {
		if one.cut {
			continue
		}
		for tenant := range fleetTenants {
			offered[tenant] += one.offered[tenant]
			got[tenant] += one.got[tenant]
			served += one.got[tenant]
		}
	}
	share := shares.MaxMin(slices.Sorted(slices.Values(offered[:])), served)
	least := math.Inf(1)
	const enough = 40
	for tenant := range fleetTenants {
		if offered[tenant] >= enough {
			least = min(least, got[tenant]/min(share, offered[tenant]))
		}
	}
	return least
}

// TestSharesOfAService: no tenant is below half of its max-min share of a service, whether its callers
// are at all nodes or at three, from two seconds on after a third of the nodes is cut off. The two other
// ways are played beside it, as far as they take little time.
func TestSharesOfAService(t *testing.T) {
	for _, size := range []int{13, 37, 88, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			before, after := play(size, newTold(size))
			t.Logf("told: least %.3f, with a third cut off %.3f", before, after)
			g.Expect(before).To(BeNumerically(">=", 0.85))
			g.Expect(after).To(BeNumerically(">=", 0.7))
			if size > 88 {
				return
			}
			before, after = play(size, alone{})
			t.Logf("each queue alone: least %.3f, with a third cut off %.3f", before, after)
			before, after = play(size, newSummed(size))
			t.Logf("summed: least %.3f, with a third cut off %.3f", before, after)
		})
	}
}

// TestATenantAtTenTimesItsUsual: with the room for all but a fifth used, one of the largest tenants sends
// ten times as much. The others lose less than three in a hundred.
func TestATenantAtTenTimesItsUsual(t *testing.T) {
	const (
		size   = 37
		demand = 0.8
		hot    = 1
	)
	othersGot := func(times float64) (got, offered float64) {
		f := newFleet(size, newTold(size), demand, 1)
		f.wants[hot] *= times
		for second := range 5 {
			for range int(time.Second / fleetStep) {
				f.step()
			}
			if second == 0 {
				f.reset()
			}
		}
		for _, one := range f.nodes {
			for tenant := range fleetTenants {
				if tenant != hot {
					got += one.got[tenant]
					offered += one.offered[tenant]
				}
			}
		}
		return got, offered
	}
	g := NewWithT(t)
	usual, _ := othersGot(1)
	beside, offered := othersGot(10)
	t.Logf("the others: %.0f before, %.0f beside it, of %.0f", usual, beside, offered)
	g.Expect(beside).To(BeNumerically(">", usual*0.97))
}
