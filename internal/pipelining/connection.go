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

// connection is a client's connection as the server reads it.
type connection struct {
	net.Conn
	pipeline *Pipeline
	// context ends with the connection; end ends it. Both are set before the first
	// read.
	context context.Context
	end     context.CancelFunc

	mu sync.Mutex // guards all below
	// changed is told when reading or what was read changes.
	changed *sync.Cond
	// unread was read ahead of the server.
	unread bytes.Buffer
	// readErr is the error of a read that the server has not seen yet.
	readErr error
	// reading: a read of the connection is under way; waiting: the server waits
	// for bytes.
	reading, waiting bool
	scanner          scanner
	// parsed counts the requests that are known, started those that the server came
	// to, finished those that it has answered.
	parsed, started, finished int
	// barrier is one more than the number of the last request that nothing behind
	// may overtake.
	barrier int
	// early holds the requests begun before their turn, by number.
	early map[int]*earlyRequest
}

func newConnection(accepted net.Conn, pipeline *Pipeline) *connection {
	created := &connection{Conn: accepted, pipeline: pipeline, end: func() {}, early: map[int]*earlyRequest{}}
	created.changed = sync.NewCond(&created.mu)
	return created
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.end()
	return c.Conn.Close()
}

// Read implements net.Conn. The server reads single bytes only while a handler
// runs, to learn whether the client is still there; from the first such byte on
// what follows is read as it comes.
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

// waitForBytes notes that the server waits for bytes.
func (c *connection) waitForBytes(wait func()) {
	c.waiting = true
	wait()
	c.waiting = false
}

// takeReadError returns the error of a read: a time that ran out once, an end ever
// after.
func (c *connection) takeReadError() error {
	err := c.readErr
	if isTimeout(err) {
		c.readErr = nil
	}
	return err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// readAheadBuffers are the buffers of reads ahead of the server.
var readAheadBuffers = sync.Pool{New: func() any { return new([2 << 10]byte) }}

// readAhead reads once into unread and reports whether it can go on. A time that
// ran out while the server did not wait says nothing to it.
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

// read reads from the connection. The lock is not held meanwhile.
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

// startReadAhead reads ahead while the server is busy with a request.
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

// serving reports whether the server is at a request.
func (c *connection) serving() bool { return c.started > c.finished }

// observe notes what was read.
func (c *connection) observe(chunk []byte) {
	c.scanner.add(chunk)
	c.scan()
}

// scan begins the requests behind the one that the server is at, as far as they
// may be.
func (c *connection) scan() {
	for c.serving() && c.mayStartEarly() {
		next := c.scanner.next()
		if next == nil {
			return
		}
		number := c.parsed
		c.countRequest(next)
		if c.mayStartEarly() {
			c.early[number] = startEarly(c, next)
		}
	}
}

// mayStartEarly reports whether the next request may be begun early: nothing that it
// must not overtake is before it, and there is room.
func (c *connection) mayStartEarly() bool {
	return c.barrier <= c.finished && len(c.early) < maxEarlyPerConnection
}

// countRequest counts a request.
func (c *connection) countRequest(r *http.Request) {
	c.parsed++
	if !c.mayOvertake(r) {
		c.barrier = c.parsed
	}
}

// mayOvertake reports whether the request may be begun early, and others while it
// is under way.
func (c *connection) mayOvertake(r *http.Request) bool {
	plain := r.ContentLength == 0 && !r.Close && r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == ""
	return plain && c.pipeline.options.Ahead(r)
}

// startTurn takes in that the server has come to a request, and returns the run that
// was begun for it early, or nil.
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

// stop ends the search for requests: the server counts otherwise.
func (c *connection) stop() {
	c.scanner.stop()
	for number, begun := range c.early {
		begun.cancel()
		delete(c.early, number)
	}
}

// sameRequest reports whether the server read the request that was begun.
func sameRequest(begun, read *http.Request) bool {
	return begun.Method == read.Method && begun.RequestURI == read.RequestURI && begun.Host == read.Host &&
		maps.EqualFunc(begun.Header, read.Header, slices.Equal[[]string])
}

// finishTurn notes that the server has finishTurn one more request.
func (c *connection) finishTurn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished++
}

// hasEarlyRequests reports whether requests behind the present one were begun: they
// would be lost if the connection closed after its answer.
func (c *connection) hasEarlyRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.early) > 0
}
