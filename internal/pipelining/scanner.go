package pipelining

import (
	"bufio"
	"bytes"
	"net/http"
	"sync"
)

// scanner finds the requests in the bytes of a connection. Requests already
// parsed by the server are skipped without parsing.
type scanner struct {
	// pending holds the bytes after the header of the last request, without its
	// body.
	pending []byte
	// body is the number of bytes of that request's body still to be received.
	body int64
	// stopped: request boundaries are no longer known, so that no more requests of
	// the connection are started early.
	stopped bool
}

// maxPendingBytes bounds the bytes not parsed yet: those read ahead of the server
// and those in the server's own buffer. More than that, or a body of unknown
// length, stops the scanner.
const maxPendingBytes = 2 * maxReadAheadBytes

var headEnd = []byte("\r\n\r\n")

var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 1<<10) }}

// add appends the next bytes of the connection.
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

// skipRequest skips a request that the server has parsed. length is that of its
// body, negative if unknown.
func (s *scanner) skipRequest(length int64) {
	head := s.cutHead()
	if head == nil || length < 0 {
		s.stop()
		return
	}
	s.skipBody(length)
}

// next parses the next request. It returns nil if its header is incomplete or
// cannot be parsed.
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

// cutHead removes a complete request header from pending and returns it, or nil. Since
// the server tolerates other line ends, and empty lines in front, a header that has any
// stops the scanner: the server may have found its end elsewhere.
func (s *scanner) cutHead() []byte {
	if s.stopped || s.body > 0 {
		return nil
	}
	end := bytes.Index(s.pending, headEnd)
	if end < 0 {
		return nil
	}
	head := s.pending[:end+len(headEnd)]
	if !hasOnlyCRLF(head) {
		s.stop()
		return nil
	}
	s.pending = s.pending[len(head):]
	if len(s.pending) == 0 {
		// The returned header still uses this buffer, so the next bytes need a
		// new one.
		s.pending = nil
	}
	return head
}

// hasOnlyCRLF reports whether all lines of a header end with CRLF and the first is not
// empty.
func hasOnlyCRLF(head []byte) bool {
	return head[0] != '\r' && head[0] != '\n' && bytes.Count(head, []byte("\n")) == bytes.Count(head, []byte("\r\n"))
}

// skipBody skips a body of the given length.
func (s *scanner) skipBody(length int64) {
	pending := min(length, int64(len(s.pending)))
	s.pending = s.pending[pending:]
	s.body = length - pending
}
