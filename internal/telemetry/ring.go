package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Ring stands between those who log and the output: a bounded number of lines
// waits for one writer, and who logs never waits. Lines that find no room are
// counted, and the count is written once there is room again.
type Ring struct {
	lines   chan []byte
	output  io.Writer
	dropped atomic.Uint64
	lost    prometheus.Counter
	stopped chan struct{}
}

// ringFlush bounds how long Close waits for the writer.
const ringFlush = 200 * time.Millisecond

// NewRing starts the writer. lost counts dropped lines; it may be nil.
func NewRing(output io.Writer, lines int, lost prometheus.Counter) *Ring {
	created := &Ring{lines: make(chan []byte, lines), output: output, lost: lost, stopped: make(chan struct{})}
	go created.run()
	return created
}

// Write takes in one line. It never blocks and never fails.
func (r *Ring) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case r.lines <- copied:
	default:
		r.dropped.Add(1)
		if r.lost != nil {
			r.lost.Inc()
		}
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are written in their own time.
func (r *Ring) Sync() error { return nil }

// run writes lines until Close.
func (r *Ring) run() {
	defer close(r.stopped)
	for line := range r.lines {
		if line == nil {
			return
		}
		_, _ = r.output.Write(line)
		if dropped := r.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(r.output, `{"level":"warn","message":"log lines dropped","count":%d}`+"\n", dropped)
		}
	}
}

// Close writes what waits, for a short time. What is logged after it is not
// written any more.
func (r *Ring) Close() {
	timer := time.NewTimer(ringFlush)
	defer timer.Stop()
	select {
	case r.lines <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-r.stopped:
	case <-timer.C:
	}
}
