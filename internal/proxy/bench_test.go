package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/proxy"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// serveTCP serves a handler on a loopback port and returns its address.
func serveTCP(b *testing.B, handler http.Handler, configure func(*http.Server)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	if configure != nil {
		configure(server)
	}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// startProxies starts a back end, its inbound proxy and a caller's outbound proxy.
// It returns the address of the back end and that of the outbound proxy.
func startProxies(b *testing.B) (direct, path string) {
	direct = serveTCP(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		answerOK(w, r)
	}), nil)
	backendProxy := proxy.New(proxy.Options{
		Node:    distribution.Node{Name: "beside", Zone: zoneName},
		Backend: &proxy.Backend{Service: serviceName, Endpoint: "a", Address: direct},
	})
	inbound := serveTCP(b, backendProxy.Inbound(), backendProxy.ConfigureServer)
	caller := proxy.New(proxy.Options{Node: distribution.Node{Name: "caller", Zone: zoneName}})
	snapshot := &projection.Snapshot{
		Version: 1,
		Services: map[string]*projection.Service{serviceName: {
			Slots: 1000, Connections: 1000, Deadline: resource.Duration(10 * time.Second),
			AllowedZones: []string{zoneName},
			Endpoints:    []resource.Endpoint{{Name: "a", Address: inbound, Zone: zoneName}},
		}},
		Routes: map[string]*resource.RouteSpec{"r": {Host: hostName, PathPrefix: "/", Service: serviceName, Consumers: []string{"*"}}},
	}
	snapshot.Digest = snapshot.ComputeDigest()
	for _, target := range []*proxy.Proxy{backendProxy, caller} {
		if err := target.Apply(snapshot); err != nil {
			b.Fatal(err)
		}
	}
	return direct, serveTCP(b, caller.Outbound(), caller.ConfigureServer)
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
}

func get(client *http.Client, address string) error {
	status, err := getHost(client, address, hostName)
	if err == nil && status != http.StatusOK {
		return &statusError{status}
	}
	return err
}

func getHost(client *http.Client, address, host string) (status int, err error) {
	request, err := http.NewRequest("GET", "http://"+address+"/sessions/1", nil)
	if err != nil {
		return 0, err
	}
	request.Host = host
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

type statusError struct{ status int }

func (e *statusError) Error() string { return http.StatusText(e.status) }

// BenchmarkForward compares calls sent directly to the back end with calls sent
// through both proxies, sequentially and concurrently.
func BenchmarkForward(b *testing.B) {
	direct, path := startProxies(b)
	for _, target := range []struct{ name, address string }{{"direct", direct}, {"path", path}} {
		b.Run("one/"+target.name, func(b *testing.B) {
			client := newClient(1)
			b.ReportAllocs()
			before := cpuTime()
			for b.Loop() {
				if err := get(client, target.address); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
		b.Run("many/"+target.name, func(b *testing.B) {
			client := newClient(1000)
			var failed atomic.Int64
			b.ReportAllocs()
			b.SetParallelism(8)
			before := cpuTime()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if get(client, target.address) != nil {
						failed.Add(1)
					}
				}
			})
			if failed.Load() > 0 {
				b.Fatalf("%d calls failed", failed.Load())
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// cpuTime returns the CPU time used by this process, which includes the callers
// and the back end.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkAddedLatency sends 2,000 calls a second on an open-loop schedule,
// alternating between the back end and the proxies, and reports the latency
// percentiles of both. Latency is measured from the scheduled send time.
func BenchmarkAddedLatency(b *testing.B) {
	const interval = 500 * time.Microsecond
	direct, path := startProxies(b)
	client := newClient(1000)
	var samples [2][]time.Duration
	var mutex sync.Mutex // guards samples
	var group sync.WaitGroup
	send := func(kind int, due time.Time) {
		address := [2]string{direct, path}[kind]
		if err := get(client, address); err != nil {
			b.Error(err)
		}
		elapsed := time.Since(due)
		mutex.Lock()
		defer mutex.Unlock()
		samples[kind] = append(samples[kind], elapsed)
	}
	started := time.Now()
	for index := range b.N {
		due := started.Add(time.Duration(index) * interval)
		time.Sleep(time.Until(due))
		group.Go(func() { send(index%2, due) })
	}
	group.Wait()
	for kind, name := range []string{"direct", "path"} {
		slices.Sort(samples[kind])
		for _, percent := range []int{50, 99} {
			b.ReportMetric(percentile(samples[kind], percent), fmt.Sprintf("%s-p%d-us", name, percent))
		}
	}
}

func percentile(sorted []time.Duration, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[len(sorted)*percent/100].Microseconds())
}
