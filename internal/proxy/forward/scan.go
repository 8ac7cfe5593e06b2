package forward

import "bytes"

// replyScanner finds the end of the header of a reply in the bytes that a peer sends. It checks only
// the first bytes; the rest is left to net/http.
type replyScanner struct {
	// headerBytes counts the bytes of headers, interim replies included.
	headerBytes int64
	// line is the beginning of a line that was not received completely.
	line []byte
	// statusRead: the status line of the current header has ended.
	statusRead bool
	// interim: the current header is that of an interim reply; interims counts them.
	interim  bool
	interims int
	// done: the final header has ended.
	done bool
}

// reset prepares the scanner for the next reply.
func (s *replyScanner) reset() {
	*s = replyScanner{line: s.line[:0]}
}

// inHeader reports whether the beginning of a header has been received but not its end.
func (s *replyScanner) inHeader() bool { return !s.done && (s.statusRead || len(s.line) > 0) }

// scan consumes received bytes. It reports false if they are not those of an HTTP/1 reply.
func (s *replyScanner) scan(data []byte) (valid bool) {
	for len(data) > 0 && !s.done {
		line, rest, complete := bytes.Cut(data, newline)
		s.headerBytes += int64(len(data) - len(rest))
		data = rest
		if len(s.line) > 0 || !complete {
			s.line = append(s.line, line...)
			line = s.line
		}
		if !s.statusRead && !isReplyPrefix(line) {
			return false
		}
		if complete {
			s.endLine(bytes.TrimSuffix(line, carriageReturn))
			s.line = s.line[:0]
		}
	}
	return true
}

// endLine consumes a complete line.
func (s *replyScanner) endLine(line []byte) {
	switch {
	case !s.statusRead:
		s.statusRead, s.interim = true, isInterim(line)
	case len(line) > 0:
	case s.interim:
		s.statusRead = false
		s.interims++
	default:
		s.done = true
	}
}

var (
	newline, carriageReturn = []byte{'\n'}, []byte{'\r'}
	replyPrefix             = []byte("HTTP/1.")
)

// isReplyPrefix reports whether a status line can begin with the bytes.
func isReplyPrefix(line []byte) bool {
	length := min(len(line), len(replyPrefix))
	return bytes.Equal(line[:length], replyPrefix[:length])
}

// isInterim reports whether a status line is that of an interim reply, which another reply follows.
func isInterim(line []byte) bool {
	const status = len("HTTP/1.1 ")
	return len(line) >= status+3 && line[status] == '1' && !bytes.Equal(line[status:status+3], switchingProtocols)
}

var switchingProtocols = []byte("101")
