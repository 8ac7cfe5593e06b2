package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["forgotten"] = forgotten }

// forgotten: an upstream leaves while the store is down, and then all nodes are killed.
func forgotten(b *bed) (bool, string) {
	const drainMS = 2000
	s := b.build(configuration(7, routeOf("r-look", "look.example", "/look/", "idempotent", "registry", 1200, 400, 2), serviceOf("registry"), limitsOf()),
		50*time.Millisecond, []place{
			{"sidecar-hall-a-1", "hall-a", "registry"}, {"sidecar-hall-b-1", "hall-b", "registry"}, {"sidecar-hall-c-1", "hall-c", "registry"},
		}, nil)
	leaving := s.upstreams[1]
	if b.trouble {
		s.store.setDown(true)
		b.note("the store is down")
		time.Sleep(300 * time.Millisecond)
	}
	close(leaving.stop) // no more heartbeats
	acknowledged, err := leaving.call(http.MethodDelete, nil)
	if err != nil {
		cannotRun("the leaving was not acknowledged: %v", err)
	}
	b.note("%s sends DELETE, acknowledged at %s; it goes on serving for 12 s", leaving.id, b.at(acknowledged))
	time.AfterFunc(12*time.Second, func() { _ = leaving.server.Close() })
	time.Sleep(300 * time.Millisecond)
	if b.trouble {
		for _, m := range s.machines {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range s.machines {
			<-m.ended
		}
		b.note("all nodes are killed")
		time.Sleep(500 * time.Millisecond)
		for _, m := range s.machines {
			b.start(m)
		}
		b.note("all nodes are started again")
		time.Sleep(1400 * time.Millisecond)
		s.store.setDown(false)
		b.note("the store is back")
	}
	for _, m := range s.machines {
		if !m.awaitReady(5 * time.Second) {
			cannotRun("%s is not ready", m.name)
		}
	}
	// The store is stable contact_ms after it is back, and machines are in touch contact_ms after that.
	time.Sleep(6200 * time.Millisecond)
	b.note("the core is stable and all machines are in touch")
	for range 20 {
		for _, m := range s.machines {
			seen := plain(m.address(portOutbound), "GET", "look.example", "/look/1", newID("look"), 2500*time.Millisecond, "")
			b.note("%s at %s sent at %s: %d %s %s", seen.id, m.name, b.at(seen.sent), seen.status, seen.signature, seen.err)
		}
	}
	late := 0
	for _, seen := range leaving.seen() {
		if after := seen.at.Sub(acknowledged); !seen.refused && after > drainMS*time.Millisecond {
			late++
			b.note("%s reached %s %.0f ms after the acknowledgement", seen.id, leaving.id, after.Seconds()*1000)
		}
	}
	if late > 0 {
		return true, "DRAIN broken: requests reached an upstream more than drain_ms after its leaving was acknowledged"
	}
	return false, "DRAIN held"
}
