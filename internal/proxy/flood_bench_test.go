package proxy_test

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/proxy"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// The flooded service has 4 slots and takes 20 ms per call, a capacity of 200
// calls a second. The flood sends ten times as many.
const (
	floodSlots    = 4
	floodWork     = 20 * time.Millisecond
	floodInterval = 500 * time.Microsecond
	quietInterval = 2 * time.Millisecond
)

// BenchmarkFlood reports the latency of calls to one service while another one is
// and is not flooded through the same caller's proxy. The two states alternate, so
// that other load on the machine affects both.
func BenchmarkFlood(b *testing.B) {
	snapshot := &projection.Snapshot{Version: 1, Services: map[string]*projection.Service{}, Routes: map[string]*resource.RouteSpec{}}
	backendProxies := []*proxy.Proxy{
		addService(b, snapshot, "flooded", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(floodWork)
			answerOK(w, r)
		}),
		addService(b, snapshot, "quiet", answerOK),
	}
	snapshot.Digest = snapshot.ComputeDigest()
	caller := proxy.New(proxy.Options{Node: distribution.Node{Name: "caller", Zone: zoneName}})
	for _, target := range append(backendProxies, caller) {
		if err := target.Apply(snapshot); err != nil {
			b.Fatal(err)
		}
	}
	outbound := serveTCP(b, caller.Outbound(), caller.ConfigureServer)
	var flooding atomic.Bool
	stop := flood(outbound, &flooding)
	defer stop()
	client := newClient(100)
	var samples [2][]time.Duration
	for index := range b.N {
		state := index / 250 % 2
		flooding.Store(state == 1)
		time.Sleep(quietInterval)
		started := time.Now()
		if status, err := getHost(client, outbound, "quiet"); err != nil || status != http.StatusOK {
			b.Fatal(status, err)
		}
		samples[state] = append(samples[state], time.Since(started))
	}
	for state, name := range []string{"calm", "flood"} {
		slices.Sort(samples[state])
		b.ReportMetric(percentile(samples[state], 50), name+"-p50-us")
		b.ReportMetric(percentile(samples[state], 99), name+"-p99-us")
	}
}

// addService adds a service with a single back end to the snapshot and returns the
// back end's proxy.
func addService(b *testing.B, snapshot *projection.Snapshot, name string, handler http.HandlerFunc) *proxy.Proxy {
	backendProxy := proxy.New(proxy.Options{
		Node:    distribution.Node{Name: name, Zone: zoneName},
		Backend: &proxy.Backend{Service: name, Endpoint: name, Address: serveTCP(b, handler, nil)},
	})
	snapshot.Services[name] = &projection.Service{
		Slots: floodSlots, Connections: 100, Queue: floodSlots, Deadline: resource.Duration(time.Second), AllowedZones: []string{zoneName},
		Endpoints: []resource.Endpoint{{Name: name, Zone: zoneName, Address: serveTCP(b, backendProxy.Inbound(), backendProxy.ConfigureServer)}},
	}
	snapshot.Routes[name] = &resource.RouteSpec{Host: name, PathPrefix: "/", Service: name, Consumers: []string{"*"}}
	return backendProxy
}

// flood calls the flooded service on an open-loop schedule while flooding is true.
func flood(address string, flooding *atomic.Bool) (stop func()) {
	client := newClient(100)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(floodInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if flooding.Load() {
				group.Go(func() { _, _ = getHost(client, address, "flooded") })
			}
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}
