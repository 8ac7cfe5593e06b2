package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestScannerFindsEndOfReply checks the end of replies that arrive in pieces of any size, with other
// bytes behind them.
func TestScannerFindsEndOfReply(t *testing.T) {
	const status, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, method, reply string
		// unknown: the scanner leaves the end to net/http.
		unknown bool
	}{
		{name: "length", reply: status + "Content-Length: 2\r\n\r\nok"},
		{name: "no body", reply: status + "Content-Length: 0\r\n\r\n"},
		{name: "equal lengths", reply: status + "content-length:2\r\nCONTENT-LENGTH: 2 \r\n\r\nok"},
		{name: "newlines alone", reply: "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"},
		{name: "blanks before the status", reply: "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{name: "unknown status", reply: "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok"},
		{name: "every token byte in a name", reply: status + "!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 2\r\n\r\nok"},
		{name: "no reason", reply: "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok"},
		{name: "version 1.0", reply: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{name: "no content", reply: "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n"},
		{name: "not modified", reply: "HTTP/1.1 304 Not Modified\r\nContent-Length: 20\r\n\r\n"},
		{name: "reply to HEAD", method: http.MethodHead, reply: status + "Content-Length: 20\r\n\r\n"},
		{name: "interim replies", reply: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + status + "Content-Length: 2\r\n\r\nok"},
		{name: "chunks", reply: status + chunked + "1\r\nk\r\nA\r\n0123456789\r\n0\r\n\r\n"},
		{name: "chunk extensions", reply: status + chunked + "1;a=b\r\nk\r\n1 \r\nk\r\n000;c\r\n\r\n"},
		{name: "trailers", reply: status + chunked + "1\r\nk\r\n0\r\nSum: 1\r\nOther: 2\r\n\r\n"},
		{name: "chunks and a length", reply: status + "Content-Length: 1\r\n" + chunked + "2\r\nok\r\n0\r\n\r\n"},
		{name: "until close", reply: status + "\r\nok", unknown: true},
		{name: "other lengths", reply: status + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", unknown: true},
		{name: "no length", reply: status + "Content-Length: -2\r\n\r\nok", unknown: true},
		{name: "other encoding", reply: status + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", unknown: true},
		{name: "chunks in version 1.0", reply: "HTTP/1.0 200 OK\r\n" + chunked + "0\r\n\r\n", unknown: true},
		{name: "protocol switch", reply: "HTTP/1.1 101 Switching Protocols\r\n\r\nok", unknown: true},
		{name: "no chunk", reply: status + chunked + "ok\r\n", unknown: true},
		{name: "newline alone after a chunk", reply: status + chunked + "1\r\nk\r\n0\r\n\n", unknown: true},
		{name: "long header lines", reply: status + "A: " + strings.Repeat("a", 2*maxKeptLine) + "\r\nContent-Length: 2\r\nB: " + strings.Repeat("b", maxKeptLine) + "\r\n\r\nok"},
		{name: "long reason", reply: "HTTP/1.1 200 " + strings.Repeat("a", 2*maxKeptLine) + "\r\nContent-Length: 2\r\n\r\nok"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			stream := []byte(tc.reply + "HTTP/1.1 surplus\r\n\r\n")
			for size := 1; size <= len(stream); size++ {
				scanner := &replyScanner{}
				scanner.reset(tc.method)
				scanned := 0
				for scanned < len(stream) && scanner.state != scanDone {
					used, valid := scanner.scan(stream[scanned:min(scanned+size, len(stream))])
					g.Expect(valid).To(BeTrue())
					scanned += used
				}
				if tc.unknown {
					g.Expect(scanner.state).To(Equal(scanUnknown))
				} else {
					g.Expect(scanned).To(Equal(len(tc.reply)), "pieces of %d bytes", size)
				}
			}
		})
	}
}

// TestScannerRejectsMalformedHeaders guards against malformed replies that net/http accepts.
func TestScannerRejectsMalformedHeaders(t *testing.T) {
	const status, rest = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nok"
	cases := []struct {
		name, reply string
		reason      Reason
	}{
		{"status 000", "HTTP/1.1 000 None\r\n" + rest, StatusInvalid},
		{"status 099", "HTTP/1.1 099 None\r\n" + rest, StatusInvalid},
		{"status 600", "HTTP/1.1 600 None\r\n" + rest, StatusInvalid},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n" + rest, StatusInvalid},
		{"two digits", "HTTP/1.1 20 OK\r\n" + rest, StatusInvalid},
		{"four digits", "HTTP/1.1 2000 OK\r\n" + rest, StatusInvalid},
		{"no status", "HTTP/1.1 OK\r\n" + rest, StatusInvalid},
		{"status 000 after an interim reply", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 000 None\r\n" + rest, StatusInvalid},
		{"blank in a name", status + "A Name: x\r\n" + rest, FieldInvalid},
		{"blank before the colon", status + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", FieldInvalid},
		{"tab before the colon", status + "Content-Length\t: 2\r\n\r\nok", FieldInvalid},
		{"blank before the first name", status + " Content-Length: 2\r\n\r\nok", FieldInvalid},
		{"continued line", status + "Content-Length: 2\r\n 0\r\n\r\nok", FieldInvalid},
		{"tab before a name", status + "A: b\r\n\tContent-Length: 2\r\n\r\nok", FieldInvalid},
		{"control byte in a name", status + "A\x01b: x\r\n" + rest, FieldInvalid},
		{"zero byte in a name", status + "A\x00: x\r\n" + rest, FieldInvalid},
		{"carriage return in a name", status + "A\rB: x\r\n" + rest, FieldInvalid},
		{"empty name", status + ": x\r\n" + rest, FieldInvalid},
		{"no colon", status + "Name\r\n" + rest, FieldInvalid},
		{"name longer than is kept", status + strings.Repeat("a", 2*maxKeptLine) + ": x\r\n" + rest, FieldInvalid},
		{"in an interim reply", "HTTP/1.1 103 Hints\r\nA Name: x\r\n\r\n" + status + rest, FieldInvalid},
		{"in a trailer", status + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA Name: x\r\n\r\n", FieldInvalid},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			for size := 1; size <= len(tc.reply); size++ {
				scanner := &replyScanner{}
				scanner.reset(http.MethodGet)
				valid := true
				for scanned := 0; valid && scanned < len(tc.reply); {
					var used int
					used, valid = scanner.scan([]byte(tc.reply[scanned:min(scanned+size, len(tc.reply))]))
					scanned += used
				}
				g.Expect(valid).To(BeFalse(), "pieces of %d bytes", size)
				g.Expect(scanner.invalid).To(Equal(tc.reason))
			}
		})
	}
}

// TestScannerKeepsLittle guards against the memory of lines without an end on many connections, and
// against a length of which only the beginning is known.
func TestScannerKeepsLittle(t *testing.T) {
	const piece = "0000000000"
	for name, beginning := range map[string]string{
		"status": "HTTP/1.1 200 ", "header": "HTTP/1.1 200 OK\r\nA: ", "length": "HTTP/1.1 200 OK\r\nContent-Length: 0",
		"chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0;", "trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			scanner := &replyScanner{}
			scanner.scan([]byte(beginning))
			for range 2 * maxKeptLine {
				scanner.scan([]byte(piece))
			}
			g.Expect(cap(scanner.line)).To(BeNumerically("<=", 2*maxKeptLine))
			_, valid := scanner.scan([]byte("5\r\n\r\n"))
			g.Expect(valid).To(BeTrue())
			g.Expect(scanner.state).To(Equal(scanUnknown))
		})
	}
}

// FuzzScannerEndsNoReplyEarly guards against a reply of which a part is withheld from net/http.
func FuzzScannerEndsNoReplyEarly(f *testing.F) {
	for _, reply := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 204 No\r\n\r\n", "HTTP/1.1 304 No\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nk",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nk\r\n0\r\nSum: 1\r\n\r\n",
		"HTTP/1.0 200 OK\nTransfer-Encoding : chunked\nContent-Length: 1\n\nk", "HTTP/1.1  200 OK\r\n\r\n",
	} {
		f.Add([]byte(reply+reply), false)
		f.Add([]byte(reply+reply), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		request := &http.Request{Method: http.MethodGet}
		if head {
			request.Method = http.MethodHead
		}
		scanner := &replyScanner{}
		scanner.reset(request.Method)
		used, valid := scanner.scan(data)
		if !valid || scanner.state != scanDone {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(data[:used]))
		for {
			response, err := http.ReadResponse(reader, request)
			if err == nil && response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
				continue
			}
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("%q ends early: %v", data[:used], err)
			}
			return
		}
	})
}

// BenchmarkScanner scans a usual reply.
func BenchmarkScanner(b *testing.B) {
	reply := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Thu, 01 Jan 2026 00:00:00 GMT\r\nRequest-Id: 9c41d07be2a35f68\r\n" +
		"Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\nContent-Length: 600\r\n\r\n" + strings.Repeat("x", 600))
	scanner := &replyScanner{}
	b.ReportAllocs()
	for b.Loop() {
		scanner.reset(http.MethodGet)
		if used, valid := scanner.scan(reply); !valid || used != len(reply) || scanner.state != scanDone {
			b.Fatal("reply not scanned")
		}
	}
}
