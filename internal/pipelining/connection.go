package pipelining

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
)

// connection wraps a client's connection. It parses what the server reads, and
// reads ahead of the server to start pipelined requests early.
type connection struct {
	net.Conn
	pipeline *Pipeline
	// context is cancelled by end when the connection closes. Both are set before
	// the first read.
	context context.Context
	end     context.CancelFunc

	mu sync.Mutex // guards all below
	// changed is broadcast after each read of the connection.
	changed *sync.Cond
	// unread holds the bytes read ahead of the server.
	unread bytes.Buffer
	// readErr is a read error not yet returned to the server.
	readErr error
	// reading: a read of the connection is in progress; waiting: the server is
	// waiting for bytes.
	reading, waiting bool
	scanner          scanner
	// parsed counts the requests known so far, started those that the server has
	// passed to its handler, finished those that it has answered.
	parsed, started, finished int
	// barrier is the number of requests up to and including the last one that
	// must be answered before later ones may start.
	barrier int
	// answering: the current answer has begun and is not known to be whole.
	answering bool
	// early holds the requests that were started early, by number.
	early map[int]*earlyRequest
}

func newConnection(accepted net.Conn, pipeline *Pipeline) *connection {
	created := &connection{Conn: accepted, pipeline: pipeline, end: func() {}, early: map[int]*earlyRequest{}}
	created.changed = sync.NewCond(&created.mu)
	return created
}

// NetConn returns the connection below.
func (c *connection) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *connection) Close() error {
	c.end()
	return c.Conn.Close()
}

// reset makes Close reset the connection where the transport can.
func (c *connection) reset() {
	if transport, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = transport.SetLinger(0) // on an error the connection closes without a reset
	}
}

// Read implements net.Conn. The server reads a single byte only in the
// background while a handler runs, to detect a client disconnect. After the
// first such byte, the connection is read ahead of the server.
func (c *connection) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	single := len(p) == 1
	for c.unread.Len() == 0 {
		switch {
		case c.readErr != nil:
			return 0, c.takeReadError()
		case c.reading:
			c.waitForBytes(c.changed.Wait)
		case single:
			c.waitForBytes(func() { c.readAhead() })
		default:
			n, err := c.read(p)
			c.observe(p[:n])
			return n, err
		}
	}
	n, _ := c.unread.Read(p)
	if single {
		c.startReadAhead()
	}
	return n, nil
}

// waitForBytes calls wait with waiting set.
func (c *connection) waitForBytes(wait func()) {
	c.waiting = true
	wait()
	c.waiting = false
}

// takeReadError returns the pending read error. A timeout is returned once, any
// other error by every later read too.
func (c *connection) takeReadError() error {
	err := c.readErr
	if isTimeout(err) {
		c.readErr = nil
	}
	return err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// readAheadBuffers pools the buffers for reading ahead of the server.
var readAheadBuffers = sync.Pool{New: func() any { return new([2 << 10]byte) }}

// readAhead reads once into unread and reports whether reading can continue. A
// timeout is dropped if the server was not waiting.
func (c *connection) readAhead() bool {
	chunk := readAheadBuffers.Get().(*[2 << 10]byte)
	defer readAheadBuffers.Put(chunk)
	n, err := c.read(chunk[:])
	c.unread.Write(chunk[:n])
	if err != nil && (!isTimeout(err) || c.waiting) {
		c.readErr = err
	}
	c.observe(chunk[:n])
	return err == nil
}

// read reads from the connection, with the lock released during the read.
func (c *connection) read(p []byte) (int, error) {
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	if err != nil && !isTimeout(err) {
		c.end()
	}
	c.changed.Broadcast()
	return n, err
}

// startReadAhead reads ahead in the background while the server is serving a
// request.
func (c *connection) startReadAhead() {
	if c.reading || !c.mayReadAhead() {
		return
	}
	c.reading = true
	go func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for c.readAhead() && c.mayReadAhead() && !c.waiting {
		}
	}()
}

func (c *connection) mayReadAhead() bool {
	return c.serving() && !c.scanner.stopped && c.readErr == nil && c.unread.Len() < maxReadAheadBytes
}

// serving reports whether the server is serving a request.
func (c *connection) serving() bool { return c.started > c.finished }

// observe passes bytes that were read to the scanner and starts requests.
func (c *connection) observe(chunk []byte) {
	c.scanner.add(chunk)
	c.scan()
}

// scan parses the requests after the one that the server is serving and starts
// those that may start early.
func (c *connection) scan() {
	for c.serving() && c.mayStartEarly() {
		next := c.scanner.next()
		if next == nil {
			return
		}
		number := c.parsed
		if c.countRequest(next) {
			c.early[number] = startEarly(c, next)
		}
	}
}

// mayStartEarly reports whether the next request may start early: no unanswered
// request before it requires ordering, no answer before it may still break off and
// end the connection, and the limits are not reached.
func (c *connection) mayStartEarly() bool {
	return c.barrier <= c.finished && !c.answering && len(c.early) < maxEarlyPerConnection && c.pipeline.mayHold()
}

// countRequest counts a parsed request, updates the barrier and reports whether the
// request may overtake earlier ones.
func (c *connection) countRequest(r *http.Request) (mayOvertake bool) {
	c.parsed++
	mayOvertake = c.mayOvertake(r)
	if !mayOvertake || c.pipeline.options.exceedsHold(r) {
		c.barrier = c.parsed
	}
	return mayOvertake
}

// mayOvertake reports whether the request may run concurrently with the other
// requests of the connection.
func (c *connection) mayOvertake(r *http.Request) bool {
	plain := r.ContentLength == 0 && !r.Close && r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == ""
	return plain && c.pipeline.options.Ahead(r)
}

// startTurn records that the server has started to serve a request. It returns the
// early request started for it, or nil.
func (c *connection) startTurn(r *http.Request) *earlyRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := c.started
	c.started++
	if number == c.parsed {
		c.scanner.skipRequest(r.ContentLength)
		c.countRequest(r)
		c.scan()
		return nil
	}
	begun := c.early[number]
	delete(c.early, number)
	defer c.scan()
	if begun != nil && !sameRequest(begun.request, r) {
		begun.cancel()
		c.stop()
		return nil
	}
	return begun
}

// stop ends the parsing of requests and cancels the early ones, after the
// server read a different request than the scanner.
func (c *connection) stop() {
	c.scanner.stop()
	for number, begun := range c.early {
		begun.cancel()
		delete(c.early, number)
	}
}

// sameRequest reports whether the request read by the server equals the one that
// was started early.
func sameRequest(begun, read *http.Request) bool {
	return begun.Method == read.Method && begun.RequestURI == read.RequestURI && begun.Host == read.Host &&
		maps.EqualFunc(begun.Header, read.Header, slices.Equal[[]string])
}

// finishTurn records that the server has answered a request.
func (c *connection) finishTurn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished++
	c.answering = false
}

// beginAnswer records that the current answer has begun. It reports whether later
// requests have started early: they are lost if the connection closes after this
// answer.
func (c *connection) beginAnswer() (hasEarly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answering = true
	return len(c.early) > 0
}

// completeAnswer records that the current answer is whole, and starts requests that
// waited for that.
func (c *connection) completeAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answering {
		c.answering = false
		c.scan()
	}
}
