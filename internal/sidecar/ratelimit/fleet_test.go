package ratelimit_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/ratelimit"
)

const (
	// fleetLatency is the round-trip time to a node, fleetMaxWait how long requests wait for the limit.
	fleetLatency  = 4 * time.Millisecond
	fleetMaxWait  = 100 * time.Millisecond
	fleetDuration = 30 * time.Second
	// fleetMaxSends is the maximum number of nodes to which a request is sent before it is refused.
	fleetMaxSends = 5
)

// fleet simulates nodes that send to back ends with limits. A request goes to the back end with the
// shortest expected wait, and to another one after a refusal.
type fleet struct {
	limits    []*ratelimit.Limit
	estimates [][]*ratelimit.Estimate
	// served and refused count requests, rejected counts the sends that were refused by a back end,
	// firstRejected those of them that were a node's first to that back end.
	served, refused, rejected, firstRejected int
	// servedBy holds, for each back end, the times at which it got requests.
	servedBy [][]time.Time
}

// pending is a request that arrives at a back end at some time.
type pending struct {
	at            time.Time
	node, backend int
	tried         []bool
	sends         int
}

type arrivals []pending

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(one any)      { *a = append(*a, one.(pending)) }
func (a *arrivals) Pop() any {
	last := len(*a) - 1
	one := (*a)[last]
	*a = (*a)[:last]
	return one
}

func newFleet(nodes, backends int, perSecond float64) *fleet {
	created := &fleet{servedBy: make([][]time.Time, backends), estimates: make([][]*ratelimit.Estimate, nodes)}
	for range backends {
		created.limits = append(created.limits, newLimit(perSecond))
	}
	for i := range created.estimates {
		created.estimates[i] = make([]*ratelimit.Estimate, backends)
	}
	return created
}

// choose returns the back end with the shortest expected wait, -1 if none is expected to allow the
// request in time. Ties are broken at random.
func (f *fleet) choose(node int, tried []bool, now time.Time, random *rand.Rand) int {
	best, shortest := -1, time.Duration(0)
	for _, backend := range random.Perm(len(f.limits)) {
		wait := time.Duration(0)
		if estimate := f.estimates[node][backend]; estimate != nil {
			wait = estimate.Wait(1, now)
		}
		if !tried[backend] && wait <= fleetMaxWait && (best < 0 || wait < shortest) {
			best, shortest = backend, wait
		}
	}
	return best
}

// send sends a request to a back end that may serve it, or refuses it.
func (f *fleet) send(request pending, now time.Time, random *rand.Rand, queue *arrivals) {
	request.backend = f.choose(request.node, request.tried, now, random)
	if request.backend < 0 || request.sends == fleetMaxSends {
		f.refused++
		return
	}
	if estimate := f.estimates[request.node][request.backend]; estimate != nil {
		estimate.Consume(1, now)
	}
	request.at = now.Add(fleetLatency / 2)
	request.sends++
	heap.Push(queue, request)
}

// arrive decides on a request at its back end and updates the estimate of the sending node.
func (f *fleet) arrive(request pending, random *rand.Rand, queue *arrivals) {
	limit, now := f.limits[request.backend], request.at
	wait, remaining := limit.Wait(0, now), 0.0
	served := wait <= fleetMaxWait
	if served {
		limit.Consume(1, now) // waiting requests are counted at once, so the bucket may become negative
		f.served++
		f.servedBy[request.backend] = append(f.servedBy[request.backend], now.Add(wait))
		remaining = limit.Remaining(fmt.Sprint(request.node), 1, 0, now)
	} else {
		f.rejected++
		if f.estimates[request.node][request.backend] == nil {
			f.firstRejected++
		}
		remaining = limit.RemainingAfter(limit.RetryAfter(fmt.Sprint(request.node), 1, 0, now))
	}
	advertised, _ := limit.Advertised()
	if estimate := f.estimates[request.node][request.backend]; estimate != nil {
		estimate.Update(advertised.PerSecond, remaining, 1, now)
	} else {
		f.estimates[request.node][request.backend] = ratelimit.NewEstimate(advertised.PerSecond, remaining, 1, now)
	}
	if !served {
		request.tried[request.backend] = true
		f.send(request, now.Add(fleetLatency/2), random, queue)
	}
}

// run generates requests at the given rate from all nodes together.
func (f *fleet) run(demand float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	queue := &arrivals{}
	for now := start; now.Sub(start) < fleetDuration; now = now.Add(time.Duration(random.ExpFloat64() / demand * float64(time.Second))) {
		for queue.Len() > 0 && (*queue)[0].at.Before(now) {
			f.arrive(heap.Pop(queue).(pending), random, queue)
		}
		f.send(pending{node: random.IntN(len(f.estimates)), tried: make([]bool, len(f.limits))}, now, random, queue)
	}
}

// TestServiceWithLimits checks a service whose back ends all advertise limits, with a total of a third of
// the demand. The limits are used, no window gets more than is allowed, and there is less than one
// rejected send per served request, whatever the number of nodes.
func TestServiceWithLimits(t *testing.T) {
	for _, size := range []struct{ nodes, backends int }{{10, 4}, {40, 10}, {300, 40}} {
		for _, rate := range []float64{2, 12.8} {
			t.Run(fmt.Sprintf("%d nodes, %d back ends, %v a second", size.nodes, size.backends, rate), func(t *testing.T) {
				g := NewWithT(t)
				simulated := newFleet(size.nodes, size.backends, rate)
				room := rate * float64(size.backends)
				simulated.run(3*room, 1)
				for _, moments := range simulated.servedBy {
					g.Expect(float64(maxInWindow(moments, ratelimit.Window))).To(BeNumerically("<=", 1.5*rate*ratelimit.Window.Seconds()+5))
				}
				used := float64(simulated.served) / (room * fleetDuration.Seconds())
				rejected := float64(simulated.rejected-simulated.firstRejected) / float64(simulated.served)
				t.Logf("utilization %.2f, rejected sends per served request %.2f, first sends rejected %d, served %d, refused %d",
					used, rejected, simulated.firstRejected, simulated.served, simulated.refused)
				g.Expect(used).To(BeNumerically(">", 0.8))
				g.Expect(rejected).To(BeNumerically("<", 1))
			})
		}
	}
}

// TestEstimateSpreadsRetries checks that refused callers of one node get retry times one interval apart.
func TestEstimateSpreadsRetries(t *testing.T) {
	g := NewWithT(t)
	estimate := ratelimit.NewEstimate(10, -4, 1, start)
	for i := range 5 {
		g.Expect(estimate.RetryAfter(1, start)).To(BeNumerically("~", 500*time.Millisecond+time.Duration(i)*100*time.Millisecond, time.Millisecond))
	}
	g.Expect(estimate.Wait(0, start)).To(BeZero(), "the limit of more urgent classes is unknown")
	g.Expect(estimate.Wait(2, start)).To(BeNumerically(">", 0))
}
