package simulation

import (
	"fmt"
	"slices"
	"time"
)

// Spread summarizes a set of durations in seconds.
type Spread struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Rate summarizes the nodes' bytes a second, sent and received together.
type Rate struct {
	Mean float64 `json:"mean"`
	// Max is the worst second of any node.
	Max float64 `json:"max"`
	// MaxNode names that node.
	MaxNode string `json:"max_node"`
	// MaxKinds divides that second's bytes by kind of message.
	MaxKinds map[string]uint64 `json:"max_by_kind"`
	Up       float64           `json:"up_mean"`
	Down     float64           `json:"down_mean"`
}

// RoleTraffic is the traffic of the nodes of one role.
type RoleTraffic struct {
	Nodes             int     `json:"nodes"`
	MessagesPerSecond float64 `json:"messages_per_node_second"`
	BytesPerSecond    float64 `json:"bytes_per_node_second"`
	// WorstSecond is the most bytes of any of them in one second.
	WorstSecond uint64 `json:"bytes_worst_second"`
	// WorstKinds divides that second by kind of message.
	WorstKinds map[string]uint64 `json:"bytes_worst_second_by_kind"`
}

// KindTraffic is the traffic of one kind of message.
type KindTraffic struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// Verdict says whether a promise held.
type Verdict struct {
	Promise Promise `json:"promise"`
	Held    bool    `json:"held"`
	Breach  *Breach `json:"breach,omitempty"`
}

// Result is what one run measured.
type Result struct {
	Scenario     string                 `json:"scenario"`
	Seed         uint64                 `json:"seed"`
	Mutation     Mutation               `json:"mutation,omitempty"`
	TraceDigest  string                 `json:"trace_digest"`
	Convergence  Spread                 `json:"convergence_seconds"`
	Drain        Spread                 `json:"drain_seconds"`
	NodeRate     Rate                   `json:"control_bytes_per_node_second"`
	ChangeBytes  float64                `json:"control_bytes_per_change"`
	UnchangedB   float64                `json:"version_only_bytes_per_change"`
	StoreRate    float64                `json:"store_requests_per_second"`
	StoreWorst   int                    `json:"store_requests_worst_second"`
	StartUpWorst int                    `json:"store_requests_worst_second_start_up"`
	StoreWatches int                    `json:"store_watches_worst"`
	Snapshots    uint64                 `json:"snapshots"`
	Kinds        map[string]KindTraffic `json:"messages_by_kind"`
	Roles        map[string]RoleTraffic `json:"traffic_by_role"`
	Changes      int                    `json:"changes_accepted"`
	Conflicts    int                    `json:"commit_conflicts"`
	Faults       int                    `json:"faults"`
	Delivered    int                    `json:"messages_delivered"`
	Refusals     int                    `json:"attach_refusals"`
	Refutations  int                    `json:"refutations"`
	Calls        int                    `json:"calls"`
	Promises     []Verdict              `json:"promises"`
	Broken       []Breach               `json:"broken_promises"`
	WallSeconds  float64                `json:"wall_seconds"`
}

// Run plays a scenario with a seed. Equal scenario, seed and options give an
// equal result but for WallSeconds.
func Run(scenario Scenario, options Options) (Result, error) {
	if err := scenario.Validate(); err != nil {
		return Result{}, err
	}
	began := time.Now()
	w := newWorld(scenario, options)
	w.run()
	result := w.result()
	result.WallSeconds = time.Since(began).Seconds()
	return result, nil
}

func (w *World) result() Result {
	seconds := time.Duration(w.scenario.Duration).Seconds()
	result := Result{
		Scenario: w.scenario.Name, Seed: w.seed, Mutation: w.mutation,
		TraceDigest:  fmt.Sprintf("%016x", w.digest.Sum64()),
		Convergence:  spreadOf(w.checker.convergence),
		Drain:        spreadOf(w.checker.drains),
		NodeRate:     w.nodeRate(seconds),
		StoreRate:    float64(w.store.requests.total) / seconds,
		StoreWorst:   w.store.requests.worst(),
		StartUpWorst: w.count.startUpWorst,
		StoreWatches: w.count.worstWatches,
		Snapshots:    w.count.messages[kindSnapshot] + w.count.messages[kindCheckpoint],
		Kinds:        map[string]KindTraffic{},
		Roles:        w.roles(seconds),
		Changes:      int(w.checker.newest() - w.initialVersion),
		Conflicts:    w.count.conflicts,
		Faults:       w.faultsInjected,
		Delivered:    w.count.delivered,
		Refusals:     w.count.refusals,
		Refutations:  w.count.refutations,
		Calls:        w.count.calls,
		Broken:       []Breach{},
	}
	for kind, name := range kindNames {
		result.Kinds[name] = KindTraffic{Messages: w.count.messages[kind], Bytes: w.count.bytes[kind]}
	}
	if result.Changes > 0 {
		result.ChangeBytes = float64(w.changeBytes()) / float64(result.Changes)
	}
	if versions := w.count.messages[kindVersion]; versions > 0 {
		result.UnchangedB = float64(w.count.bytes[kindVersion]) / float64(versions)
	}
	for _, promise := range Promises {
		verdict := Verdict{Promise: promise, Held: true}
		if breach, broken := w.checker.breaches[promise]; broken {
			verdict.Held, verdict.Breach = false, &breach
			result.Broken = append(result.Broken, breach)
		}
		result.Promises = append(result.Promises, verdict)
	}
	return result
}

// changeBytes counts the bytes spent to bring changes to the nodes: content
// and versions down, and the reports.
func (w *World) changeBytes() uint64 {
	var total uint64
	for _, kind := range []messageKind{kindVersion, kindSnapshot, kindDelta, kindCheckpoint, kindEntries} {
		total += w.count.bytes[kind]
	}
	return total
}

func (w *World) nodeRate(seconds float64) Rate {
	var rate Rate
	var up, down uint64
	counted := w.nodes
	if w.scenario.Distribution.Mode != ModeTree {
		counted = w.proxies
	}
	for _, n := range counted {
		n.traffic.closeSecond()
		rate.Mean += float64(n.traffic.total())
		if worst := float64(n.traffic.worst); worst > rate.Max {
			rate.Max, rate.MaxNode = worst, n.name
			rate.MaxKinds = byKind(n.traffic.worstKinds)
		}
	}
	for kind := range messageKinds {
		if kind == kindReport || kind == kindHello || kind == kindPoll {
			up += w.count.bytes[kind]
		} else {
			down += w.count.bytes[kind]
		}
	}
	nodes := float64(len(counted))
	rate.Mean /= nodes * seconds
	rate.Up = float64(up) / nodes / seconds
	rate.Down = float64(down) / nodes / seconds
	return rate
}

func byKind(bytes [messageKinds]uint64) map[string]uint64 {
	named := map[string]uint64{}
	for kind, count := range bytes {
		if count > 0 {
			named[kindNames[kind]] = count
		}
	}
	return named
}

func (w *World) roles(seconds float64) map[string]RoleTraffic {
	roles := map[string]RoleTraffic{}
	for _, n := range w.nodes {
		role := roles[w.roleOf(n)]
		role.Nodes++
		for kind := range messageKinds {
			role.MessagesPerSecond += float64(n.traffic.messages[kind]) / seconds
		}
		role.BytesPerSecond += float64(n.traffic.total()) / seconds
		if n.traffic.worst > role.WorstSecond {
			role.WorstSecond, role.WorstKinds = n.traffic.worst, byKind(n.traffic.worstKinds)
		}
		roles[w.roleOf(n)] = role
	}
	for name, role := range roles {
		role.MessagesPerSecond /= float64(role.Nodes)
		role.BytesPerSecond /= float64(role.Nodes)
		roles[name] = role
	}
	return roles
}

// roleOf names the role a node had at the end of the run.
func (w *World) roleOf(n *node) string {
	switch {
	case n.place == placeProxy:
		return "proxy"
	case n.alive && n.control.HoldsReaderSlot():
		return "reader"
	case n.alive && len(n.sessions) > 0:
		return "relay"
	default:
		return "daemon"
	}
}

func spreadOf(samples []time.Duration) Spread {
	if len(samples) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(samples))
	at := func(share float64) float64 { return sorted[int(share*float64(len(sorted)-1)+0.5)].Seconds() }
	return Spread{Count: len(sorted), P50: at(0.5), P99: at(0.99), Max: at(1)}
}
