package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["drain-body"] = drainBody }

// drainBody: uploads in chunks over slow links are on their way while their upstream leaves.
func drainBody(b *bed) (bool, string) {
	const host, drainMS = "returns.example", 2000
	s := b.build(configuration(7,
		routeOf("r-return", host, "/return/", "upload", "returns", 0, 500, 2),
		routeOf("r-look", "look.example", "/look/", "idempotent", "registry", 1200, 400, 2),
		serviceOf("returns"), serviceOf("registry"), limitsOf()), 100*time.Millisecond, []place{
		{"sidecar-hall-a-1", "hall-a", "registry"}, {"sidecar-hall-b-1", "hall-b", "returns"}, {"sidecar-hall-c-1", "hall-c", "returns"},
	}, nil)
	entry, leaving := s.machines[0].address(portOutbound), s.upstreams[1]
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]outcomeSeen{}
	piece := strings.Repeat("x", 4000)
	send := func(count int, gap time.Duration) {
		pieces := make([]string, count)
		for i := range pieces {
			pieces[i] = piece
		}
		clients.Go(func() {
			seen := slow(entry, "POST", host, "/return/1", newID("up"), 3*time.Second, pieces, gap, true)
			mu.Lock()
			defer mu.Unlock()
			answers[seen.id] = seen
		})
	}
	// 60 kB over links of about 210 kbit/s; without the disruption the same, and nobody leaves.
	for range 8 {
		send(15, 160*time.Millisecond)
		time.Sleep(5 * time.Millisecond)
	}
	acknowledged := time.Now()
	if b.trouble {
		var err error
		if acknowledged, err = leaving.drain(); err != nil {
			cannotRun("the leaving was not acknowledged: %v", err)
		}
		b.note("%s says draining, acknowledged at %s", leaving.id, b.at(acknowledged))
	}
	clients.Wait()
	late := 0
	for _, u := range s.upstreams {
		for _, seen := range u.seen() {
			b.note("%s reached %s at %s, ran %v", seen.id, u.id, b.at(seen.at), seen.ran)
			if b.trouble && u == leaving && !seen.refused && seen.at.Sub(acknowledged) > drainMS*time.Millisecond {
				late++
				b.note("%s reached %s %.0f ms after the acknowledgement", seen.id, u.id, seen.at.Sub(acknowledged).Seconds()*1000)
			}
		}
	}
	for id, seen := range answers {
		b.note("%s sent %s, whole %s, ended %s: %d %s %s", id, b.at(seen.sent), b.at(seen.whole), b.at(seen.ended), seen.status, seen.signature, seen.err)
	}
	if late > 0 {
		return true, "DRAIN broken: requests reached an upstream more than drain_ms after its leaving was acknowledged"
	}
	return false, "DRAIN held"
}
