package httpserver

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// lingerTime bounds how long a connection is read after its last answer.
const lingerTime = 200 * time.Millisecond

// lingerListener hands out connections that close in two steps while a condition
// holds: the last answer and the end are sent first, what the client still sends
// is read for a while, and only then the connection is closed. A connection
// closed with requests unread would be reset, and the reset may overtake the
// answer before it.
type lingerListener struct {
	net.Listener
	// lingers is asked at each close.
	lingers func() bool
	// closing counts the connections in the second step.
	closing sync.WaitGroup
}

// Accept implements net.Listener.
func (l *lingerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: accepted, from: l}, nil
}

// wait returns when every connection is closed, or after the time that takes at
// most.
func (l *lingerListener) wait() { l.closing.Wait() }

// halfCloser is a connection that can end in one direction.
type halfCloser interface{ CloseWrite() error }

// lingerConn is a connection of a lingerListener.
type lingerConn struct {
	net.Conn
	from *lingerListener
	// resets: the connection closes in one step.
	resets atomic.Bool
	once   sync.Once
	err    error
}

// NetConn returns the connection below.
func (c *lingerConn) NetConn() net.Conn { return c.Conn }

// SetLinger sets the linger time of a TCP connection. With zero seconds the
// connection closes at once, with a reset.
func (c *lingerConn) SetLinger(seconds int) error {
	c.resets.Store(seconds == 0)
	transport, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return transport.SetLinger(seconds)
}

// Close implements net.Conn.
func (c *lingerConn) Close() error {
	c.once.Do(func() { c.err = c.close() })
	return c.err
}

func (c *lingerConn) close() error {
	half, able := c.Conn.(halfCloser)
	if !able || c.resets.Load() || !c.from.lingers() || half.CloseWrite() != nil {
		return c.Conn.Close()
	}
	c.from.closing.Go(func() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close()
	})
	return nil
}
