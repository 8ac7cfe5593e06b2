package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = reviewCase{smallBounds, drain} }

// leave makes the upstream say that it is draining. It serves on for longer, as the pages allow.
func (m *machine) leave() {
	m.up.mu.Lock()
	m.up.state = "draining"
	m.up.mu.Unlock()
	m.up.beat(m.at(portControl))
}

// end deregisters the upstream and ends it. The platform then stops the machine for good.
func (m *machine) end() {
	callControl(http.MethodDelete, m.at(portControl), m.up.id, nil)
	m.fleet.log.add("%s ends", m.up.id)
	m.up.close()
	m.mu.Lock()
	m.held = true
	m.mu.Unlock()
	m.signal(syscall.SIGTERM)
}

// drain: one upstream of three of a service leaves, and the machines beside the three are restarted in turn; then the same
// with another service.
func drain(f *fleet, trouble bool) (violations []string, err error) {
	const timeout, deadline = 5 * time.Second, 10 * time.Second
	leaving := []string{"rede-pontos", "tarifario"}
	f.addServices([]string{"sala-norte", "sala-sul", "sala-porto"}, "rede-pontos", "tarifario", "sessoes")
	var routes []route
	for _, service := range leaving {
		routes = append(routes, route{service, "/" + service + "/", "idempotent", service, int(timeout.Milliseconds()), 1500, 2, 2})
	}
	f.configure(1, routes)
	if err := f.start(); err != nil {
		return nil, err
	}
	sent := &tries{}
	ctx, cancel := context.WithCancel(f.context)
	var running sync.WaitGroup
	for _, service := range leaving {
		for _, each := range f.machines {
			if each.service == service {
				continue
			}
			running.Add(1)
			go (&load{machine: each, name: service, method: http.MethodGet, prefix: "/" + service + "/", deadline: deadline, every: 100 * time.Millisecond, into: sent}).run(ctx, &running)
		}
	}
	for round := range leaving {
		time.Sleep(5 * time.Second)
		beside := f.machines[3*round : 3*round+3]
		for _, each := range []*machine{beside[1], beside[2], beside[0]} {
			if each == beside[0] {
				each.leave()
			}
			if trouble {
				each.signal(syscall.SIGTERM)
			}
			time.Sleep(time.Second)
		}
		time.Sleep(8 * time.Second)
		beside[0].end()
	}
	cancel()
	running.Wait()
	for round := range leaving {
		violations = append(violations, f.late(f.machines[3*round].up, sent.list())...)
	}
	return violations, nil
}

// late returns the requests of machines in touch that reached an upstream later than drain_ms after the acknowledgement
// of its leaving.
func (f *fleet) late(left *upstream, all []*try) (violations []string) {
	bound := time.Duration(f.bounds["drain_ms"]) * time.Millisecond
	byID := map[string]*try{}
	for _, entry := range all {
		byID[entry.id] = entry
	}
	for _, entry := range left.allRuns() {
		after := entry.began - left.leavingAcked
		if from := byID[entry.id]; from != nil && left.leavingAcked > 0 && after > bound && from.machine.inTouch(from.sent) {
			violations = append(violations, fmt.Sprintf("DRAIN: %s sent to %s at %.3f ran at %s %.3f s after the ack", entry.id, from.machine.name, from.sent.Seconds(), left.id, after.Seconds()))
		}
	}
	return violations
}
