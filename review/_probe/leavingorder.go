package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leaving-order"] = leavingOrder }

// leavingOrder: a bad version is ordered while the machines of the old one are being restarted.
func leavingOrder(b *bed) (bool, string) {
	const (
		service, host = "sessoes", "sessoes.example"
		rollbackMS    = 5000
		badAnswers    = 50
	)
	var places []place
	for _, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		places = append(places, place{"sidecar-" + zone + "-1", zone, service}, place{"sidecar-" + zone + "-2", zone, "tarifario"}, place{"sidecar-" + zone + "-3", zone, "tarifario"})
	}
	adjust := func(m *machine) {
		limits := m.document["bounds"].(map[string]any)
		for name, value := range map[string]any{
			"ack_ms": 5000, "sync_s": 6, "drain_ms": 2500, "config_apply_ms": 2500, wire["retry slack"]: 200,
			wire["canary share"]: 0.1, wire["canary slack"]: 50, "rollback_ms": rollbackMS,
		} {
			limits[name] = value
		}
		m.document["contracts"] = []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "rollout", "platform"}
	}
	s := b.build(configuration(7, routeOf("r-command", host, "/command/", "non_idempotent", service, 3000, 1000, 2), serviceOf(service), serviceOf("tarifario"), limitsOf()),
		290*time.Millisecond, places, adjust)
	old := func(m *machine) bool { return m.service == service }
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, m := range s.machines {
		if old(m) {
			continue
		}
		for range 4 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					plain(m.address(portOutbound), "POST", host, "/command/1", newID("command"), 6*time.Second, "x")
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	// The upstreams of the new version are started alongside the old ones.
	var fresh []*upstream
	for _, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		m := b.newMachine("sidecar-"+zone+"-4", zone, service, s.address, bounds())
		adjust(m)
		m.document["bootstrap"] = false
		m.write()
		u := startUpstream("i-"+m.name, service, zone, m.address(portApp), m.address(portControl), 12, 290*time.Millisecond)
		u.version, u.bad = "v2", true
		fresh = append(fresh, u)
		b.start(m)
		go u.beatForever()
	}
	b.note("three machines of version v2 are started; every second answer of v2 is a failure")
	time.Sleep(3 * time.Second)
	if b.trouble {
		for _, m := range s.machines {
			if old(m) {
				m.signal(syscall.SIGTERM)
				b.note("%s gets SIGTERM", m.name)
				go func() {
					stopped := m.ended
					select {
					case <-stopped:
					case <-time.After(6 * time.Second):
						m.signal(syscall.SIGKILL)
						<-stopped
					}
					time.Sleep(200 * time.Millisecond)
					b.start(m)
					b.note("%s is started again", m.name)
				}()
			}
		}
	}
	time.Sleep(2200 * time.Millisecond)
	order, _ := json.Marshal(object{"service": service, wire["target version"]: "v2", "duration_s": 14})
	s.store.put(wire["rollout order"]+service, order)
	ordered := time.Now()
	b.note("the operator orders v2 of %s within 14 s", service)
	state, stopped := "", false
	for time.Since(ordered) < 24*time.Second {
		time.Sleep(20 * time.Millisecond)
		var status map[string]any
		if json.Unmarshal(s.store.value(wire["rollout status"]+service), &status) != nil {
			continue
		}
		if next := fmt.Sprint(status["state"]); next != state {
			state = next
			b.note("the status says %s of %v, %.2f s after the order", state, status[wire["target version"]], time.Since(ordered).Seconds())
		}
		if state == "completed" && !stopped {
			stopped = true
			for _, u := range s.upstreams {
				if u.service == service {
					close(u.stop)
					_ = u.server.Close()
				}
			}
			b.note("the platform stops the upstreams of v1")
		}
	}
	close(stop)
	clients.Wait()
	cut := 0
	for _, u := range s.upstreams {
		for _, seen := range u.seen() {
			if u.service == service && seen.cut {
				cut++
			}
		}
	}
	if stopped {
		b.note("%d requests were at work at v1 when the platform stopped it", cut)
	}
	var arrivals []arrivalSeen
	total := 0
	for _, u := range append(fresh, s.upstreams...) {
		for _, seen := range u.seen() {
			if !seen.at.Before(ordered) && seen.ran && u.service == service && seen.at.Sub(ordered) < 14*time.Second {
				total++
			}
			if u.version == "v2" && seen.ran {
				arrivals = append(arrivals, seen)
			}
		}
	}
	slices.SortFunc(arrivals, func(x, y arrivalSeen) int { return x.at.Compare(y.at) })
	var failures []time.Time
	within := 0
	for _, seen := range arrivals {
		if seen.failed {
			failures = append(failures, seen.ended)
		}
		if seen.at.Sub(ordered) < 14*time.Second {
			within++
		}
	}
	slices.SortFunc(failures, time.Time.Compare)
	b.note("v2 got %d of %d requests in the 14 s, allowed a tenth and 50", within, total)
	late := 0
	if len(failures) >= badAnswers {
		limit := failures[badAnswers-1].Add(rollbackMS * time.Millisecond)
		b.note("the 50th bad answer of v2 was at %s", b.at(failures[badAnswers-1]))
		for _, seen := range arrivals {
			// A request is sent some milliseconds before it arrives.
			if seen.at.After(limit.Add(time.Second)) {
				late++
			}
		}
	}
	b.note("v2 got %d requests later than rollback_ms and a second after its 50th bad answer", late)
	if late > 0 || float64(within) > 0.1*float64(total)+50 {
		return true, "EXPOSURE broken: a bad version got requests beyond its share, or after rollback_ms from its 50th bad answer"
	}
	return false, "EXPOSURE held"
}
