package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

func newID(prefix string) string { return fmt.Sprintf("%s-%d", prefix, requestNumber.Add(1)) }

// outcomeSeen is what a client saw of one try.
type outcomeSeen struct {
	id                   string
	sent, whole, ended   time.Time
	status               int
	signature, body, err string
}

// plain sends one request on a connection of its own.
func plain(address, method, host, target, id string, deadline time.Duration, body string) outcomeSeen {
	return slow(address, method, host, target, id, deadline, []string{body}, 0, false)
}

// slow sends one request whose body goes out in pieces, in chunks or with a length.
func slow(address, method, host, target, id string, deadline time.Duration, pieces []string, gap time.Duration, chunked bool) outcomeSeen {
	return send(address, method, host, target, id, deadline, pieces, gap, chunked, "")
}

// withHead is plain with further lines in the header.
func withHead(address, method, host, target, id string, deadline time.Duration, body, lines string) outcomeSeen {
	return send(address, method, host, target, id, deadline, []string{body}, 0, false, lines)
}

func send(address, method, host, target, id string, deadline time.Duration, pieces []string, gap time.Duration, chunked bool, lines string) (seen outcomeSeen) {
	seen = outcomeSeen{id: id, sent: time.Now()}
	defer func() { seen.ended = time.Now() }()
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		seen.err = "connect"
		return seen
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(seen.sent.Add(deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, host, wire["request id"], id, wire["deadline"], deadline.Milliseconds()) + lines
	switch whole := strings.Join(pieces, ""); {
	case chunked:
		head += "Transfer-Encoding: chunked\r\n"
	case whole != "":
		head += fmt.Sprintf("Content-Length: %d\r\n", len(whole))
	}
	if _, err := io.WriteString(connection, head+"\r\n"); err != nil {
		seen.err = "send"
		return seen
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		for index, piece := range pieces {
			if index > 0 {
				time.Sleep(gap)
			}
			if chunked {
				piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
			}
			if _, err := io.WriteString(connection, piece); err != nil {
				return
			}
		}
		if chunked {
			_, _ = io.WriteString(connection, "0\r\n\r\n")
		}
		seen.whole = time.Now()
	}()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		seen.err = "no answer: " + err.Error()
		return seen
	}
	read, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	_ = connection.Close()
	<-written
	if err != nil {
		seen.err = "answer broke off"
	}
	seen.status, seen.signature, seen.body = response.StatusCode, response.Header.Get(wire["signature"]), string(read)
	return seen
}
