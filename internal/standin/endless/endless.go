// Package endless plays servers whose bytes do not end before the caller closes the connection.
package endless

import (
	"io"
	"strings"
	"time"
)

// Stream is what a server sends for one request.
type Stream struct {
	// Name describes the stream.
	Name string
	// Start is sent once, then Piece again and again, with Pause before each.
	Start, Piece string
	Pause        time.Duration
}

const (
	// pause lets a virtual clock advance; slowPause is that of streams of single bytes.
	pause, slowPause = time.Millisecond, 20 * time.Millisecond
	// idlePause is long enough for the connection to become idle.
	idlePause = 50 * time.Millisecond
	// pieceBytes is the size of most pieces.
	pieceBytes = 4 << 10
)

var (
	noise     = strings.Repeat("\x00\xfe noise", pieceBytes/8)
	noiseLine = strings.Repeat("noise noise noise\r\n", pieceBytes/19)
	padding   = strings.Repeat("0", pieceBytes)
	padLines  = strings.Repeat("Padding: 0123456789\r\n", pieceBytes/21)
	chunk     = "1000\r\n" + padding + "\r\n"
)

// head returns the beginning of a successful answer with additional header lines.
func head(lines ...string) string { return "HTTP/1.1 200 OK\r\n" + strings.Join(lines, "") }

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// NoAnswers returns streams that are no HTTP.
func NoAnswers() []Stream {
	return []Stream{
		{"bytes without a line end", "", noise, pause},
		{"lines of text", "", noiseLine, pause},
		{"single bytes", "", "n", slowPause},
	}
}

// Heads returns streams that begin like an answer with the header lines and never reach the end of
// its head.
func Heads(lines string) []Stream {
	return []Stream{
		{"status line without an end", "HTTP/1.1 200 ", padding, pause},
		{"header line without an end", head(lines) + "Padding: ", padding, pause},
		{"header lines without an end", head(lines), padLines, pause},
		{"header of single bytes", head(lines) + "Padding: ", "0", slowPause},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n" + lines + "\r\n", pause},
	}
}

// Bodies returns streams of an answer with the header lines and a body without an end. The framing
// of the invalid ones is broken.
func Bodies(lines string) (valid, invalid []Stream) {
	valid = []Stream{
		{"body until close", head(lines) + "\r\n", noise, pause},
		{"body in chunks", head(lines, chunked), chunk, pause},
		{"body of single bytes", head(lines) + "\r\n", "0", slowPause},
		{"chunks of single bytes", head(lines, chunked), "1\r\n0\r\n", slowPause},
		{"body of a great length", head(lines) + "Content-Length: 1000000000000\r\n\r\n", noise, pause},
	}
	invalid = []Stream{
		{"chunk size without an end", head(lines, chunked), padding, pause},
		{"chunk extension without an end", head(lines, chunked) + "5;a=", padding, pause},
		{"no chunks", head(lines, chunked), noise, pause},
		{"trailer without an end", head(lines, chunked) + "0\r\n", padLines, pause},
	}
	return valid, invalid
}

// Surplus returns streams that begin with a whole answer with the header lines, which is followed
// by other bytes at once or while the connection is idle.
func Surplus(lines string) []Stream {
	const length = "Content-Length: 2\r\n\r\nok"
	const inChunks = chunked + "2\r\nok\r\n0\r\n\r\n"
	return []Stream{
		{"noise right after an answer", head(lines, length) + noise, noise, pause},
		{"noise right after an answer in chunks", head(lines, inChunks) + noise, noise, pause},
		{"noise right after an answer without a body", "HTTP/1.1 204 No Content\r\n" + lines + "\r\n" + noise, noise, pause},
		{"answers right after an answer", head(lines, length) + head(lines, length), head(lines, length), pause},
		{"noise while idle", head(lines, length), noise, idlePause},
		{"answers while idle", head(lines, length), head(lines, length), idlePause},
	}
}

// Send writes the stream until a write fails, and returns the number of bytes written.
func (s Stream) Send(w io.Writer) (sent int64) {
	count, err := io.WriteString(w, s.Start)
	sent += int64(count)
	for err == nil {
		time.Sleep(s.Pause)
		count, err = io.WriteString(w, s.Piece)
		sent += int64(count)
	}
	return sent
}
