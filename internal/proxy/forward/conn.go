// Package forward sends a request to a peer over an HTTP/1.1 connection and
// returns the reply. It keeps a connection pool per peer. A connection serves
// one exchange at a time and returns to the pool only after a complete
// exchange. The package never sends a request twice, and it knows whether any
// byte of a request was written.
package forward

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/kestrelstream/kestrelstream/internal/strictreply"
)

// Write states of a tracked connection during one exchange.
const (
	// writeNone: no byte of the exchange has been passed to the kernel.
	writeNone int32 = iota
	// writeBusy: the first write is in progress.
	writeBusy
	// writeSome: at least one byte has been written.
	writeSome
	// writeSealed: writing is disabled.
	writeSealed
	// writeRefused: writing was disabled before anything was written, because the
	// peer sent bytes before the request.
	writeRefused
	// writeDiscarded: something has been written, and all further writes are
	// discarded.
	writeDiscarded
)

// trackedConn tracks whether the current exchange has written anything, and
// rejects bytes that are no reply. Reads and writes come from one goroutine at a
// time each; begin and seal are called by the owner of the exchange.
type trackedConn struct {
	net.Conn
	replyFilter
	state atomic.Int32
	// exchange is the context of the current exchange, nil while idle.
	exchange atomic.Pointer[context.Context]
}

// newTrackedConn returns an idle connection.
func newTrackedConn(opened net.Conn, limits headerLimits, onUnsolicited func(*http.Request, *ReplyError)) *trackedConn {
	created := &trackedConn{Conn: strictreply.NewConn(opened)}
	created.limits, created.onUnsolicited, created.changed.L = limits, onUnsolicited, &created.mutex
	return created
}

// begin starts an exchange with the given context. The connection must be idle.
func (c *trackedConn) begin(ctx context.Context) {
	c.state.Store(writeNone)
	c.exchange.Store(&ctx)
}

// finish marks the current exchange as complete.
func (c *trackedConn) finish() { c.exchange.Store(nil) }

// Close implements net.Conn. If the exchange was cancelled, the connection is reset, which drops
// the contents of the send buffer. On a saturated link the peer would otherwise receive the whole
// buffered body before the FIN, so that uploads went on for 0.7 s after their callers had
// disconnected.
func (c *trackedConn) Close() error {
	c.stopReading()
	if ctx := c.exchange.Load(); ctx != nil && (*ctx).Err() != nil {
		if resettable, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = resettable.SetLinger(0) // on an error the connection closes without a reset
		}
	}
	return c.Conn.Close()
}

// Write implements net.Conn. After seal it returns net.ErrClosed, after
// discardWrites it writes nothing.
func (c *trackedConn) Write(data []byte) (int, error) {
	first := c.state.CompareAndSwap(writeNone, writeBusy)
	if !first {
		switch c.state.Load() {
		case writeSealed, writeRefused:
			return 0, net.ErrClosed
		case writeDiscarded:
			c.startSecondReply()
			return len(data), nil
		}
	}
	written, err := c.Conn.Write(data)
	if !first {
		return written, err
	}
	if written == 0 && err != nil {
		c.state.CompareAndSwap(writeBusy, writeNone)
	} else {
		c.state.CompareAndSwap(writeBusy, writeSome)
	}
	return written, err
}

// discardWrites discards all writes until the next exchange begins, and allows
// another reply. The request must have been written completely.
func (c *trackedConn) discardWrites() {
	c.state.Store(writeDiscarded)
	c.allowSecondReply()
}

// seal disables further writes and reports whether nothing was written. A write
// in progress counts as written.
func (c *trackedConn) seal() (nothingWritten bool) {
	former := c.state.Swap(writeSealed)
	return former == writeNone || former == writeRefused
}
