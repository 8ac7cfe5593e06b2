package strictreply

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Conn is a client's connection that reports a reset as such. The kernel reports a reset only once: if
// a write gets the error, a read that follows ends as after an orderly close, and a reply that is
// delimited by the end of the connection looks complete.
type Conn struct {
	net.Conn

	// writing holds an element during a write; it guards failed.
	writing chan struct{}
	// failed: a write has failed.
	failed bool
}

// NewConn returns the connection with resets reported.
func NewConn(opened net.Conn) *Conn { return &Conn{Conn: opened, writing: make(chan struct{}, 1)} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	written, err := c.Conn.Write(data)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failed = true
	}
	return written, err
}

// Read implements net.Conn. It returns ECONNRESET in place of io.EOF if a write has failed.
func (c *Conn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if count == 0 && errors.Is(err, io.EOF) && c.writeFailed() {
		return 0, &net.OpError{
			Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("read", syscall.ECONNRESET),
		}
	}
	return count, err
}

// writeFailed reports whether a write has failed. A write in progress is ended: one that has already got
// the error returns it, one that waits for the peer to read has got none.
func (c *Conn) writeFailed() bool {
	select {
	case c.writing <- struct{}{}:
	default:
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, which ends writes
		c.writing <- struct{}{}
	}
	defer func() { <-c.writing }()
	return c.failed
}

// SetLinger sets the behaviour of Close as for net.TCPConn. It fails for other connections.
func (c *Conn) SetLinger(seconds int) error {
	if resettable, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return resettable.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}
