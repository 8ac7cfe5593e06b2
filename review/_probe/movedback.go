package main

import (
	"syscall"
	"time"
)

func init() { cases["moved-back"] = movedBack }

// movedBack: the settings name another address of the store for a while, and then the first one again.
func movedBack(b *bed) (bool, string) {
	const applyMS = 2000
	version := func(number int, service string) []byte {
		return configuration(number,
			routeOf("r-look", "look.example", "/look/", "idempotent", service, 1200, 400, 2),
			serviceOf("registry"), serviceOf("archive"), limitsOf())
	}
	s := b.build(version(7, "registry"), 50*time.Millisecond, []place{
		{"sidecar-hall-a-1", "hall-a", "registry"}, {"sidecar-hall-b-1", "hall-b", "registry"},
		{"sidecar-hall-b-2", "hall-b", "archive"}, {"sidecar-hall-c-1", "hall-c", "archive"},
	}, nil)
	second := b.network + ".201:8309"
	other := s.store.serve(second)
	point := func(address string) {
		for _, m := range s.machines {
			m.document["platform"].(object)["address"] = address
			m.write()
			m.signal(syscall.SIGHUP)
		}
		b.note("the settings of all machines name the store at %s, SIGHUP sent", address)
	}
	if b.trouble {
		point(second)
		time.Sleep(5 * time.Second)
		point(s.address)
		time.Sleep(5 * time.Second)
	}
	_ = other.Close()
	b.note("no settings name %s any more, nothing listens there", second)
	time.Sleep(4 * time.Second)
	s.store.put(wire["configuration"], version(9, "archive"))
	acknowledged := time.Now()
	b.note("the store at %s acknowledges version 9, which moves the route from registry to archive", s.address)
	time.Sleep((applyMS + 500) * time.Millisecond)
	for range 20 {
		for _, m := range s.machines {
			seen := plain(m.address(portOutbound), "GET", "look.example", "/look/1", newID("look"), 2500*time.Millisecond, "")
			b.note("%s at %s, sent %.1f s after the acknowledgement: %d %s %s", seen.id, m.name, seen.sent.Sub(acknowledged).Seconds(), seen.status, seen.signature, seen.err)
		}
		time.Sleep(250 * time.Millisecond)
	}
	old, total := 0, 0
	for _, u := range s.upstreams {
		for _, seen := range u.seen() {
			if seen.ran && seen.at.Sub(acknowledged) > applyMS*time.Millisecond {
				total++
				if u.service == "registry" {
					old++
				}
			}
		}
	}
	b.note("of %d requests sent later than config_apply_ms after the acknowledgement the old service ran %d", total, old)
	if old > 0 {
		return true, "CONFIG broken: the old service ran requests sent later than config_apply_ms after the acknowledgement"
	}
	return false, "CONFIG held"
}
