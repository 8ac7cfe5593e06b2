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
	// failed is the error of a read that the server has not seen yet.
	failed error
	// reading: a read of the connection is under way; waiting: the server waits
	// for bytes.
	reading, waiting bool
	scanner          scanner
	// found counts the requests that are known, turns those that the server came
	// to, done those that it has answered.
	found, turns, done int
	// barrier is one more than the number of the last request that nothing behind
	// may overtake.
	barrier int
	// ahead holds the requests begun before their turn, by number.
	ahead map[int]*run
}

func newConnection(accepted net.Conn, pipeline *Pipeline) *connection {
	created := &connection{Conn: accepted, pipeline: pipeline, end: func() {}, ahead: map[int]*run{}}
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
		case c.failed != nil:
			return 0, c.takeFailure()
		case c.reading:
			c.await(c.changed.Wait)
		case single:
			c.await(func() { c.readAhead() })
		default:
			n, err := c.read(p)
			c.take(p[:n])
			return n, err
		}
	}
	n, _ := c.unread.Read(p)
	if single {
		c.lookOn()
	}
	return n, nil
}

// await notes that the server waits for bytes.
func (c *connection) await(wait func()) {
	c.waiting = true
	wait()
	c.waiting = false
}

// takeFailure returns the error of a read: a time that ran out once, an end ever
// after.
func (c *connection) takeFailure() error {
	err := c.failed
	if isTimeout(err) {
		c.failed = nil
	}
	return err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// aheadChunks are the buffers of reads ahead of the server.
var aheadChunks = sync.Pool{New: func() any { return new([2 << 10]byte) }}

// readAhead reads once into unread and reports whether it can go on. A time that
// ran out while the server did not wait says nothing to it.
func (c *connection) readAhead() bool {
	chunk := aheadChunks.Get().(*[2 << 10]byte)
	defer aheadChunks.Put(chunk)
	n, err := c.read(chunk[:])
	c.unread.Write(chunk[:n])
	if err != nil && (!isTimeout(err) || c.waiting) {
		c.failed = err
	}
	c.take(chunk[:n])
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

// lookOn reads ahead while the server is busy with a request.
func (c *connection) lookOn() {
	if c.reading || !c.looksOn() {
		return
	}
	c.reading = true
	go func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for c.readAhead() && c.looksOn() && !c.waiting {
		}
	}()
}

func (c *connection) looksOn() bool {
	return c.busy() && !c.scanner.lost && c.failed == nil && c.unread.Len() < unreadBytes
}

// busy reports whether the server is at a request.
func (c *connection) busy() bool { return c.turns > c.done }

// take notes what was read.
func (c *connection) take(chunk []byte) {
	c.scanner.add(chunk)
	c.scan()
}

// scan begins the requests behind the one that the server is at, as far as they
// may be.
func (c *connection) scan() {
	for c.busy() && c.mayBegin() {
		next := c.scanner.next()
		if next == nil {
			return
		}
		number := c.found
		c.note(next)
		if c.mayBegin() {
			c.ahead[number] = begin(c, next)
		}
	}
}

// mayBegin reports whether the next request may be begun early: nothing that it
// must not overtake is before it, and there is room.
func (c *connection) mayBegin() bool {
	return c.barrier <= c.done && len(c.ahead) < aheadPerConnection
}

// note counts a request.
func (c *connection) note(r *http.Request) {
	c.found++
	if !c.mayOvertake(r) {
		c.barrier = c.found
	}
}

// mayOvertake reports whether the request may be begun early, and others while it
// is under way.
func (c *connection) mayOvertake(r *http.Request) bool {
	plain := r.ContentLength == 0 && !r.Close && r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == ""
	return plain && c.pipeline.options.Ahead(r)
}

// turn takes in that the server has come to a request, and returns the run that
// was begun for it early, or nil.
func (c *connection) turn(r *http.Request) *run {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := c.turns
	c.turns++
	if number == c.found {
		c.scanner.pass(r.ContentLength)
		c.note(r)
		c.scan()
		return nil
	}
	begun := c.ahead[number]
	delete(c.ahead, number)
	defer c.scan()
	if begun != nil && !same(begun.request, r) {
		begun.cancel()
		c.lose()
		return nil
	}
	return begun
}

// lose ends the search for requests: the server counts otherwise.
func (c *connection) lose() {
	c.scanner.lose()
	for number, begun := range c.ahead {
		begun.cancel()
		delete(c.ahead, number)
	}
}

// same reports whether the server read the request that was begun.
func same(begun, read *http.Request) bool {
	return begun.Method == read.Method && begun.RequestURI == read.RequestURI && begun.Host == read.Host &&
		maps.EqualFunc(begun.Header, read.Header, slices.Equal[[]string])
}

// answered notes that the server has answered one more request.
func (c *connection) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done++
}

// followed reports whether requests behind the present one were begun: they
// would be lost if the connection closed after its answer.
func (c *connection) followed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead) > 0
}
