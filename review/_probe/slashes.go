package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["slashes"] = slashes }

// slashes: the path of a request begins with two slashes.
func slashes(b *bed) (bool, string) {
	s := b.build(configuration(7,
		routeOf("r-look", "look.example", "/", "idempotent", "registry", 1200, 400, 2),
		routeOf("r-issue", "issue.example", "/", "non_idempotent", "registry", 1500, 500, 2),
		serviceOf("registry"), limitsOf()), 20*time.Millisecond, []place{
		{"sidecar-hall-a-1", "hall-a", "registry"}, {"sidecar-hall-b-1", "hall-b", "registry"}, {"sidecar-hall-c-1", "hall-c", "registry"},
	}, nil)
	type target struct{ method, uri, host string }
	var mu sync.Mutex
	reached := map[string]target{}
	for _, u := range s.upstreams {
		inner := u.server.Handler
		u.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			reached[r.Header.Get(wire["request id"])] = target{method: r.Method, uri: r.RequestURI, host: r.Host}
			mu.Unlock()
			inner.ServeHTTP(w, r)
		})
	}
	// From version 7 on the routes hold every path. TROUBLE=0 sends the same paths with one slash.
	first := "//"
	if !b.trouble {
		first = "/"
	}
	changed := 0
	for _, rest := range []string{"permits/17", "permits/17/cancel?reason=a", "photos/", "a"} {
		for _, m := range s.machines {
			for method, host := range map[string]string{"GET": "look.example", "POST": "issue.example"} {
				id, uri := newID("path"), first+rest
				seen := plain(m.address(portOutbound), method, host, uri, id, 3*time.Second, "")
				mu.Lock()
				got, ran := reached[id]
				mu.Unlock()
				b.note("%s sent to %s as %s %s of %s: %d %s %s", id, m.name, method, uri, host, seen.status, seen.signature, seen.err)
				if !ran {
					continue
				}
				b.note("%s reached an upstream as %s %s of %s", id, got.method, got.uri, got.host)
				if got.method != method || got.uri != uri {
					changed++
				}
			}
		}
	}
	b.note("%d requests were run with a path that no client sent", changed)
	if changed > 0 {
		return true, "UNASKED broken: upstreams ran requests whose path was changed"
	}
	return false, "UNASKED held"
}
