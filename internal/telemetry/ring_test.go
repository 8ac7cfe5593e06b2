package telemetry_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// TestRingNeverBlocks: a pipe that nobody reads stalls nobody who logs, and what
// found no room is counted.
func TestRingNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	reader, writer, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	defer reader.Close()
	lost := prometheus.NewCounter(prometheus.CounterOpts{Name: "lost"})
	ring := telemetry.NewRing(writer, 16, lost)
	const lines = 10000
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range lines {
		count, err := ring.Write(line)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(count).To(Equal(len(line)))
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(lost)
	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(families[0].GetMetric()[0].GetCounter().GetValue()).To(BeNumerically(">", lines/2))
	ring.Close()
	_, _ = ring.Write([]byte("after the end\n"))
	_ = writer.Close()
}

// gated lets the writer through only once the gate is open.
type gated struct {
	gate  chan struct{}
	mutex sync.Mutex
	bytes.Buffer
}

func (g *gated) Write(line []byte) (int, error) {
	<-g.gate
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.Buffer.Write(line)
}

func TestRingTellsWhatItDropped(t *testing.T) {
	g := NewWithT(t)
	output := &gated{gate: make(chan struct{})}
	ring := telemetry.NewRing(output, 2, nil)
	for range 10 {
		_, _ = ring.Write([]byte("line\n"))
	}
	close(output.gate)
	ring.Close()
	g.Expect(output.String()).To(ContainSubstring(`"message":"log lines dropped","count":`))
	g.Expect(strings.Count(output.String(), "line\n")).To(BeNumerically(">=", 2))
}

// lines remembers each write.
type lines struct {
	mu      sync.Mutex // guards written
	written []string
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written = append(l.written, string(line))
	return len(line), nil
}

// TestRingWritesEachLineByItself: who reads the output, or puts the time before what
// is written at once, finds whole lines.
func TestRingWritesEachLineByItself(t *testing.T) {
	g := NewWithT(t)
	output := &lines{}
	ring := telemetry.NewRing(output, 100, nil)
	want := make([]string, 100)
	for i := range want {
		want[i] = fmt.Sprintf("line %d\n", i)
		_, _ = ring.Write([]byte(want[i]))
	}
	ring.Close()
	g.Expect(output.written).To(Equal(want))
}

// BenchmarkLine is what one decision costs whoever makes it.
func BenchmarkLine(b *testing.B) {
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer null.Close()
	ring := telemetry.NewRing(null, 1024, nil)
	defer ring.Close()
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), ring, zap.InfoLevel))
	b.ReportAllocs()
	for b.Loop() {
		if entry := logger.Check(zap.InfoLevel, "call served"); entry != nil {
			entry.Write(zap.String("request", "9c41d07be2a35f68"), zap.String("route", "r-1"), zap.Int("status", 200),
				zap.Uint64("version", 12), zap.String("visits", "node-1"), zap.Int("running", 3))
		}
	}
}
