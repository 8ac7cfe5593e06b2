package pipelining

import (
	"bufio"
	"bytes"
	"net/http"
	"sync"
)

// scanner follows the requests in the bytes of a connection. What the server has
// parsed itself is not parsed again.
type scanner struct {
	// pending holds the bytes behind the last request that was passed.
	pending []byte
	// body is how many bytes of that request's body are still to come.
	body int64
	// stopped: the bounds of requests are not known any more. Nothing is begun early on
	// the connection from then on.
	stopped bool
}

// maxPendingBytes bounds what waits for the server to come to it: what was read ahead
// of it and what it holds itself. More than that, or a body without a length, ends
// the search.
const maxPendingBytes = 2 * maxReadAheadBytes

var headEnd = []byte("\r\n\r\n")

var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 1<<10) }}

// add takes in the next bytes.
func (s *scanner) add(chunk []byte) {
	skipped := min(s.body, int64(len(chunk)))
	s.body -= skipped
	chunk = chunk[skipped:]
	if s.stopped || len(chunk) == 0 {
		return
	}
	if len(s.pending)+len(chunk) > maxPendingBytes {
		s.stop()
		return
	}
	s.pending = append(s.pending, chunk...)
}

func (s *scanner) stop() {
	s.stopped = true
	s.pending = nil
}

// skipRequest goes beyond a request that the server has parsed; its body has that
// length, below zero for an unknown one.
func (s *scanner) skipRequest(length int64) {
	head := s.cutHead()
	if head == nil || length < 0 {
		s.stop()
		return
	}
	s.skipBody(length)
}

// next parses the request behind those that were passed; nil while its head is
// not complete.
func (s *scanner) next() *http.Request {
	head := s.cutHead()
	if head == nil {
		return nil
	}
	reader := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(reader)
	reader.Reset(bytes.NewReader(head))
	parsed, err := http.ReadRequest(reader)
	if err != nil || parsed.ContentLength < 0 {
		s.stop()
		return nil
	}
	s.skipBody(parsed.ContentLength)
	return parsed
}

// cutHead takes a complete head out of what is pending, or returns nil.
func (s *scanner) cutHead() []byte {
	if s.stopped || s.body > 0 {
		return nil
	}
	end := bytes.Index(s.pending, headEnd)
	if end < 0 {
		return nil
	}
	head := s.pending[:end+len(headEnd)]
	s.pending = s.pending[len(head):]
	if len(s.pending) == 0 {
		// The next bytes begin a buffer of their own: the head is still in use.
		s.pending = nil
	}
	return head
}

// skipBody goes beyond a body.
func (s *scanner) skipBody(length int64) {
	pending := min(length, int64(len(s.pending)))
	s.pending = s.pending[pending:]
	s.body = length - pending
}
