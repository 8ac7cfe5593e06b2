package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["grace"] = reviewCase{largeBounds, grace} }

// largeBounds are those of the large deployment of Mesh for Municipal EV Charging Sessions.
func largeBounds() bounds {
	set := smallBounds()
	for name, value := range map[string]float64{
		"contact_ms": 4000, "ack_ms": 5000, "sync_s": 6, "drain_ms": 3000, "grace_s": 10, "config_apply_ms": 3000, "max_skew_ms": 6000, wire["budget slack"]: 430,
	} {
		set[name] = value
	}
	return set
}

// longHistoryWork is the work of historico-consulta there: mean 1,300 ms, 7,800 ms at most.
var longHistoryWork = drawnWork{mean: 1300, spread: 0.8, tail: 0.01, tailTimes: 3, most: 7800}

// longSpeeds are those of the upstreams of rede-pontos there.
var longSpeeds = []float64{0.6, 1.0, 1.4}

// grace restarts the two machines of each of two zones in turn, one a second. The upstreams that serve the requests and
// the nodes beside them are in a third zone and run on.
func grace(f *fleet, trouble bool) (violations []string, err error) {
	const timeout, deadline = 12 * time.Second, 25 * time.Second
	for number := range 21 {
		f.add("sala-central", "rede-pontos", longHistoryWork.at(longSpeeds[number%len(longSpeeds)]))
	}
	callers := len(f.machines)
	for _, zone := range []string{"sala-norte", "sala-sul"} {
		f.add(zone, "tarifario", longHistoryWork.at(1))
		f.add(zone, "sessoes", longHistoryWork.at(1))
	}
	f.configure(1, []route{{"historico", "/historico/", "idempotent", "rede-pontos", int(timeout.Milliseconds()), 4000, 2, 2}})
	if err := f.start(); err != nil {
		return nil, err
	}
	sent := &tries{}
	ctx, cancel := context.WithCancel(f.context)
	var running sync.WaitGroup
	for _, each := range f.machines[callers:] {
		running.Add(1)
		go (&load{machine: each, name: "h", method: http.MethodGet, prefix: "/historico/", deadline: deadline, every: 20 * time.Millisecond, into: sent}).run(ctx, &running)
	}
	time.Sleep(4 * time.Second)
	for range 3 {
		for _, each := range f.machines[callers:] {
			if trouble {
				each.signal(syscall.SIGTERM)
			}
			time.Sleep(time.Second)
		}
		time.Sleep(14 * time.Second)
	}
	cancel()
	running.Wait()
	return f.lost(sent.list(), timeout, deadline), nil
}
