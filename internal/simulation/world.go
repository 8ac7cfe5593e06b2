package simulation

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kestrelstream/kestrelstream/internal/distribution/control"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// World is one simulated system.
type World struct {
	scenario Scenario
	seed     uint64
	mutation Mutation
	clock    clock
	network  *network
	store    *storeModel
	checker  *checker
	sizes    *sizes

	controlConfig control.Config
	members       []membership.Member
	nodes         []*node
	daemons       []*node
	proxies       []*node
	byName        map[string]*node

	replay      *Replay
	loadRandom  *rand.Rand
	faultRandom *rand.Rand
	// storeNode stands for the store in the accounts of the baselines, whose
	// proxies directWatches lists; projections are theirs.
	storeNode     *node
	directWatches []*node
	projections   map[classVersion]*projection.Snapshot
	// onChange holds faults that wait for the next accepted change.
	onChange []Fault

	initialVersion uint64
	measureFrom    time.Duration
	nextSession    relay.SessionID
	operations     int
	activeFaults   int
	hardFaults     int
	faultsInjected int

	count   counters
	digest  *xxhash.Digest
	scratch [29]byte
	output  io.Writer
}

// counters count what happened while measuring and before.
type counters struct {
	delivered, reports, refusals, refutations   int
	applyFailures, conflicts, rejected, calls   int
	bytes, messages                             [messageKinds]uint64
	startUpRequests, startUpWorst, worstWatches int
}

// Options choose how a scenario is run.
type Options struct {
	Seed     uint64
	Mutation Mutation
	// Log receives a line per fault; nil for none.
	Log io.Writer
	// Replay, when set, replaces the scenario's resources and changes.
	Replay *Replay
}

// newWorld builds the system without starting it.
func newWorld(scenario Scenario, options Options) *World {
	w := &World{
		scenario: scenario, seed: options.Seed, mutation: options.Mutation, replay: options.Replay,
		byName: map[string]*node{}, digest: xxhash.New(), output: options.Log,
		loadRandom:  rand.New(rand.NewPCG(options.Seed, 1)),
		faultRandom: rand.New(rand.NewPCG(options.Seed, 2)),
		measureFrom: time.Duration(scenario.StartUp),
	}
	w.network = &network{
		scenario: &w.scenario, world: w, zones: map[string]Zone{}, isolated: map[string]int{},
		random: rand.New(rand.NewPCG(options.Seed, 3)),
	}
	for _, zone := range scenario.Zones {
		w.network.zones[zone.Name] = zone
	}
	w.storeNode = &node{name: "store"}
	w.projections = map[classVersion]*projection.Snapshot{}
	w.controlConfig = w.configure()
	w.checker = newChecker(w)
	w.store = newStoreModel(w, w.controlConfig.Slots)
	w.sizes = newSizes(scenario.Distribution.Compression)
	w.addNodes()
	return w
}

// configure applies the scenario's overrides to the defaults.
func (w *World) configure() control.Config {
	config := control.DefaultConfig()
	overrides := w.scenario.Distribution
	config.Relay.BatchWindow = time.Duration(overrides.BatchWindow)
	config.Relay.AlwaysSnapshot = overrides.AlwaysSnapshot
	if overrides.RelaysPerZone > 0 {
		config.RelaysPerZone = overrides.RelaysPerZone
	}
	if overrides.Heartbeat > 0 {
		config.Relay.Heartbeat = time.Duration(overrides.Heartbeat)
	}
	if overrides.Silence > 0 {
		config.Subscriber.Silence = time.Duration(overrides.Silence)
	}
	if overrides.KeepAlive > 0 {
		config.Subscriber.KeepAlive = time.Duration(overrides.KeepAlive)
	}
	if overrides.AckWindow > 0 {
		config.Subscriber.AckWindow = time.Duration(overrides.AckWindow)
	}
	if overrides.LazyAckWindow > 0 {
		config.Relay.LaggardDelay += time.Duration(overrides.LazyAckWindow) - config.Subscriber.LazyAckWindow
		config.Subscriber.LazyAckWindow = time.Duration(overrides.LazyAckWindow)
	}
	if overrides.StatusWindow > 0 {
		config.Relay.StatusWindow = time.Duration(overrides.StatusWindow)
	}
	if overrides.StatusInterval > 0 {
		config.Relay.StatusInterval = time.Duration(overrides.StatusInterval)
	}
	if w.mutation == MutationSkipClosure {
		config.Relay.Project = projectWithout
	}
	return config
}

func (w *World) addNodes() {
	for i := range w.scenario.DaemonsPerZone * len(w.scenario.Zones) {
		zone := w.scenario.Zones[i%len(w.scenario.Zones)]
		n := &node{name: fmt.Sprintf("daemon-%s-%d", zone.Name, i/len(w.scenario.Zones)+1), zone: zone.Name, region: zone.Region, place: placeDaemon}
		w.daemons = append(w.daemons, n)
		w.members = append(w.members, n.member())
		w.addNode(n)
	}
	for i := range w.scenario.Proxies {
		zone := w.scenario.Zones[i%len(w.scenario.Zones)]
		// Zones and services advance at different paces, so that every
		// service has back ends in many zones.
		service := serviceName((i + i/len(w.scenario.Zones)) % w.scenario.Services)
		n := &node{name: fmt.Sprintf("proxy-%04d", i), zone: zone.Name, region: zone.Region, place: placeProxy, service: service}
		n.upstream = i < w.scenario.Upstreams
		n.entitlement = projection.Entitlement{Zone: zone.Name, Services: []string{service}}
		w.proxies = append(w.proxies, n)
		w.addNode(n)
	}
}

func (w *World) addNode(n *node) {
	n.index = len(w.nodes)
	w.nodes = append(w.nodes, n)
	w.byName[n.name] = n
}

// run plays the scenario to its end.
func (w *World) run() {
	w.acceptInitial()
	started := w.nodes
	if w.scenario.Distribution.Mode != ModeTree {
		started = w.proxies
	}
	for _, n := range started {
		w.startAtRandom(n)
	}
	w.clock.at(w.measureFrom, w.beginLoad)
	end := w.measureFrom + time.Duration(w.scenario.Duration)
	for w.clock.step(end) {
		continue
	}
	w.checker.checkEnd()
}

// startSpread is how far apart processes start.
const startSpread = 200 * time.Millisecond

func (w *World) startAtRandom(n *node) {
	w.clock.at(time.Duration(w.loadRandom.Int64N(int64(startSpread))), func() {
		w.start(n)
		w.wake(n)
	})
}

func (w *World) acceptInitial() {
	admission := resource.NewAdmission(resource.NewState())
	if err := admission.Admit(w.initialBatch()); err != nil {
		panic("simulation: the initial configuration is built to be admitted: " + err.Error())
	}
	w.store.append(admission.Entry())
	w.initialVersion = 1
}

func (w *World) beginLoad() {
	w.count.startUpRequests, w.count.startUpWorst = w.store.requests.total, w.store.requests.worst()
	w.store.requests = requestCounter{}
	if w.replay != nil {
		w.scheduleReplay()
	} else {
		w.scheduleChanges()
	}
	w.scheduleChurn()
	for _, fault := range sortedFaults(w.scenario.Faults) {
		w.clock.after(time.Duration(fault.At), func() { w.armFault(fault) })
	}
	w.scheduleRandomFaults()
}

func (w *World) armFault(fault Fault) {
	if fault.AfterChange {
		w.onChange = append(w.onChange, fault)
		return
	}
	w.startFault(fault)
}

func (w *World) changeAccepted() {
	waiting := w.onChange
	w.onChange = nil
	for _, fault := range waiting {
		w.clock.after(0, func() { w.startFault(fault) })
	}
}

// The ends of a run are kept free of new faults, so that the last one heals
// and what it delayed can be judged.
const quietEnd = 15 * time.Second

func (w *World) scheduleRandomFaults() {
	interval := time.Duration(w.scenario.RandomFaults.Interval)
	if interval == 0 {
		return
	}
	end := w.measureFrom + time.Duration(w.scenario.Duration) - quietEnd
	w.clock.after(exponential(w.faultRandom, interval), func() {
		if w.clock.now < end {
			w.startFault(w.drawFault(end))
			w.scheduleRandomFaults()
		}
	})
}

// drawFault draws a fault of any kind that heals before the end.
func (w *World) drawFault(end time.Duration) Fault {
	kinds := w.scenario.RandomFaults.Kinds
	if len(kinds) == 0 {
		kinds = drawnKinds
	}
	longest := min(time.Duration(w.scenario.RandomFaults.MaximumDuration), end-w.clock.now)
	fault := Fault{
		Kind:     kinds[w.faultRandom.IntN(len(kinds))],
		Duration: Duration(w.faultRandom.Int64N(int64(longest) + 1)),
		Delay:    Duration(w.faultRandom.Int64N(int64(maximumRandomDelay))),
	}
	if slices.Contains(storeFaults, fault.Kind) {
		return fault
	}
	if fault.Kind == FaultPartition {
		zone := w.scenario.Zones[w.faultRandom.IntN(len(w.scenario.Zones))]
		fault.Target = []string{zone.Name, zone.Region}[w.faultRandom.IntN(2)]
		return fault
	}
	fault.Target = groupTargets[w.faultRandom.IntN(len(groupTargets))]
	if w.faultRandom.IntN(3) == 0 {
		fault.Target = w.scenario.Zones[w.faultRandom.IntN(len(w.scenario.Zones))].Name
	}
	return fault
}

// maximumRandomDelay bounds the delay of the slow kinds that are drawn.
const maximumRandomDelay = 400 * time.Millisecond

// The kinds of events in a trace.
const (
	traceStart = iota + 1
	traceKill
	traceFault
	traceHello
	traceMessage
	traceReport
	traceWatch
	traceApply
	traceAccept
)

// trace adds an event to the digest.
func (w *World) trace(kind byte, node int, value uint64) {
	w.scratch[0] = kind
	binary.LittleEndian.PutUint64(w.scratch[1:], uint64(w.clock.now))
	binary.LittleEndian.PutUint64(w.scratch[9:], uint64(node))
	binary.LittleEndian.PutUint64(w.scratch[17:], value)
	_, _ = w.digest.Write(w.scratch[:25])
}

func (w *World) log(format string, arguments ...any) {
	if w.output != nil {
		_, _ = fmt.Fprintf(w.output, "%10s  %s\n", w.clock.now.Round(time.Millisecond), fmt.Sprintf(format, arguments...))
	}
}
