package forward

import (
	"bytes"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"

	"github.com/kestrelstream/kestrelstream/internal/strictreply"
)

// scanState is the part of a reply that a replyScanner expects next.
type scanState int

const (
	scanStatus scanState = iota
	scanHeader
	// scanData is a body or a chunk of known length.
	scanData
	scanChunkSize
	scanTrailer
	// scanUnknown is a body whose end is not known to the scanner.
	scanUnknown
	scanDone
)

// replyScanner finds the end of a reply in the bytes that a peer sends. It rejects what is no HTTP/1
// reply from its first bytes, and of a header what net/http accepts although it is malformed: a status
// that is none, and a field whose name is no token. What it does not understand otherwise it leaves to
// net/http, which reads the same bytes.
type replyScanner struct {
	state scanState
	// method is that of the request.
	method string
	// line is the beginning of a line that was not received completely; cut: more of the line was
	// received than is kept.
	line []byte
	cut  bool
	// headerBytes counts the bytes of headers, interim replies included; interims counts those.
	headerBytes int64
	interims    int
	framing     framing
	// invalid is why the bytes were rejected; empty before.
	invalid Reason
	// remaining is the number of bytes left in scanData, line ends of chunks included.
	remaining int64
}

// framing is what a header says about the end of its reply.
type framing struct {
	status    int
	http10    bool
	chunked   bool
	length    int64
	hasLength bool // length is known
	// ambiguous: the header is contradictory or malformed.
	ambiguous bool
}

// reset prepares the scanner for the reply to a request with the method.
func (s *replyScanner) reset(method string) { *s = replyScanner{method: method, line: s.line[:0]} }

// headerBegun reports whether the beginning of a header has been received but not its end.
func (s *replyScanner) headerBegun() bool {
	return s.state == scanHeader || s.state == scanStatus && len(s.line) > 0
}

// scan consumes received bytes up to the end of the reply and returns their number. It reports false,
// with the reason in invalid, if they are not those of a valid HTTP/1 reply.
func (s *replyScanner) scan(data []byte) (used int, valid bool) {
	for used < len(data) {
		switch s.state {
		case scanDone:
			return used, true
		case scanUnknown:
			return len(data), true
		case scanData:
			count := min(s.remaining, int64(len(data)-used))
			s.remaining -= count
			used += int(count)
			s.endData()
		default:
			count, valid := s.scanLine(data[used:])
			used += count
			if !valid {
				return used, false
			}
		}
	}
	return used, true
}

// endData selects what follows scanData once all of it was received.
func (s *replyScanner) endData() {
	switch {
	case s.remaining > 0:
	case s.framing.chunked:
		s.state = scanChunkSize
	default:
		s.state = scanDone
	}
}

// maxKeptLine bounds what is kept of a line that arrives in pieces.
const maxKeptLine = 1 << 10

// scanLine consumes bytes up to the end of a line and returns their number.
func (s *replyScanner) scanLine(data []byte) (used int, valid bool) {
	line, rest, complete := bytes.Cut(data, newline)
	used = len(data) - len(rest)
	if len(s.line) > 0 || !complete {
		kept := min(len(line), maxKeptLine-len(s.line))
		s.cut = s.cut || kept < len(line)
		s.line = append(s.line, line[:kept]...)
		line = s.line
	}
	if s.awaitsHeader() {
		s.headerBytes += int64(used)
	} else if s.cut {
		s.state = scanUnknown
	}
	if s.state == scanStatus && !isReplyPrefix(line) {
		s.invalid = NotHTTP
	}
	if complete && s.invalid == "" {
		s.endLine(line)
		s.line, s.cut = s.line[:0], false
	}
	return used, s.invalid == ""
}

// awaitsHeader reports whether the next bytes are those of a header.
func (s *replyScanner) awaitsHeader() bool { return s.state == scanStatus || s.state == scanHeader }

// endLine consumes a complete line without its newline.
func (s *replyScanner) endLine(line []byte) {
	text := bytes.TrimSuffix(line, carriageReturn)
	switch {
	case s.state == scanStatus:
		s.framing = parseStatus(text)
		s.state = scanHeader
		if !strictreply.ValidStatus(s.framing.status) {
			s.invalid = StatusInvalid
		}
	case len(text) > 0 && (s.state == scanHeader || s.state == scanTrailer) && !validField(text):
		s.invalid = FieldInvalid
	case s.state == scanHeader && len(text) > 0:
		s.framing.addLine(text, s.cut)
	case s.state == scanHeader:
		s.endHeader()
	case len(text) == len(line): // net/http requires a carriage return between chunks
		s.state = scanUnknown
	case s.state == scanChunkSize:
		s.beginChunk(text)
	case s.state == scanTrailer && len(text) == 0:
		s.state = scanDone
	}
}

// endHeader selects what follows a header.
func (s *replyScanner) endHeader() {
	f := &s.framing
	switch {
	case f.ambiguous || f.status == http.StatusSwitchingProtocols:
		s.state = scanUnknown
	case f.status < http.StatusOK:
		s.state = scanStatus
		s.interims++
	case s.method == http.MethodHead || f.status == http.StatusNoContent || f.status == http.StatusNotModified:
		s.state = scanDone
	case f.chunked:
		s.state = scanChunkSize
	case !f.hasLength:
		s.state = scanUnknown
	default:
		s.state, s.remaining = scanData, f.length
		s.endData()
	}
}

// beginChunk consumes the line before a chunk.
func (s *replyScanner) beginChunk(line []byte) {
	digits := line
	if end := bytes.IndexAny(line, "; \t"); end >= 0 {
		digits = line[:end]
	}
	size, err := strconv.ParseUint(string(digits), 16, 62)
	switch {
	case err != nil:
		s.state = scanUnknown
	case size == 0:
		s.state = scanTrailer
	default:
		s.state, s.remaining = scanData, int64(size)+int64(len("\r\n"))
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

// parseStatus parses a status line. A line that is not understood has the status zero.
func parseStatus(line []byte) framing {
	const version, digits = len("HTTP/1."), 3
	protocol, rest, _ := bytes.Cut(line, space)
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), space)
	code, err := strconv.ParseUint(string(status), 10, 16)
	if err != nil || len(status) != digits || len(protocol) != version+1 {
		return framing{}
	}
	return framing{status: int(code), http10: line[version] == '0'}
}

// validField reports whether a header line has a name, which is a token shorter than maxKeptLine. A line
// that continues the one before it has none: whoever reads the reply next might read it differently.
func validField(line []byte) bool {
	name, _, found := bytes.Cut(line, colon)
	return found && len(name) < maxKeptLine && httpguts.ValidHeaderFieldName(string(name))
}

// isTimeoutReply reports whether the bytes begin with a reply 408, which servers send before they close
// an idle connection.
func isTimeoutReply(data []byte) bool {
	line, _, _ := bytes.Cut(data, newline)
	return isReplyPrefix(line) && parseStatus(bytes.TrimSuffix(line, carriageReturn)).status == http.StatusRequestTimeout
}

// addLine adds a header line, of which only the beginning is known if it was cut.
func (f *framing) addLine(line []byte, cut bool) {
	switch line[0] {
	case 'C', 'c', 'T', 't':
	default:
		return
	}
	name, value, _ := bytes.Cut(line, colon)
	value = bytes.Trim(value, " \t")
	switch {
	case equalFold(name, "content-length"):
		f.ambiguous = f.ambiguous || cut
		f.addLength(value)
	case equalFold(name, "transfer-encoding"):
		f.ambiguous = f.ambiguous || cut || f.chunked || f.http10 || !equalFold(value, "chunked")
		f.chunked = true
	}
}

func (f *framing) addLength(text []byte) {
	length, err := strconv.ParseUint(string(text), 10, 62)
	if err != nil || f.hasLength && f.length != int64(length) {
		f.ambiguous = true
	}
	f.length, f.hasLength = int64(length), true
}

var colon, space = []byte{':'}, []byte{' '}

// equalFold reports whether the text equals the lower-case ASCII name except for case.
func equalFold(text []byte, name string) bool {
	if len(text) != len(name) {
		return false
	}
	for i, letter := range text {
		if 'A' <= letter && letter <= 'Z' {
			letter += 'a' - 'A'
		}
		if letter != name[i] {
			return false
		}
	}
	return true
}
