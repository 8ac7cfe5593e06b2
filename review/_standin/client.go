package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a client's connection to the outbound address of the machine that it is on.
type client struct {
	net.Conn
	reader *bufio.Reader
	// answers counts the answers on the connection.
	answers int
}

// dialNode opens a client's connection to a node.
func dialNode(at *node) (*client, error) {
	conn, err := net.DialTimeout("tcp", at.outbound(), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// formatRequest returns the bytes of a request.
func formatRequest(method, path, id, body string, deadline time.Duration) string {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n%s",
		method, path, host, names.RequestID, id, names.Deadline, deadline.Milliseconds(), length, body)
}

// result is the answer that a client got, or the error.
type result struct {
	status     int
	signature  string
	body       []byte
	retryAfter string
	closes     bool
	err        error
}

func (r result) String() string {
	if r.err != nil {
		return "no whole answer: " + r.err.Error()
	}
	signed := "no signature"
	if r.signature != "" {
		signed = "signature " + r.signature
	}
	text := fmt.Sprintf("%d, %s, %d bytes", r.status, signed, len(r.body))
	if r.retryAfter != "" {
		text += ", Retry-After " + r.retryAfter
	}
	return text
}

// receive reads the next answer.
func (c *client) receive(method string, limit time.Duration) result {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result{status: response.StatusCode, err: err}
	}
	c.answers++
	return result{
		status: response.StatusCode, signature: response.Header.Get(names.Signature), body: body,
		retryAfter: response.Header.Get("Retry-After"), closes: response.Close,
	}
}
