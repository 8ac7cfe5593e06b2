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

// drain: one upstream of three leaves, and the machines beside the three are restarted in turn.
func drain(f *fleet, trouble bool) (violations []string, err error) {
	const timeout, deadline = 5 * time.Second, 10 * time.Second
	zones := []string{"sala-norte", "sala-sul", "sala-porto"}
	f.addServices(zones, "rede-pontos", "tarifario", "sessoes")
	f.configure(1, []route{{"historico", "/historico/", "idempotent", "rede-pontos", int(timeout.Milliseconds()), 1500, 2, 2}})
	if err := f.start(); err != nil {
		return nil, err
	}
	sent := &tries{}
	ctx, cancel := context.WithCancel(f.context)
	var running sync.WaitGroup
	for _, each := range f.machines[3:] {
		running.Add(1)
		go (&load{machine: each, name: "h", method: http.MethodGet, prefix: "/historico/", deadline: deadline, every: 100 * time.Millisecond, into: sent}).run(ctx, &running)
	}
	time.Sleep(5 * time.Second)
	for _, each := range []*machine{f.machines[1], f.machines[2], f.machines[0]} {
		if each == f.machines[0] {
			each.leave()
		}
		if trouble {
			each.signal(syscall.SIGTERM)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(8 * time.Second)
	cancel()
	running.Wait()
	left := f.machines[0].up
	byID := map[string]*try{}
	for _, entry := range sent.list() {
		byID[entry.id] = entry
	}
	for _, entry := range left.allRuns() {
		late := entry.began - left.leavingAcked - 2*time.Second
		if from := byID[entry.id]; left.leavingAcked > 0 && late > 0 && from.machine.inTouch(from.sent) {
			violations = append(violations, fmt.Sprintf("DRAIN: %s sent to %s at %.3f ran at %s %.3f s after the ack", entry.id, from.machine.name, from.sent.Seconds(), left.id, (late+2*time.Second).Seconds()))
		}
	}
	return violations, nil
}
