package simulation

import (
	"fmt"
	"slices"
	"time"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultKillProcess ends processes; their peers learn it at once, and
	// they start again when the fault ends.
	FaultKillProcess FaultKind = "kill-process"
	// FaultKillMachine ends processes without a word to their peers.
	FaultKillMachine FaultKind = "kill-machine"
	// FaultPause stops processes, which then go on as if no time had passed.
	FaultPause FaultKind = "pause"
	// FaultSlow delays everything to and from the processes by Delay.
	FaultSlow FaultKind = "slow"
	// FaultPartition cuts the target's zones from the rest.
	FaultPartition FaultKind = "partition"
	// FaultCutConnections breaks the open streams of the target once.
	FaultCutConnections FaultKind = "cut-connections"
	// FaultStoreOutage has the store refuse every request.
	FaultStoreOutage FaultKind = "store-outage"
	// FaultStoreSlow delays the store's answers by Delay.
	FaultStoreSlow FaultKind = "store-slow"
	// FaultStoreLostAnswers has the store's answers to writes get lost after
	// the write took effect.
	FaultStoreLostAnswers FaultKind = "store-lost-answers"
	// FaultStoreWatchCut ends every watch once.
	FaultStoreWatchCut FaultKind = "store-watch-cut"
	// FaultStoreWatchSilent has running watches deliver nothing more, while
	// they stay open.
	FaultStoreWatchSilent FaultKind = "store-watch-silent"
	// FaultStoreDuplicate has watches deliver every entry twice.
	FaultStoreDuplicate FaultKind = "store-duplicate"
	// FaultPoisonVersion has the target's proxies refuse the next version
	// for a while, as if it did not compile.
	FaultPoisonVersion FaultKind = "poison-version"
	// FaultClockSetBack ends processes; they start again, when the fault
	// ends, with their clock set back by Delay. It is only drawn at random
	// when a scenario names it.
	FaultClockSetBack FaultKind = "clock-set-back"
)

// FaultKinds lists every kind.
var FaultKinds = []FaultKind{
	FaultKillProcess, FaultKillMachine, FaultPause, FaultSlow, FaultPartition, FaultCutConnections,
	FaultStoreOutage, FaultStoreSlow, FaultStoreLostAnswers, FaultStoreWatchCut, FaultStoreWatchSilent,
	FaultStoreDuplicate, FaultPoisonVersion, FaultClockSetBack,
}

// drawnKinds are drawn at random when a scenario names no kinds.
var drawnKinds = FaultKinds[:len(FaultKinds)-1]

var storeFaults = []FaultKind{
	FaultStoreOutage, FaultStoreSlow, FaultStoreLostAnswers, FaultStoreWatchCut, FaultStoreWatchSilent, FaultStoreDuplicate,
}

// Targets that are not the name of a node, zone or region.
const (
	// TargetReader is one daemon that holds a reader slot.
	TargetReader = "reader"
	// TargetReaders is all of them.
	TargetReaders = "readers"
	// TargetRelay is one daemon with proxies attached.
	TargetRelay = "relay"
	// TargetDaemons is every daemon, TargetProxies every proxy.
	TargetDaemons = "daemons"
	TargetProxies = "proxies"
	// TargetProxy is one proxy.
	TargetProxy = "proxy"
	// TargetEverything is every process.
	TargetEverything = "everything"
)

var groupTargets = []string{
	TargetReader, TargetReaders, TargetRelay, TargetDaemons, TargetProxies, TargetProxy, TargetEverything,
}

// Fault is one line of the fault table.
type Fault struct {
	// At is when it begins, from the end of the start-up; AfterChange has it
	// begin right after the first change accepted from then on.
	At          Duration `json:"at"`
	AfterChange bool     `json:"afterChange,omitempty"`
	// Duration is how long it lasts.
	Duration Duration  `json:"duration"`
	Kind     FaultKind `json:"kind"`
	// Target is a group such as reader, relay, daemons or proxies, or the
	// name of a node, zone or region. Store faults have none.
	Target string `json:"target,omitempty"`
	// Delay is for the slow kinds.
	Delay Duration `json:"delay,omitempty"`
}

func (f Fault) problems(s Scenario) []string {
	var problems []string
	if !slices.Contains(FaultKinds, f.Kind) {
		problems = append(problems, fmt.Sprintf("kind: %q is not a fault kind", f.Kind))
	}
	if f.At < 0 || f.At > s.Duration {
		problems = append(problems, "at: must lie within the duration")
	}
	if slices.Contains(storeFaults, f.Kind) {
		return problems
	}
	if f.Target == "" {
		problems = append(problems, "target: is needed for this kind")
	}
	if f.Kind == FaultPartition && !s.hasZoneOrRegion(f.Target) {
		problems = append(problems, fmt.Sprintf("target: %q is not a zone or region", f.Target))
	}
	return problems
}

func (s Scenario) hasZoneOrRegion(name string) bool {
	return slices.ContainsFunc(s.Zones, func(z Zone) bool { return z.Name == name || z.Region == name })
}

// startFault begins a fault and schedules its end.
func (w *World) startFault(fault Fault) {
	targets := w.targets(fault)
	duration := time.Duration(fault.Duration)
	soft := fault.Kind == FaultKillProcess && len(targets) == 1 && targets[0].place == placeDaemon
	w.checker.edge(soft)
	w.trace(traceFault, 0, uint64(len(targets)))
	w.log("fault begins: %s %s for %s", fault.Kind, describe(targets, fault.Target), duration)
	w.faultsInjected++
	end := w.apply(fault, targets)
	w.checker.readersChanged()
	if end == nil {
		return
	}
	w.countFault(soft, 1)
	w.clock.after(duration, func() {
		w.countFault(soft, -1)
		w.checker.edge(soft)
		w.log("fault ends: %s %s", fault.Kind, describe(targets, fault.Target))
		end()
	})
}

func (w *World) countFault(soft bool, change int) {
	w.activeFaults += change
	if !soft {
		w.hardFaults += change
	}
}

func describe(targets []*node, name string) string {
	if len(targets) == 1 {
		return targets[0].name
	}
	return name
}

// apply makes the fault happen and returns what ends it, nil for a fault of a
// moment.
func (w *World) apply(fault Fault, targets []*node) func() {
	switch fault.Kind {
	case FaultKillProcess, FaultKillMachine:
		return w.killAll(targets, fault.Kind == FaultKillMachine)
	case FaultClockSetBack:
		return w.setBackAll(targets, time.Duration(fault.Delay))
	case FaultPause:
		return w.pauseAll(targets, time.Duration(fault.Duration))
	case FaultSlow:
		return w.slowAll(targets, time.Duration(fault.Delay))
	case FaultPartition:
		return w.network.isolate(fault.Target)
	case FaultCutConnections:
		for _, target := range targets {
			w.cutConnections(target)
		}
		return nil
	case FaultPoisonVersion:
		return w.poison(targets)
	default:
		return w.store.startFault(fault)
	}
}

func (w *World) killAll(targets []*node, silently bool) func() {
	var killed []*node
	for _, target := range targets {
		if target.alive {
			target.machineDown = silently
			w.kill(target, silently)
			killed = append(killed, target)
		}
	}
	return func() {
		for _, target := range killed {
			target.machineDown = false
			w.start(target)
		}
	}
}

func (w *World) setBackAll(targets []*node, delay time.Duration) func() {
	restart := w.killAll(targets, false)
	return func() {
		for _, target := range targets {
			target.clockBack += delay
		}
		restart()
	}
}

func (w *World) pauseAll(targets []*node, duration time.Duration) func() {
	for _, target := range targets {
		target.pausedUntil = max(target.pausedUntil, w.clock.now+duration)
	}
	return func() {}
}

func (w *World) slowAll(targets []*node, delay time.Duration) func() {
	for _, target := range targets {
		target.delay += delay
	}
	return func() {
		for _, target := range targets {
			target.delay -= delay
		}
	}
}

// slowed counts the nodes that faults have made slow; a slow store counts as
// all of them.
func (w *World) slowed() int {
	if w.store.delay > tolerableDelay {
		return len(w.nodes)
	}
	count := 0
	for _, node := range w.nodes {
		if node.delay > tolerableDelay {
			count++
		}
	}
	return count
}

func (w *World) poison(targets []*node) func() {
	for _, target := range targets {
		target.poisoned++
	}
	return func() {
		for _, target := range targets {
			target.poisoned--
		}
	}
}

// targets finds the nodes a fault hits.
func (w *World) targets(fault Fault) []*node {
	switch fault.Target {
	case TargetReader:
		return w.pickOne(w.daemonsWhere(func(n *node) bool { return n.control.HoldsReaderSlot() }))
	case TargetReaders:
		return w.daemonsWhere(func(n *node) bool { return n.control.HoldsReaderSlot() })
	case TargetRelay:
		return w.pickOne(w.daemonsWhere((*node).hasProxies))
	case TargetDaemons:
		return w.daemons
	case TargetProxies:
		return w.proxies
	case TargetProxy:
		return w.pickOne(w.proxies)
	case TargetEverything:
		return w.nodes
	case "":
		return nil
	}
	return w.nodesWhere(func(n *node) bool {
		return n.name == fault.Target || n.zone == fault.Target || n.region == fault.Target
	})
}

func (w *World) pickOne(candidates []*node) []*node {
	if len(candidates) == 0 {
		return nil
	}
	at := w.faultRandom.IntN(len(candidates))
	return candidates[at : at+1]
}

func (w *World) nodesWhere(match func(*node) bool) []*node {
	var list []*node
	for _, node := range w.nodes {
		if match(node) {
			list = append(list, node)
		}
	}
	return list
}

func (w *World) daemonsWhere(match func(*node) bool) []*node {
	return w.nodesWhere(func(n *node) bool { return n.control != nil && n.alive && match(n) })
}
