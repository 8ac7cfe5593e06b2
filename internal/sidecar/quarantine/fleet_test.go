package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quarantine"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	slots     = 9
	attempts  = 2
	maxVisits = 5
	// meanWork is how long harmless requests are worked on, harmAfter how long a harmful
	// one takes to end its back end.
	meanWork   = 90 * time.Millisecond
	crashDelay = 40 * time.Millisecond
	// restartDelay is how long a back end is restartDelay after its end.
	restartDelay = 3 * time.Second
	// convergenceTime is how long after the third end no back end may get the request any more.
	convergenceTime = 3 * time.Second
	// exchangeInterval is the time between two exchanges that a node begins.
	exchangeInterval = 800 * time.Millisecond
)

// fleet is a service on nodes that decide by the product's own code, on a virtual clock.
// All that happens is an event of one queue, so that a seed gives the same day every time.
type fleet struct {
	random *rand.Rand
	// lossRate is the share of the news that is lossRate on its way.
	lossRate float64
	nodes    []*fleetNode
	events   eventQueue
	// sent counts the requests, falsePositives those of the harmless that were held back.
	sent, falsePositives int
	// crashesByRequest counts the back ends that ended under each harmful request, marked those
	// under all of them when mark was called.
	crashesByRequest map[fingerprint.Fingerprint]int
	markedCrashes    int
	// thirdCrashAt is when the third back end ended under a harmful request; sentAfterwards
	// counts what back ends got of it more than inTouchAfter later.
	thirdCrashAt   map[fingerprint.Fingerprint]time.Time
	sentAfterThird int
}

// fleetNode is one node with its back end.
type fleetNode struct {
	fleet      *fleet
	members    *roster.Roster
	quarantine *quarantine.Quarantine
	// lives counts the back ends so far; down says that the last one has ended.
	lives   int
	down    bool
	onTrial bool
	// running is what is at work at the back end, the longest first.
	running []*flight
}

// flight is a request on its way: held back, or sent to some nodes, once more after an end.
type flight struct {
	from    *fleetNode
	print   fingerprint.Fingerprint
	harmful bool
	// visits counts the nodes it was sent to, ends the back ends that ended under it.
	visits, ends int
	// at is the node where it is at work, nil when it is not; suspect says that it runs
	// there alone of those that are suspected.
	at      *fleetNode
	suspect bool
	// onFinish is called when it is over.
	onFinish func()
}

func newFleet(size int, seed uint64, lossRate float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), lossRate: lossRate,
		crashesByRequest: map[fingerprint.Fingerprint]int{}, thirdCrashAt: map[fingerprint.Fingerprint]time.Time{},
	}
	for i := range size {
		node := &fleetNode{fleet: f}
		node.members = roster.New(roster.Record{Node: fmt.Sprintf("n-%03d", i), Epoch: 1, Counter: 1})
		node.quarantine = quarantine.New(quarantine.Options{
			Members: node.members, Broadcast: node.spread, After: f.events.after, Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
		})
		node.members.Observe(node.quarantine.Follow)
		f.nodes = append(f.nodes, node)
	}
	return f
}

// mark notes how many back ends have ended under harmful requests.
func (f *fleet) mark() {
	f.markedCrashes = 0
	for _, count := range f.crashesByRequest {
		f.markedCrashes += count
	}
}

// randomNode returns a node drawn at random.
func (f *fleet) randomNode() *fleetNode { return f.nodes[f.random.IntN(len(f.nodes))] }

// randomDuration returns a time drawn at random, below the most.
func (f *fleet) randomDuration(most time.Duration) time.Duration {
	return time.Duration(f.random.Float64() * float64(most))
}

// spread tells all others of the node's record, some in vain.
func (n *fleetNode) spread() {
	own := n.members.Own()
	for _, other := range n.fleet.nodes {
		if other != n && n.fleet.random.Float64() >= n.fleet.lossRate {
			delay := time.Millisecond + n.fleet.randomDuration(20*time.Millisecond)
			n.fleet.events.after(delay, func() { other.members.Merge([]*roster.Record{own}) })
		}
	}
}

// exchange compares the node with others until the time is over.
func (n *fleetNode) exchange(until time.Time) {
	if !time.Now().Before(until) {
		return
	}
	n.fleet.events.after(exchangeInterval/2+n.fleet.randomDuration(exchangeInterval), func() {
		other := n.fleet.randomNode()
		other.members.Merge(n.members.View().Records())
		n.members.Merge(other.members.View().Records())
		n.exchange(until)
	})
}

func (n *fleetNode) endpoint() string { return fmt.Sprint(n.members.Own().Node, "-", n.lives) }

// crash ends the node's back end under what is at work there.
func (n *fleetNode) crash() {
	if n.down {
		return
	}
	n.down = true
	crash := roster.Crash{Endpoint: n.endpoint(), Service: "one"}
	ended := n.running
	n.running, n.onTrial = nil, false
	for _, request := range ended {
		request.at = nil
		crash.Running = append(crash.Running, request.print)
		if request.suspect {
			crash.Trial = &request.print
		}
	}
	n.quarantine.Ended(crash)
	for _, request := range ended {
		n.fleet.events.after(0, func() { n.fleet.crashed(n, request) })
	}
	n.fleet.events.after(restartDelay, func() {
		n.lives++
		n.down = false
	})
}

// accept begins a send at the node and reports whether it has room for it.
func (n *fleetNode) accept(request *flight) bool {
	suspect := request.ends > 0 || n.quarantine.Suspects(request.print)
	if n.down || len(n.running) >= slots || (suspect && n.onTrial) {
		return false
	}
	request.at, request.suspect = n, suspect
	n.running = append(n.running, request)
	n.onTrial = n.onTrial || suspect
	return true
}

// complete ends a send at the node.
func (n *fleetNode) complete(request *flight) {
	n.running = slices.DeleteFunc(n.running, func(other *flight) bool { return other == request })
	if request.suspect {
		n.onTrial = false
	}
	request.at = nil
	n.quarantine.Survived(request.print)
	request.finish()
}

func (f *flight) finish() {
	if f.onFinish != nil {
		f.onFinish()
	}
}

// call carries a request through as nodes do.
func (f *fleet) call(from *fleetNode, print fingerprint.Fingerprint, harmful bool, onFinish func()) {
	f.sent++
	f.route(&flight{from: from, print: print, harmful: harmful, onFinish: onFinish})
}

// route sends a request to nodes until one takes it.
func (f *fleet) route(request *flight) {
	for request.visits < maxVisits && request.ends < attempts {
		request.visits++
		to := f.randomNode()
		if f.isQuarantined(request.from, request) || f.isQuarantined(to, request) {
			break
		}
		if to.accept(request) {
			f.work(to, request)
			return
		}
	}
	request.finish()
}

// work has the node's back end work on a request until it answers or ends.
func (f *fleet) work(at *fleetNode, request *flight) {
	lasts, life := crashDelay, at.lives
	if third, ended := f.thirdCrashAt[request.print]; request.harmful && ended && time.Since(third) > convergenceTime {
		f.sentAfterThird++
	}
	if !request.harmful {
		lasts = time.Duration(f.random.ExpFloat64() * float64(meanWork))
	}
	f.events.after(lasts, func() {
		switch {
		case request.at != at || at.lives != life: // the back end ended before
		case request.harmful:
			at.crash()
		default:
			at.complete(request)
		}
	})
}

// crashed sends a request again under which a node's back end has ended, unless the node
// answers that it holds the request back.
func (f *fleet) crashed(at *fleetNode, request *flight) {
	request.ends++
	if request.harmful {
		f.crashesByRequest[request.print]++
		if f.crashesByRequest[request.print] == 3 {
			f.thirdCrashAt[request.print] = time.Now()
		}
	}
	// What has met its last end is given up in any case.
	if request.ends < attempts && f.isQuarantined(at, request) {
		request.finish()
		return
	}
	f.route(request)
}

// isQuarantined reports whether the node isQuarantined the request back, and counts it if it is harmless.
func (f *fleet) isQuarantined(at *fleetNode, request *flight) bool {
	held := at.quarantine.Holds(request.print)
	if held && !request.harmful {
		f.falsePositives++
	}
	return held
}

// fingerprintOf returns the print of a request by its number.
func fingerprintOf(number uint64) (print fingerprint.Fingerprint) {
	binary.LittleEndian.PutUint64(print.Content[:], number)
	binary.LittleEndian.PutUint64(print.Call[:], number)
	print.Call[len(print.Call)-1] = 1
	return print
}

// traffic sends harmless requests until the time is over: most ask for something of their
// own, a tenth for one and the same thing.
func (f *fleet) traffic(until time.Time, perSecond float64) {
	const common, commonShare = 7, 0.1
	number := uint64(1000)
	var next func()
	next = func() {
		if !time.Now().Before(until) {
			return
		}
		number++
		asked := number
		if f.random.Float64() < commonShare {
			asked = common
		}
		from := f.randomNode()
		f.call(from, fingerprintOf(asked), false, func() {
			// The caller comes back once.
			if f.random.Float64() < 0.5 {
				f.events.after(100*time.Millisecond, func() { f.call(from, fingerprintOf(asked), false, nil) })
			}
		})
		f.events.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	f.events.after(0, next)
}

// simulate plays a day of a fleet for each of 30 seeds: what is arranged happens beside the
// traffic. It returns the fleets when all is quiet.
func simulate(t *testing.T, lossRate float64, lasts time.Duration, arrange func(*fleet)) (played []*fleet) {
	const days, size, perSecond = 30, 8, 250
	for seed := range uint64(days) {
		synctest.Test(t, func(*testing.T) {
			f := newFleet(size, seed, lossRate)
			until := time.Now().Add(lasts)
			for _, node := range f.nodes {
				node.exchange(until)
			}
			arrange(f)
			f.traffic(until, perSecond)
			f.events.run()
			played = append(played, f)
		})
	}
	return played
}

// countFalsePositives returns how many harmless requests were held back, of how many in all.
func countFalsePositives(played []*fleet) (held, sent int) {
	for _, f := range played {
		held, sent = held+f.falsePositives, sent+f.sent
	}
	return held, sent
}

// maxFalsePositiveRate is the part of the harmless requests that may be held back.
const maxFalsePositiveRate = 1e-4

// TestUnrelatedCrashes: where up to a half of the back ends end three times a day,
// together or one soon after the other, hardly any request is held back for it.
func TestUnrelatedCrashes(t *testing.T) {
	held, sent := countFalsePositives(simulate(t, 0.1, 12*time.Second, func(f *fleet) {
		for _, within := range []time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond} {
			at := time.Duration(2+f.random.Float64()*6) * time.Second
			// From a tenth to a half of the back ends.
			ending := 1 + f.random.IntN(len(f.nodes)/2)
			for _, i := range f.random.Perm(len(f.nodes))[:ending] {
				f.events.after(at+f.randomDuration(within), f.nodes[i].crash)
			}
		}
	}))
	t.Logf("%d of %d harmless requests held back", held, sent)
	NewWithT(t).Expect(float64(held)).To(BeNumerically("<=", maxFalsePositiveRate*float64(sent)))
}

// TestConcurrentCopies: a harmful request comes to several nodes in the same moment, before
// anybody knows. Each copy may end two back ends; later ones end none.
func TestConcurrentCopies(t *testing.T) {
	const copies, later = 3, 5
	afterwards := 0
	ends := map[int]int{}
	for _, f := range simulate(t, 0.3, 15*time.Second, func(f *fleet) {
		for i := range copies {
			f.events.after(time.Second, func() { f.call(f.nodes[i], fingerprintOf(0), true, nil) })
		}
		// Exchanges have brought the news to all.
		f.events.after(4*time.Second, f.mark)
		for i := range later {
			f.events.after(time.Duration(5+i)*time.Second, func() { f.call(f.nodes[i], fingerprintOf(0), true, nil) })
		}
	}) {
		ends[f.crashesByRequest[fingerprintOf(0)]]++
		afterwards += f.crashesByRequest[fingerprintOf(0)] - f.markedCrashes
	}
	t.Logf("back ends that ended under %d copies: %v; %d afterwards", copies, ends, afterwards)
	g := NewWithT(t)
	g.Expect(afterwards).To(BeZero())
	for count := range ends {
		g.Expect(count).To(BeNumerically("<=", 2*copies))
	}
}

// TestHarmfulRequests come to one node after the other while a third of the news is lost: few
// back ends end under each.
func TestHarmfulRequests(t *testing.T) {
	played := simulate(t, 0.3, 20*time.Second, func(f *fleet) {
		for harmful := range uint64(3) {
			for visit := range 8 {
				at := time.Duration(harmful)*4*time.Second + time.Duration(visit)*1500*time.Millisecond
				f.events.after(time.Second+at, func() {
					f.call(f.nodes[(int(harmful)+visit)%len(f.nodes)], fingerprintOf(harmful), true, nil)
				})
			}
		}
	})
	ends := map[int]int{}
	for _, f := range played {
		for _, count := range f.crashesByRequest {
			ends[count]++
		}
	}
	held, sent := countFalsePositives(played)
	t.Logf("harmful requests by the back ends that ended: %v; %d of %d harmless ones held back", ends, held, sent)
	g := NewWithT(t)
	for count := range ends {
		g.Expect(count).To(BeNumerically("<=", 3))
	}
	g.Expect(float64(held)).To(BeNumerically("<=", maxFalsePositiveRate*float64(sent)))
}

// TestHarmfulRequestsAmongUnrelatedCrashes: two harmful requests at a time, and back ends that end
// for other reasons beside them. It takes three ends to tell who did it; where news of two of
// them was lost a fourth back end ends, soon after the third (22 of 600 requests in 300 days,
// one a fifth).
func TestHarmfulRequestsAmongUnrelatedCrashes(t *testing.T) {
	played := simulate(t, 0.3, 20*time.Second, func(f *fleet) {
		for harmful := range uint64(2) {
			for visit := range 8 {
				f.events.after(time.Second+f.randomDuration(time.Second)+time.Duration(visit)*1500*time.Millisecond, func() {
					f.call(f.nodes[(4*int(harmful)+visit)%len(f.nodes)], fingerprintOf(harmful), true, nil)
				})
			}
		}
		for range 4 {
			f.events.after(f.randomDuration(6*time.Second), f.randomNode().crash)
		}
	})
	ends, afterwards := map[int]int{}, 0
	for _, f := range played {
		afterwards += f.sentAfterThird
		for _, count := range f.crashesByRequest {
			ends[count]++
		}
	}
	held, sent := countFalsePositives(played)
	t.Logf("harmful requests by the back ends that ended: %v; %d of %d harmless ones held back", ends, held, sent)
	g := NewWithT(t)
	g.Expect(afterwards).To(BeZero())
	for count := range ends {
		g.Expect(count).To(BeNumerically("<=", 4))
	}
	g.Expect(float64(held)).To(BeNumerically("<=", maxFalsePositiveRate*float64(sent)))
}
