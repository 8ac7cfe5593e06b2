package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["rollout"] = reviewCase{rolloutBounds, rollout} }

// rolloutBounds are those of Mesh for Municipal EV Charging Sessions, some months on.
func rolloutBounds() bounds {
	set := smallBounds()
	for name, value := range map[string]float64{
		"ack_ms": 5000, "sync_s": 6, "drain_ms": 2500, "config_apply_ms": 2500, wire["budget slack"]: 200,
		wire["canary share"]: 0.1, wire["canary slack"]: 50, "rollback_ms": 5000,
	} {
		set[name] = value
	}
	return set
}

const (
	// rolloutDuration is the time within which a roll-out is to be done, turnedAway the time for which the store turns
	// the machines of the new version away, which ends lateStart before the nodes decide.
	rolloutDuration = 14 * time.Second
	turnedAway      = 8200 * time.Millisecond
	lateStart       = 800 * time.Millisecond
	freshMachines   = 4
)

// bad is the software of a bad version: half of its answers are failures.
type bad struct {
	log      *record
	answered atomic.Int64

	mu       sync.Mutex // guards failures
	failures []time.Duration
}

func (b *bad) answer(id string) func(w http.ResponseWriter, _ *http.Request) bool {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		if b.answered.Add(1)%2 == 0 {
			return false
		}
		w.Header().Set(wire["signature"], "signed."+id)
		w.WriteHeader(http.StatusInternalServerError)
		at := b.log.now()
		b.mu.Lock()
		defer b.mu.Unlock()
		b.failures = append(b.failures, at)
		return true
	}
}

// rollout orders a bad version for one service after the other, until one is completed. The machines of the new version
// start beside the old ones; the store turns them away at first and serves all others.
func rollout(f *fleet, trouble bool) (violations []string, err error) {
	services := []string{"rede-pontos", "tarifario", "sessoes", "contratos", "medidores"}
	var routes []route
	for _, service := range services {
		f.add("sala-norte", service, fixed(50*time.Millisecond))
		f.add("sala-sul", service, fixed(50*time.Millisecond))
		routes = append(routes, route{service, "/" + service + "/", "idempotent", service, 2000, 600, 2, 2})
	}
	f.configure(1, routes)
	if err := f.start(); err != nil {
		return nil, err
	}
	sent := &tries{}
	ctx, cancel := context.WithCancel(f.context)
	defer cancel()
	var running sync.WaitGroup
	for _, each := range f.machines {
		for _, service := range services {
			running.Add(1)
			go (&load{machine: each, name: service, method: http.MethodGet, prefix: "/" + service + "/", deadline: 4 * time.Second, every: 100 * time.Millisecond, into: sent}).run(ctx, &running)
		}
	}
	for round, service := range services {
		software := &bad{log: f.log}
		fresh, restored, err := f.rollOut(round, service, software, trouble)
		if err != nil {
			return nil, err
		}
		if f.rolloutState(service) != "completed" {
			continue
		}
		f.stopOld(service)
		time.Sleep(14 * time.Second)
		cancel()
		running.Wait()
		return f.exposure(service, sent.list(), fresh, software, restored), nil
	}
	cancel()
	running.Wait()
	return nil, nil
}

// rollOut plays one roll-out up to its end. restored is when the store served the new machines again.
func (f *fleet) rollOut(round int, service string, software *bad, trouble bool) (fresh []*machine, restored time.Duration, err error) {
	order, err := json.Marshal(map[string]any{"service": service, wire["target version"]: "v2", "duration_s": rolloutDuration.Seconds()})
	if err != nil {
		return nil, 0, err
	}
	ordered := time.Now()
	f.store.put(wire["rollout order"]+service, order)
	f.log.add("roll-out of v2 of %s ordered", service)
	time.Sleep(rolloutDuration - lateStart - turnedAway)
	var switches []*atomic.Bool
	for number := range freshMachines {
		next := f.add([]string{"sala-norte", "sala-sul"}[number%2], service, fixed(50*time.Millisecond))
		next.storeAddress = fmt.Sprintf("%s.%d:8309", f.network, 100+10*round+number)
		busy, err := f.store.listen(next.storeAddress)
		if err != nil {
			return nil, 0, err
		}
		busy.Store(trouble)
		switches = append(switches, busy)
		next.up.version, next.up.answer = "v2", software.answer(next.up.id)
		if err := next.start(false); err != nil {
			return nil, 0, err
		}
		fresh = append(fresh, next)
	}
	time.Sleep(turnedAway)
	for _, busy := range switches {
		busy.Store(false)
	}
	restored = f.log.add("the store serves the new machines")
	time.Sleep(time.Until(ordered.Add(rolloutDuration + time.Second)))
	f.log.add("status of %s: %s", service, f.store.value(wire["rollout status"]+service))
	fmt.Printf("%s: %s\n", service, f.rolloutState(service))
	return fresh, restored, nil
}

// rolloutState returns the state that the operator reads.
func (f *fleet) rolloutState(service string) string {
	var status struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(f.store.value(wire["rollout status"]+service), &status)
	return status.State
}

// stopOld stops the upstreams of the old version at once, as the platform does when a roll-out is completed, and the
// machines with them.
func (f *fleet) stopOld(service string) {
	for _, each := range f.machines {
		if each.service == service && each.up.version == "v1" {
			f.log.add("%s is stopped", each.up.id)
			each.up.close()
			each.mu.Lock()
			each.held = true
			each.mu.Unlock()
			each.signal(syscall.SIGTERM)
		}
	}
}

// exposure returns the requests that the bad version gets from machines in touch later than rollback_ms after its 50th bad
// answer since the core was stable again.
func (f *fleet) exposure(service string, all []*try, fresh []*machine, software *bad, restored time.Duration) (violations []string) {
	const badAnswers = 50
	milliseconds := func(name string) time.Duration { return time.Duration(f.bounds[name]) * time.Millisecond }
	var counted []time.Duration
	software.mu.Lock()
	for _, at := range software.failures {
		if at >= restored+milliseconds("contact_ms") {
			counted = append(counted, at)
		}
	}
	software.mu.Unlock()
	if len(counted) < badAnswers {
		return nil
	}
	limit := counted[badAnswers-1] + milliseconds("rollback_ms")
	byID := map[string]*try{}
	for _, entry := range all {
		byID[entry.id] = entry
	}
	for _, each := range fresh {
		for _, entry := range each.up.allRuns() {
			if from := byID[entry.id]; from != nil && from.sent > limit && from.machine.inTouch(from.sent) {
				violations = append(violations, fmt.Sprintf("EXPOSURE: %s sent to %s at %.3f ran at %s, the bad version of %s; its 50th bad answer came at %.3f",
					entry.id, from.machine.name, from.sent.Seconds(), each.up.id, service, counted[badAnswers-1].Seconds()))
			}
		}
	}
	return violations
}
