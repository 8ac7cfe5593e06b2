package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// reviewCase is one case: the bounds of its deployment, and what is played and judged.
type reviewCase struct {
	bounds func() bounds
	run    func(f *fleet, trouble bool) (violations []string, err error)
}

var cases = map[string]reviewCase{
	"rolling": {smallBounds, rolling},
}

// fixed returns the same work for every request.
func fixed(work time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return work }
}

// historyWork is the work of historico-consulta in the site file: mean 550 ms, spread 0.8, one in a hundred three times as
// long, 3,300 ms at most.
var historyWork = drawnWork{mean: 550, spread: 0.8, tail: 0.01, tailTimes: 3, most: 3300}

// speeds are those of the upstreams of a service, of which the site file has [0.5, 1.0, 1.0, 1.5].
var speeds = []float64{0.5, 1.0, 1.5}

// drawnWork is how long the requests of a kind take, in milliseconds.
type drawnWork struct{ mean, spread, tail, tailTimes, most float64 }

// at returns the work at an upstream of a speed.
func (d drawnWork) at(speed float64) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration {
		drawn := d.mean * math.Exp(d.spread*rand.NormFloat64()-d.spread*d.spread/2)
		if rand.Float64() < d.tail {
			drawn *= d.tailTimes
		}
		return time.Duration(min(drawn, d.most) / speed * float64(time.Millisecond))
	}
}

// addServices adds a machine of each service in each zone.
func (f *fleet) addServices(zones []string, services ...string) {
	for _, service := range services {
		for number, zone := range zones {
			f.add(zone, service, historyWork.at(speeds[number%len(speeds)]))
		}
	}
}

// rolling restarts all machines in turn, one a second, as roll_term does with x = 1 and gap_s = 1.
func rolling(f *fleet, trouble bool) (violations []string, err error) {
	const timeout, deadline = 5 * time.Second, 10 * time.Second
	zones := []string{"sala-norte", "sala-sul", "sala-porto"}
	f.addServices(zones, "rede-pontos", "tarifario", "sessoes")
	f.configure(1, []route{
		{"historico", "/historico/", "idempotent", "rede-pontos", int(timeout.Milliseconds()), 1500, 2, 2},
		{"comando", "/comando/", "non_idempotent", "rede-pontos", int(timeout.Milliseconds()), 1500, 1, 2},
	})
	if err := f.start(); err != nil {
		return nil, err
	}
	sent := &tries{}
	ctx, cancel := context.WithCancel(f.context)
	var running sync.WaitGroup
	for _, each := range f.machines {
		running.Add(2)
		go (&load{machine: each, name: "h", method: http.MethodGet, prefix: "/historico/", deadline: deadline, every: 150 * time.Millisecond, into: sent}).run(ctx, &running)
		go (&load{machine: each, name: "c", method: http.MethodPost, prefix: "/comando/", body: 400, deadline: deadline, every: 300 * time.Millisecond, into: sent}).run(ctx, &running)
	}
	time.Sleep(4 * time.Second)
	for range 4 {
		for _, each := range f.machines {
			if trouble {
				each.signal(syscall.SIGTERM)
			}
			time.Sleep(time.Second)
		}
	}
	time.Sleep(4 * time.Second)
	cancel()
	running.Wait()
	return f.lost(sent.list(), timeout, deadline), nil
}

// runOf returns the runs of a request at all upstreams.
func (f *fleet) runsOf() map[string][]run {
	byID := map[string][]run{}
	for _, each := range f.machines {
		for _, entry := range each.up.allRuns() {
			byID[entry.id] = append(byID[entry.id], entry)
		}
	}
	return byID
}

// lost returns the requests that break LOST around a SIGTERM of the machine that took them: passed on to an upstream
// and given up without its answer.
func (f *fleet) lost(all []*try, timeout, deadline time.Duration) (violations []string) {
	const slack = 200 * time.Millisecond
	grace := time.Duration(f.bounds["grace_s"] * float64(time.Second))
	runs := f.runsOf()
	for _, entry := range all {
		term, found := entry.machine.lastTerm(entry.ended)
		if !found || entry.sent > term+grace+time.Second {
			continue
		}
		given := entry.status == 0 && !entry.notReached || (entry.status >= 500 && entry.status != http.StatusServiceUnavailable && !entry.signed) ||
			(entry.status/100 == 2 && !entry.whole)
		if !given || len(runs[entry.id]) == 0 {
			continue
		}
		if held := entry.ended - entry.sent; held >= min(timeout, deadline)-slack {
			continue // the deadline or the route's timeout was reached
		}
		if entry.ended >= term+grace*5/6 && entry.ended <= term+grace && entry.sent <= term+3*time.Second {
			continue // the last sixth of grace_s
		}
		violations = append(violations, fmt.Sprintf("LOST: %s sent to %s at %.3f, which got SIGTERM at %.3f; run at %.3f, ended with status %d at %.3f",
			entry.id, entry.machine.name, entry.sent.Seconds(), term.Seconds(), runs[entry.id][0].began.Seconds(), entry.status, entry.ended.Seconds()))
	}
	return violations
}
