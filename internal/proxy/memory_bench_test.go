package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/proxy"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

const (
	memoryServices    = 39
	memoryRoutes      = 1000
	memoryEndpoints   = 1000
	memoryConnections = 2000
)

// largeSnapshot returns a snapshot whose endpoints all share one address. Each
// endpoint still has its own connection pool.
func largeSnapshot(address string) *projection.Snapshot {
	snapshot := &projection.Snapshot{
		Version: 1, Services: map[string]*projection.Service{}, Routes: map[string]*resource.RouteSpec{},
	}
	for index := range memoryServices {
		snapshot.Services[fmt.Sprint("service-", index)] = &projection.Service{
			Slots: 20, Connections: 130, Queue: 20, Deadline: resource.Duration(time.Minute), AllowedZones: []string{zoneName},
		}
	}
	for index := range memoryEndpoints {
		service := snapshot.Services[fmt.Sprint("service-", index%memoryServices)]
		service.Endpoints = append(service.Endpoints, resource.Endpoint{Name: fmt.Sprint("e-", index), Address: address, Zone: zoneName})
	}
	for index := range memoryRoutes {
		name := fmt.Sprint("service-", index%memoryServices)
		snapshot.Routes[fmt.Sprint("route-", index)] = &resource.RouteSpec{
			Host: name + ".example", PathPrefix: fmt.Sprint("/api/resource-", index), Service: name, Consumers: []string{"*"},
		}
	}
	snapshot.Digest = snapshot.ComputeDigest()
	return snapshot
}

// acceptAndHold accepts memoryConnections connections, reads a request from each,
// answers them once all have arrived and keeps the connections open. It uses a
// single goroutine to add little to the measured memory.
func acceptAndHold(b *testing.B) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	held := make([]net.Conn, 0, memoryConnections)
	answered := make(chan struct{})
	b.Cleanup(func() {
		_ = listener.Close()
		<-answered
		for _, connection := range held {
			_ = connection.Close()
		}
	})
	go func() {
		defer close(answered)
		buffer := make([]byte, 1024)
		for len(held) < memoryConnections {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			held = append(held, connection)
			_, _ = connection.Read(buffer)
		}
		for _, connection := range held {
			_, _ = io.WriteString(connection, okResponse)
		}
	}()
	return listener.Addr().String()
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// BenchmarkMemory reports the memory of a proxy with 1,000 routes, 1,000 endpoints
// and 2,000 callers, each of which uses one connection to an endpoint. The remote
// ends of all connections are in the same process, so their memory is included.
func BenchmarkMemory(b *testing.B) {
	address := acceptAndHold(b)
	caller := proxy.New(proxy.Options{Limits: proxy.Limits{MinIdleConnections: -1}})
	if err := caller.Apply(largeSnapshot(address)); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(residentMegabytes(b), "MB-configured")
	outbound := serveTCP(b, caller.Outbound(), caller.ConfigureServer)
	callers := make([]net.Conn, memoryConnections)
	for index := range callers {
		connection, err := net.Dial("tcp", outbound)
		if err != nil {
			b.Fatal(err)
		}
		defer connection.Close()
		callers[index] = connection
		_, _ = fmt.Fprintf(connection, "GET /api/resource-%d/x HTTP/1.1\r\nHost: service-%d.example\r\nUser-Agent: b\r\n\r\n",
			index%memoryRoutes, index%memoryRoutes%memoryServices)
	}
	for _, connection := range callers {
		response, err := http.ReadResponse(bufio.NewReaderSize(connection, 16), nil)
		if err != nil {
			b.Fatal(err)
		}
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.Status, response.Header)
		}
	}
	b.ReportMetric(residentMegabytes(b), "MB-serving")
	var statistics runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&statistics)
	b.ReportMetric(float64(statistics.HeapAlloc)/(1<<20), "MB-heap")
	b.ReportMetric(float64(statistics.StackInuse)/(1<<20), "MB-stacks")
}

// residentMegabytes returns the resident set size of the process.
func residentMegabytes(b *testing.B) float64 {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		b.Skip("no /proc on this system")
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes float64
		if count, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kilobytes); count == 1 {
			return kilobytes / 1024
		}
	}
	b.Fatal("no VmRSS")
	return 0
}
