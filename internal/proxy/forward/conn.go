// Package forward sends a request to a peer over an HTTP/1.1 connection and
// returns the reply. It keeps a connection pool per peer. A connection serves
// one exchange at a time and returns to the pool only after a complete
// exchange. The package never sends a request twice, and it knows whether any
// byte of a request was written.
package forward

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
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
	// writeDiscarded: something has been written, and all further writes are
	// discarded.
	writeDiscarded
)

// headerLimits bound the header of a reply and the interim replies before it;
// zero values do not.
type headerLimits struct {
	bytes   int64
	timeout time.Duration
	interim int
}

// trackedConn tracks whether the current exchange has written anything, and
// rejects bytes in the place of a reply that are no HTTP or whose header does
// not end. Reads and writes come from one goroutine at a time each; begin and
// seal are called by the owner of the exchange.
type trackedConn struct {
	net.Conn
	limits headerLimits
	state  atomic.Int32
	// exchange is the context of the current exchange, nil while idle.
	exchange atomic.Pointer[context.Context]

	mutex   sync.Mutex // guards all below
	scanner replyScanner
	// begun is when the current exchange began.
	begun time.Time
	// headerTimed: the read deadline bounds the rest of a header.
	headerTimed bool
	// invalid is why the connection was broken off; nil if it was not.
	invalid *ReplyError
}

// begin starts an exchange with the given context. The connection must be idle.
func (c *trackedConn) begin(ctx context.Context) {
	c.state.Store(writeNone)
	c.exchange.Store(&ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.begun = time.Now()
	c.scanner.reset()
}

// invalidReply returns why the connection was broken off; nil if it was not.
func (c *trackedConn) invalidReply() *ReplyError {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.invalid
}

// Read implements net.Conn. It returns a ReplyError for bytes in the place of a
// reply that are no HTTP or whose header exceeds its limits.
func (c *trackedConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.scanner.done {
		return count, err
	}
	if c.headerTimed && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, c.reject(HeaderTooSlow, 0)
	}
	if !c.scanner.scan(data[:count]) {
		return 0, c.reject(NotHTTP, int64(count))
	}
	if limit := c.limits.bytes; limit > 0 && c.scanner.headerBytes >= limit && !c.scanner.done {
		return 0, c.reject(HeaderTooLarge, 0)
	}
	if limit := c.limits.interim; limit > 0 && c.scanner.interims > limit {
		return 0, c.reject(TooManyInterim, 0)
	}
	if timeErr := c.timeHeader(); err == nil {
		err = timeErr
	}
	return count, err
}

// timeHeader bounds the time of a header that arrives in pieces. The caller must
// hold the lock.
func (c *trackedConn) timeHeader() error {
	timed := c.scanner.inHeader() && c.limits.timeout > 0
	if timed == c.headerTimed {
		return nil
	}
	c.headerTimed = timed
	if !timed {
		return c.SetReadDeadline(time.Time{})
	}
	return c.SetReadDeadline(time.Now().Add(c.limits.timeout))
}

// reject records why the connection is broken off. more is the number of bytes
// that the scanner did not count. The caller must hold the lock.
func (c *trackedConn) reject(reason Reason, more int64) *ReplyError {
	c.invalid = &ReplyError{Reason: reason, Bytes: c.scanner.headerBytes + more, Elapsed: time.Since(c.begun)}
	return c.invalid
}

// finish marks the current exchange as complete.
func (c *trackedConn) finish() { c.exchange.Store(nil) }

// Close implements net.Conn. If the exchange was cancelled, the connection is reset, which drops
// the contents of the send buffer. On a saturated link the peer would otherwise receive the whole
// buffered body before the FIN, so that uploads went on for 0.7 s after their callers had
// disconnected.
func (c *trackedConn) Close() error {
	if ctx := c.exchange.Load(); ctx != nil && (*ctx).Err() != nil {
		if resettable, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = resettable.SetLinger(0) // on an error the connection closes without a reset
		}
	}
	return c.Conn.Close()
}

// Write implements net.Conn. After seal it returns net.ErrClosed, after
// discardWrites it does nothing.
func (c *trackedConn) Write(data []byte) (int, error) {
	first := c.state.CompareAndSwap(writeNone, writeBusy)
	if !first {
		switch c.state.Load() {
		case writeSealed:
			return 0, net.ErrClosed
		case writeDiscarded:
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

// rejectBody records why the connection is broken off while a body is read, of
// which bytes were read.
func (c *trackedConn) rejectBody(reason Reason, bytes int64) *ReplyError {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reject(reason, bytes)
}

// discardWrites discards all writes until the next exchange begins, and awaits
// another reply. The request must have been written completely.
func (c *trackedConn) discardWrites() {
	c.state.Store(writeDiscarded)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scanner.reset()
}

// seal disables further writes and reports whether nothing was written. A write
// in progress counts as written.
func (c *trackedConn) seal() (nothingWritten bool) {
	return c.state.Swap(writeSealed) == writeNone
}
