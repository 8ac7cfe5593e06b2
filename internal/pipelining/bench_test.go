package pipelining_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/metrics"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/httpserver"
	"github.com/kestrelstream/kestrelstream/internal/pipelining"
)

// benchmarkWork is the time that each request of the benchmark takes.
const benchmarkWork = 20 * time.Millisecond

// serveBytes answers after benchmarkWork with the number of bytes that the path ends with, in flushed
// pieces of 16 KiB.
func serveBytes(w http.ResponseWriter, r *http.Request) {
	time.Sleep(benchmarkWork)
	size, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	w.Header().Set("Content-Length", strconv.Itoa(size))
	var piece [16 << 10]byte
	for size > 0 {
		n := min(size, len(piece))
		if _, err := w.Write(piece[:n]); err != nil {
			return
		}
		if size -= n; size > 0 {
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// group is the time that each part of a group of pipelined requests took.
type group struct{ first, long, last time.Duration }

// sendGroup sends a request for a long answer and short ones behind it.
func sendGroup(conn net.Conn, reader *bufio.Reader, size, behind int) (group, error) {
	sent := get(fmt.Sprintf("/free/%d", size)) + strings.Repeat(get("/free/100"), behind)
	began := time.Now()
	took := group{}
	if _, err := io.WriteString(conn, sent); err != nil {
		return took, err
	}
	for number := range 1 + behind {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return took, err
		}
		if number == 0 {
			took.first = time.Since(began)
		}
		if _, err = io.Copy(io.Discard, response.Body); err != nil {
			return took, err
		}
		if number == 0 {
			took.long = time.Since(began)
		}
	}
	took.last = time.Since(began)
	return took, nil
}

// peakHeap samples the bytes of heap objects until stop is closed.
func peakHeap(stop <-chan struct{}) (peak uint64) {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		metrics.Read(sample)
		peak = max(peak, sample[0].Value.Uint64())
		select {
		case <-ticker.C:
		case <-stop:
			return peak
		}
	}
}

// BenchmarkLongAnswers measures long answers with and without requests pipelined behind them: medians
// until the header, the whole long answer and the last answer, and the peak of the heap.
func BenchmarkLongAnswers(b *testing.B) {
	for _, behind := range []int{0, 2} {
		for _, size := range []int{200 << 10, 1 << 20, 8 << 20, 64 << 20} {
			for _, clients := range []int{1, 10, 200} {
				b.Run(fmt.Sprintf("behind=%d/KiB=%d/clients=%d", behind, size>>10, clients), func(b *testing.B) {
					benchmarkGroups(b, size, behind, clients)
				})
			}
		}
	}
}

func benchmarkGroups(b *testing.B, size, behind, clients int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	options := &pipelining.Options{Ahead: func(*http.Request) bool { return true }, Begun: func() func() { return func() {} }}
	served := httpserver.New("test", listener, http.HandlerFunc(serveBytes), httpserver.Limits{Pipelining: options}, zap.NewNop())
	go func() { _ = served.Serve() }()
	defer func() { _ = served.Stop(context.Background()) }()
	stop, peak := make(chan struct{}), make(chan uint64, 1)
	go func() { peak <- peakHeap(stop) }()
	var mu sync.Mutex
	var all []group
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Error(err)
				return
			}
			defer conn.Close()
			reader := bufio.NewReaderSize(conn, 32<<10)
			for range max(1, min(10, (16<<20)/size)) * b.N {
				took, err := sendGroup(conn, reader, size, behind)
				if err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				all = append(all, took)
				mu.Unlock()
			}
		})
	}
	running.Wait()
	close(stop)
	median := func(part func(group) time.Duration) float64 {
		var times []time.Duration
		for _, each := range all {
			times = append(times, part(each))
		}
		slices.Sort(times)
		if len(times) == 0 {
			return 0
		}
		return float64(times[len(times)/2].Microseconds()) / 1000
	}
	b.ReportMetric(median(func(g group) time.Duration { return g.first }), "header-ms")
	b.ReportMetric(median(func(g group) time.Duration { return g.long }), "long-ms")
	b.ReportMetric(median(func(g group) time.Duration { return g.last }), "last-ms")
	b.ReportMetric(float64(<-peak)/(1<<20), "peak-MiB")
}

// BenchmarkShortAnswers measures groups of eight pipelined requests with short answers, on one
// connection.
func BenchmarkShortAnswers(b *testing.B) {
	const requests = 8
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, strings.Repeat("s", 100))
	})
	options := &pipelining.Options{Ahead: func(*http.Request) bool { return true }, Begun: func() func() { return func() {} }}
	served := httpserver.New("test", listener, handler, httpserver.Limits{Pipelining: options}, zap.NewNop())
	go func() { _ = served.Serve() }()
	defer func() { _ = served.Stop(context.Background()) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := sendGroup(conn, reader, 100, requests-1); err != nil {
			b.Fatal(err)
		}
	}
}
