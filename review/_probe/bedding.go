package main

import (
	"time"
)

// site is a started small deployment: one machine for each entry, all ready.
type site struct {
	store     *store
	address   string
	machines  []*machine
	upstreams []*upstream
}

type place struct{ name, zone, service string }

// build starts the store with a configuration, the machines and their upstreams.
func (b *bed) build(config []byte, work time.Duration, places []place, adjust func(*machine)) *site {
	built := &site{store: newStore(), address: b.network + ".200:8309"}
	built.store.serve(built.address)
	built.store.put(wire["configuration"], config)
	for _, one := range places {
		m := b.newMachine(one.name, one.zone, one.service, built.address, bounds())
		if adjust != nil {
			adjust(m)
			m.write()
		}
		built.machines = append(built.machines, m)
		built.upstreams = append(built.upstreams, startUpstream("i-"+one.name, one.service, one.zone, m.address(portApp), m.address(portControl), 12, work))
		b.start(m)
	}
	for _, u := range built.upstreams {
		go u.beatForever()
	}
	for _, m := range built.machines {
		if !m.awaitReady(15 * time.Second) {
			cannotRun("%s is not ready", m.name)
		}
		m.document["bootstrap"] = false // it is true only at the first start
		m.write()
	}
	time.Sleep(4 * time.Second)
	return built
}
