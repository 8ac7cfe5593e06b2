// Package forward carries one request over one connection and its reply back.
// It owns the connections: a pool per peer, each connection used by one
// exchange at a time and pooled again only after a whole one. It never sends a
// request twice, and it can tell whether any byte of a request was written.
package forward

import (
	"context"
	"net"
	"sync/atomic"
)

// The write state of a tracked connection during one exchange.
const (
	// writeNone: no byte of the exchange was handed to the kernel.
	writeNone int32 = iota
	// writeBusy: a write is going on.
	writeBusy
	// writeSome: at least one byte was written.
	writeSome
	// writeSealed: no byte will be written any more.
	writeSealed
)

// trackedConn knows whether the current exchange wrote anything. Writes come
// from one goroutine at a time; begin and seal come from the exchange's owner.
type trackedConn struct {
	net.Conn
	state atomic.Int32
	// exchange is the context of the current exchange, nil between two.
	exchange atomic.Pointer[context.Context]
}

// begin starts an exchange within a context; the connection must be idle.
func (c *trackedConn) begin(ctx context.Context) {
	c.state.Store(writeNone)
	c.exchange.Store(&ctx)
}

// finish ends an exchange that is whole.
func (c *trackedConn) finish() { c.exchange.Store(nil) }

// Close implements net.Conn. A connection whose exchange was given up is reset: what lies in
// the send buffer is dropped. Over a link that is full the peer would otherwise get a whole
// large body, and learn only behind it that nobody waits for the answer any more: uploads ran
// 0.7 s after their callers had left.
func (c *trackedConn) Close() error {
	if ctx := c.exchange.Load(); ctx != nil && (*ctx).Err() != nil {
		if resettable, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = resettable.SetLinger(0) // without it the connection closes in order
		}
	}
	return c.Conn.Close()
}

// Write implements net.Conn. After seal it writes nothing.
func (c *trackedConn) Write(data []byte) (int, error) {
	first := c.state.CompareAndSwap(writeNone, writeBusy)
	if !first && c.state.Load() == writeSealed {
		return 0, net.ErrClosed
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

// seal ends the exchange for good and reports whether it is proven that it
// wrote nothing and never will. A write that is going on counts as written.
func (c *trackedConn) seal() (nothingWritten bool) {
	return c.state.Swap(writeSealed) == writeNone
}
