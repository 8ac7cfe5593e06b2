package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// headerLimits bound the header of a reply and the interim replies before it;
// zero values do not.
type headerLimits struct {
	bytes   int64
	timeout time.Duration
	interim int
}

// replyFilter is the read side of a trackedConn. It passes bytes on only in the place
// of a reply, since net/http writes all others to the standard logger.
type replyFilter struct {
	limits headerLimits
	// onUnsolicited is called with bytes that arrive before or after a reply.
	onUnsolicited func(request *http.Request, invalid *ReplyError)

	mutex   sync.Mutex // guards all below
	changed sync.Cond  // signals changes of all below to Read
	// expecting: an exchange is in progress; closed: stopReading was called.
	expecting, closed bool
	// secondReplyAllowed: the next reply may follow the current one without a new exchange, once
	// the write of the repeated request was discarded.
	secondReplyAllowed bool
	scanner            replyScanner
	// held are bytes after the reply of the current exchange.
	held []byte
	// begun is when the latest exchange began.
	begun time.Time
	// headerTimed: the read deadline bounds the rest of a header.
	headerTimed bool
	// invalid is why the connection was broken off; nil if it was not.
	invalid *ReplyError
}

// expect awaits the reply to a request with the method. begin must be called first.
func (c *trackedConn) expect(method string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expecting, c.begun = true, time.Now()
	c.scanner.reset(method)
}

// invalidReply returns why the connection was broken off; nil if it was not.
func (c *trackedConn) invalidReply() *ReplyError {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.invalid
}

// Read implements net.Conn. It returns a ReplyError for bytes in the place of a
// reply that are no HTTP or whose header exceeds its limits, and io.EOF in place of
// bytes before or after a reply.
func (c *trackedConn) Read(data []byte) (int, error) {
	for {
		count, err := c.takeHeld(data)
		if count == 0 && err == nil {
			count, err = c.Conn.Read(data)
		}
		count, held, err := c.filter(data[:count], err)
		if !held {
			return count, err
		}
	}
}

// takeHeld returns bytes that are held once they are in the place of a reply, and
// io.EOF once they cannot be. It returns nothing if there are none.
func (c *trackedConn) takeHeld(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.held) > 0 {
		if !c.expecting || c.closed {
			return 0, io.EOF
		}
		if c.scanner.state != scanDone {
			count := copy(data, c.held)
			c.held = c.held[count:]
			return count, nil
		}
		c.changed.Wait()
	}
	return 0, nil
}

// filter returns what is passed on of received bytes and the error of the read. held
// reports that all of them follow the reply, so that they are kept.
func (c *trackedConn) filter(data []byte, err error) (count int, held bool, _ error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case len(data) == 0 && c.headerTimed && errors.Is(err, os.ErrDeadlineExceeded):
		return 0, false, c.reject(HeaderTooSlow, 0)
	case len(data) == 0:
		return 0, false, err
	case !c.expecting || c.state.CompareAndSwap(writeNone, writeRefused):
		if invalid := c.reject(Unsolicited, int64(len(data))); !isTimeoutReply(data) {
			c.onUnsolicited(nil, invalid)
		}
		return 0, false, io.EOF
	case c.scanner.state == scanDone:
		c.held = append(c.held, data...)
		return 0, true, nil
	}
	used, valid := c.scanner.scan(data)
	if !valid {
		return 0, false, c.reject(c.scanner.invalid, int64(len(data)-used))
	}
	if used < len(data) {
		c.held = append(append([]byte(nil), data[used:]...), c.held...)
		err = nil // the next read returns it again
	}
	if invalid := c.checkHeader(); invalid != nil {
		return 0, false, invalid
	}
	if timeErr := c.timeHeader(); err == nil {
		err = timeErr
	}
	return used, false, err
}

// checkHeader checks the limits of the header. The caller must hold the lock.
func (c *trackedConn) checkHeader() *ReplyError {
	switch {
	case !c.scanner.awaitsHeader():
		return nil
	case c.limits.bytes > 0 && c.scanner.headerBytes >= c.limits.bytes:
		return c.reject(HeaderTooLarge, 0)
	case c.limits.interim > 0 && c.scanner.interims > c.limits.interim:
		return c.reject(TooManyInterim, 0)
	}
	return nil
}

// timeHeader bounds the time of a header that arrives in pieces. The caller must
// hold the lock.
func (c *trackedConn) timeHeader() error {
	timed := c.scanner.headerBegun() && c.limits.timeout > 0
	if timed == c.headerTimed {
		return nil
	}
	c.headerTimed = timed
	if !timed {
		return c.SetReadDeadline(time.Time{})
	}
	return c.SetReadDeadline(time.Now().Add(c.limits.timeout))
}

// reject records why the connection is broken off. extraBytes is the number of bytes
// beside those of headers. The caller must hold the lock.
func (c *trackedConn) reject(reason Reason, extraBytes int64) *ReplyError {
	c.invalid = &ReplyError{Reason: reason, Bytes: extraBytes}
	if c.expecting {
		c.invalid.Bytes += c.scanner.headerBytes
		c.invalid.Elapsed = time.Since(c.begun)
	}
	return c.invalid
}

// rejectBody records why the connection is broken off while a body is read, of
// which bytes were read.
func (c *trackedConn) rejectBody(reason Reason, bytes int64) *ReplyError {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reject(reason, bytes)
}

// endReply ends the exchange. It returns an error if bytes followed the reply.
func (c *trackedConn) endReply() *ReplyError {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.changed.Broadcast()
	var surplus *ReplyError
	if len(c.held) > 0 {
		surplus = c.reject(Unsolicited, int64(len(c.held)))
	}
	c.expecting = false
	return surplus
}

// allowSecondReply allows another reply to follow the current one once a write is
// discarded.
func (c *trackedConn) allowSecondReply() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.secondReplyAllowed = true
}

// startSecondReply awaits another reply if allowSecondReply was called. net/http must have
// started to expect it.
func (c *trackedConn) startSecondReply() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.secondReplyAllowed {
		return
	}
	c.secondReplyAllowed = false
	c.scanner.reset(c.scanner.method)
	c.changed.Broadcast()
}

// stopReading ends a Read that waits for held bytes to be in the place of a reply.
func (c *trackedConn) stopReading() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	c.changed.Broadcast()
}
