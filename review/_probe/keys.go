package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["keys"] = keys }

// keys: a version takes away the last keys of the deployment's tenant.
func keys(b *bed) (bool, string) {
	const (
		host    = "filing.example"
		applyMS = 2500
	)
	version := func(number int, keys ...string) []byte {
		return configuration(number,
			routeOf("r-filing", host, "/filing/", "non_idempotent", "filing-desk", 1500, 500, 2), serviceOf("filing-desk"), limitsOf(),
			object{wire["kind"]: "tenants", "metadata": object{"name": "harbour"}, "spec": object{wire["keys"]: append([]string{}, keys...), "rate_per_s": 0, "burst": 0}})
	}
	s := b.build(version(7, "key-one", "key-two"), 50*time.Millisecond, []place{
		{"sidecar-hall-a-1", "hall-a", "filing-desk"}, {"sidecar-hall-b-1", "hall-b", "filing-desk"}, {"sidecar-hall-c-1", "hall-c", "filing-desk"},
	}, func(m *machine) {
		limits := m.document["bounds"].(map[string]any)
		limits["ack_ms"], limits["sync_s"], limits["drain_ms"], limits["config_apply_ms"] = 5000, 6, 2500, applyMS
		m.document["contracts"] = []string{"base", "drain", "config", "cost", "retry", "recover", "tenants", "platform"}
	})
	var mu sync.Mutex
	tenants := map[string]string{}
	for _, u := range s.upstreams {
		inner := u.server.Handler
		u.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			tenants[r.Header.Get(wire["request id"])] = r.Header.Get(wire["tenant"])
			mu.Unlock()
			inner.ServeHTTP(w, r)
		})
	}
	asked := map[string]string{}
	ask := func(what, key string) {
		for _, m := range s.machines {
			id := newID(what)
			asked[id] = what
			head := ""
			if key != "" {
				head = wire["key"] + ": " + key + "\r\n"
			}
			seen := withHead(m.address(portOutbound), "POST", host, "/filing/1", id, 2500*time.Millisecond, "x", head)
			mu.Lock()
			tenant, reached := tenants[id]
			mu.Unlock()
			b.note("%s at %s with key %q: %d %s %s; ran %v, tenant %q", id, m.name, key, seen.status, seen.signature, seen.err, reached, tenant)
		}
	}
	ask("held-before", "key-one")
	ask("invented-before", "key-that-never-was")
	ask("none-before", "")
	if b.trouble {
		s.store.put(wire["configuration"], version(9))
		b.note("the store acknowledges version 9, which takes both keys away")
	} else {
		s.store.put(wire["configuration"], version(9, "key-two"))
		b.note("the store acknowledges version 9, which takes one of two keys away")
	}
	time.Sleep((applyMS + 1000) * time.Millisecond)
	for range 5 {
		ask("revoked", "key-one")
		ask("invented", "key-that-never-was")
		ask("none", "")
	}
	ran := map[string]int{}
	mu.Lock()
	defer mu.Unlock()
	for id := range tenants {
		ran[asked[id]]++
	}
	b.note("ran later than config_apply_ms after the acknowledgement: with a key that was taken away %d, with one that no version held %d, without a key %d; before it, with no valid key: %d",
		ran["revoked"], ran["invented"], ran["none"], ran["invented-before"]+ran["none-before"])
	if ran["revoked"]+ran["invented"]+ran["invented-before"] > 0 {
		return true, "CONFIG and ROUTE broken: upstreams ran requests whose keys were taken away or never held"
	}
	return false, "CONFIG and ROUTE held"
}
