package repeats_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/repeats"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

var limits = repeats.Limits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

// fleet simulates the repeats of several nodes at one service on a virtual clock.
type fleet struct {
	nodes   []*member
	members *roster.Roster
	on      atomic.Bool
	seed    uint64

	mu sync.Mutex // guards all below
	// links holds a source of random draws for each direction between two nodes, so that the draws of a link do not
	// depend on which messages of other links the scheduler runs first.
	links map[string]*rand.Rand
	group map[string]int
	loss  float64
	// requests and repeated hold the times at which requests began and at which they were sent
	// again.
	requests, repeated []time.Time
}

// member is one node. A restart replaces its repeats.
type member struct {
	name           string
	mu             sync.Mutex // guards all below
	instance       *repeats.Repeats
	end            context.CancelFunc
	suspendedUntil time.Time
	lost           map[string]time.Time
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{
		seed: seed, links: map[string]*rand.Rand{}, group: map[string]int{},
		members: roster.New(roster.Record{Node: "n0", Epoch: 1, Zone: "z", Address: "a:1", PeerAddress: "n0", Endpoint: &roster.Endpoint{ID: "i", Slots: 1}}),
	}
	f.on.Store(true)
	for i := range size {
		name := fmt.Sprint("n", i)
		f.members.Merge([]*roster.Record{{
			Node: name, Epoch: 1, Zone: "z", Address: "a:1", PeerAddress: name, Endpoint: &roster.Endpoint{ID: "i", Service: "s", Slots: 1},
		}})
		f.nodes = append(f.nodes, &member{name: name, lost: map[string]time.Time{}})
	}
	for _, node := range f.nodes {
		f.start(node)
	}
	return f
}

// start starts the node's process if it is not running.
func (f *fleet) start(node *member) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.instance != nil {
		return
	}
	ctx, end := context.WithCancel(context.Background())
	node.end = end
	node.instance = repeats.New(repeats.Options{
		Node: node.name, View: f.members.View, MembershipKnown: func() bool { return true }, On: f.on.Load,
		Reachable: func(record *roster.Record) bool {
			node.mu.Lock()
			defer node.mu.Unlock()
			return time.Since(node.lost[record.Node]) > time.Second
		},
		Limits:   func() repeats.Limits { return limits },
		Services: func() []string { return []string{"s"} }, Exists: func(string) bool { return true },
		Send: func(ctx context.Context, to *roster.Record, request *lending.GrantRequest) (*lending.GrantResponse, error) {
			return f.send(ctx, node, to, request)
		},
		MarkLost: func(name string) {
			node.mu.Lock()
			defer node.mu.Unlock()
			node.lost[name] = time.Now()
		},
		Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	go node.instance.Run(ctx)
}

func (f *fleet) kill(node *member) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.instance != nil {
		node.end()
		node.instance = nil
	}
}

// waitUntilResumed waits until the node is not suspended and returns its repeats, or nil if its
// process has ended.
func (m *member) waitUntilResumed() *repeats.Repeats {
	m.mu.Lock()
	wait := time.Until(m.suspendedUntil)
	m.mu.Unlock()
	time.Sleep(max(wait, 0))
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instance
}

// reaches sleeps for the delay of a message and reports at random whether the message arrives.
func (f *fleet) reaches(from, to string) bool {
	f.mu.Lock()
	link := f.link(from, to)
	delay := 200*time.Microsecond + time.Duration(link.Int64N(int64(2*time.Millisecond)))
	arrives := f.group[from] == f.group[to] && link.Float64() >= f.loss
	f.mu.Unlock()
	time.Sleep(delay)
	return arrives
}

// link returns the source of the draws for messages from one node to another. The caller holds f.mu.
func (f *fleet) link(from, to string) *rand.Rand {
	key := from + " " + to
	if f.links[key] == nil {
		f.links[key] = rand.New(rand.NewPCG(f.seed, xxhash.Sum64String(key)))
	}
	return f.links[key]
}

func (f *fleet) send(ctx context.Context, from *member, to *roster.Record, request *lending.GrantRequest) (*lending.GrantResponse, error) {
	if err := request.Validate(); err != nil {
		return nil, err
	}
	other := f.nodes[slices.IndexFunc(f.nodes, func(node *member) bool { return node.name == to.Node })]
	if !f.reaches(from.name, to.Node) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	serving := other.waitUntilResumed()
	if serving == nil {
		return nil, fmt.Errorf("connect: %w", syscall.ECONNREFUSED)
	}
	answer := serving.Serve(request)
	if !f.reaches(to.Node, from.name) || ctx.Err() != nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	from.waitUntilResumed()
	return answer, nil
}

// load defines the requests: the rate per second, and the fraction of those at each node that has
// to be sent again.
type load struct {
	rate   func(since time.Duration) float64
	repeat func(node int) float64
	// nested is the fraction of the requests that repeated runs make.
	nested float64
}

// generateLoad sends requests for the given duration.
func (f *fleet) generateLoad(duration time.Duration, load load) {
	began, random := time.Now(), rand.New(rand.NewPCG(f.seed, 7))
	var running sync.WaitGroup
	for time.Since(began) < duration {
		gap := time.Duration(random.ExpFloat64() / load.rate(time.Since(began)) * float64(time.Second))
		number := random.IntN(len(f.nodes))
		repeat := random.Float64() < load.repeat(number)
		nested := random.Float64() < load.nested
		time.Sleep(min(gap, 100*time.Millisecond))
		if gap <= 100*time.Millisecond {
			running.Go(func() { f.request(f.nodes[number], repeat, nested) })
		}
	}
	running.Wait()
}

func (f *fleet) request(node *member, repeat, nested bool) {
	instance := node.waitUntilResumed()
	if instance == nil {
		return
	}
	start := time.Now()
	probability := 0.0
	if nested {
		probability = 1
	}
	instance.RecordRequest("s", probability)
	f.note(&f.requests, start)
	if nested {
		f.note(&f.repeated, start)
	}
	instance.RecordResult("s", true) // this test does not depend on how many are accepted
	if repeat && instance.Take("s", repeats.Request{Nested: true}) {
		node.waitUntilResumed()
		f.note(&f.repeated, time.Now())
	}
}

func (f *fleet) note(of *[]time.Time, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*of = append(*of, at)
}

// stop ends all nodes.
func (f *fleet) stop() {
	for _, node := range f.nodes {
		f.kill(node)
	}
	time.Sleep(time.Minute)
}

// excess returns by how much the repeats of the worst window exceed what is allowed there. It is
// negative if no window exceeds it.
func (f *fleet) excess() float64 {
	slices.SortFunc(f.requests, time.Time.Compare)
	slices.SortFunc(f.repeated, time.Time.Compare)
	worst := math.Inf(-1)
	for _, end := range f.repeated {
		from := end.Add(-limits.Window)
		requests := max(within(f.requests, from, end), within(f.requests, from.Add(-limits.Window/2), end.Add(-limits.Window/2)), within(f.requests, from.Add(-limits.Window), from))
		worst = max(worst, float64(within(f.repeated, from, end))-limits.Ratio*float64(requests)-limits.Slack)
	}
	return worst
}

// within counts the times after from and not after to.
func within(moments []time.Time, from, to time.Time) int {
	after := func(bound time.Time) int {
		index, _ := slices.BinarySearchFunc(moments, bound, func(moment, bound time.Time) int {
			if moment.After(bound) {
				return 1
			}
			return -1
		})
		return index
	}
	return after(to) - after(from)
}

// TestAllowanceIsUsedWhereNeeded: at least 0.8 of the allowance is used, and no window exceeds it,
// whether all requests that have to be sent again are at a few of many nodes or spread over all of
// them. Where a node has fewer than two such requests per second, tokens often expire before there
// is one; there 0.5 is enough.
func TestAllowanceIsUsedWhereNeeded(t *testing.T) {
	cases := []struct {
		nodes, needing int
		rate, minUsed  float64
	}{{13, 1, 1000, 0.8}, {13, 13, 1000, 0.8}, {88, 9, 2000, 0.8}, {88, 88, 2000, 0.8}, {88, 88, 300, 0.5}}
	for _, test := range cases {
		t.Run(fmt.Sprintf("%d of %d nodes, %v requests per second", test.needing, test.nodes, test.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(uint64(test.nodes), test.nodes)
				f.generateLoad(30*time.Second, load{
					rate: func(time.Duration) float64 { return test.rate },
					repeat: func(node int) float64 {
						if node >= test.needing {
							return 0
						}
						return min(0.5*float64(test.nodes)/float64(test.needing), 1)
					},
				})
				end := time.Now()
				f.stop()
				g.Expect(f.excess()).To(BeNumerically("<=", 0))
				from := end.Add(-2 * limits.Window)
				allowed := limits.Ratio*float64(within(f.requests, from, end)) + 2*limits.Slack
				wanted := min(allowed, 0.5*float64(within(f.requests, from, end)), float64(test.needing)/float64(test.nodes)*float64(within(f.requests, from, end)))
				t.Logf("%d of %.0f, %.0f below the bound", within(f.repeated, from, end), wanted, -f.excess())
				g.Expect(float64(within(f.repeated, from, end)) / wanted).To(BeNumerically(">=", test.minUsed))
			})
		})
	}
}

// TestCallsOfRepeatedRuns: the calls of repeated runs are charged to the same allowance, whether
// requests are repeated at all nodes or at a few.
func TestCallsOfRepeatedRuns(t *testing.T) {
	cases := []struct {
		nodes, needing int
		nested         float64
	}{{13, 13, 0.1}, {88, 88, 0.142}, {88, 88, 0.16}, {13, 2, 0.16}}
	for _, test := range cases {
		t.Run(fmt.Sprintf("%v, %d of %d nodes", test.nested, test.needing, test.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(3, test.nodes)
				f.generateLoad(40*time.Second, load{
					rate:   func(time.Duration) float64 { return 1000 },
					repeat: func(node int) float64 { return map[bool]float64{true: 0.5}[node < test.needing] },
					nested: test.nested,
				})
				f.stop()
				t.Logf("%.0f below the bound", -f.excess())
				g.Expect(f.excess()).To(BeNumerically("<=", 0))
			})
		})
	}
}

// TestLendingEnabledAfterBurst: the repeats that nodes spent from their equal shares just before
// lending starts count against the allowance.
func TestLendingEnabledAfterBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4, 13)
		f.on.Store(false)
		time.AfterFunc(24*time.Second, func() { f.on.Store(true) })
		f.generateLoad(40*time.Second, load{
			rate: func(since time.Duration) float64 {
				if since < 23*time.Second {
					return 20
				}
				return 1000
			},
			repeat: func(int) float64 { return 1 },
		})
		f.stop()
		t.Logf("%.0f below the bound", -f.excess())
		g.Expect(f.excess()).To(BeNumerically("<=", 0))
	})
}

// fault injects a fault for some time and returns once it is over.
type fault func(f *fleet, random *rand.Rand)

// partition puts the nodes into the given number of groups that cannot reach each other.
func partition(groups int) fault {
	return func(f *fleet, random *rand.Rand) {
		f.mu.Lock()
		for _, node := range f.nodes {
			f.group[node.name] = random.IntN(groups)
		}
		f.mu.Unlock()
		time.Sleep(time.Duration(500+random.IntN(9000)) * time.Millisecond)
		f.mu.Lock()
		clear(f.group)
		f.mu.Unlock()
	}
}

// restart kills about one in oneOf nodes and starts them again.
func restart(oneOf int) fault {
	return func(f *fleet, random *rand.Rand) {
		var killed []*member
		for _, node := range f.nodes {
			if random.IntN(oneOf) == 0 {
				f.kill(node)
				killed = append(killed, node)
			}
		}
		time.Sleep(time.Duration(50+random.IntN(2000)) * time.Millisecond)
		for _, node := range killed {
			f.start(node)
		}
	}
}

var faults = []fault{
	partition(2), partition(3), partition(1000), restart(3), restart(1),
	func(f *fleet, random *rand.Rand) {
		f.mu.Lock()
		f.loss = 0.3
		f.mu.Unlock()
		time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
		f.mu.Lock()
		f.loss = 0
		f.mu.Unlock()
	},
	func(f *fleet, random *rand.Rand) {
		until := time.Now().Add(time.Duration(500+random.IntN(5000)) * time.Millisecond)
		for _, node := range f.nodes {
			if random.IntN(4) == 0 {
				node.mu.Lock()
				node.suspendedUntil = until
				node.mu.Unlock()
			}
		}
		time.Sleep(time.Until(until))
	},
	func(f *fleet, random *rand.Rand) {
		f.on.Store(false)
		time.Sleep(time.Duration(500+random.IntN(5000)) * time.Millisecond)
		f.on.Store(true)
	},
}

// TestAllowanceHoldsUnderFaults: with two random faults at a time and uneven load, no window holds
// more repeats than allowed. In the second half of the seeds, calls of repeated runs take the place
// of the fault that turns lending off: while lending is off, nobody pays for such calls.
func TestAllowanceHoldsUnderFaults(t *testing.T) {
	const seeds = uint64(12)
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(seed, []int{13, 30, 88}[seed%3])
				injected, nested := faults, 0.0
				if seed >= seeds/2 {
					injected, nested = faults[:len(faults)-1], 0.12
				}
				var running sync.WaitGroup
				for worker := range uint64(2) {
					random := rand.New(rand.NewPCG(seed, worker))
					running.Go(func() {
						for end := time.Now().Add(40 * time.Second); time.Now().Before(end); {
							time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
							injected[random.IntN(len(injected))](f, random)
						}
					})
				}
				f.generateLoad(50*time.Second, load{
					rate: func(since time.Duration) float64 {
						if since%(7*time.Second) < 2*time.Second {
							return 1500
						}
						return 200
					},
					repeat: func(node int) float64 { return []float64{1, 0.3}[min(node%4, 1)] },
					nested: nested,
				})
				running.Wait()
				f.stop()
				t.Logf("%.0f below the bound", -f.excess())
				g.Expect(f.excess()).To(BeNumerically("<=", 0))
			})
		})
	}
}
