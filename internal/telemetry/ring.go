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

const (
	// ringFlush bounds how long Close waits for the writer.
	ringFlush = 200 * time.Millisecond
	// ringPause is how long the writer rests after a write, so that under load many
	// lines cost one system call. A process that dies loses the lines of that time.
	ringPause = 20 * time.Millisecond
	// ringBatchBytes is from what length on a batch is written.
	ringBatchBytes = 32 << 10
)

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

// run writes lines until Close, several with one write where they come fast.
func (r *Ring) run() {
	defer close(r.stopped)
	batch := make([]byte, 0, ringBatchBytes)
	for line := range r.lines {
		gathered, closed := r.gather(append(batch[:0], line...), line == nil)
		if len(gathered) > 0 {
			_, _ = r.output.Write(gathered)
		}
		if dropped := r.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(r.output, `{"level":"warn","message":"log lines dropped","count":%d}`+"\n", dropped)
		}
		if closed {
			return
		}
		time.Sleep(ringPause)
	}
}

// gather adds the lines that wait to the batch, and reports whether Close was
// among them.
func (r *Ring) gather(batch []byte, closed bool) ([]byte, bool) {
	for !closed && len(batch) < ringBatchBytes {
		select {
		case line := <-r.lines:
			batch = append(batch, line...)
			closed = line == nil
		default:
			return batch, false
		}
	}
	return batch, closed
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
