// Package body buffers short response bodies before they are forwarded, so that
// a request whose response is cut off can still be retried.
package body

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
)

// MaxBufferedBytes is the length of the longest response that is buffered before it is forwarded.
const MaxBufferedBytes = 64 << 10

// initialReadBytes is the size of the first read of a response without Content-Length.
const initialReadBytes = 4 << 10

// BufferShort buffers the response's body when it is short. Afterwards the
// response either has a length and cannot be cut off any more, or streams the
// rest. An error means that the response was cut off; its body is closed.
func BufferShort(response *http.Response) error {
	if response.ContentLength > MaxBufferedBytes || response.Body == http.NoBody || response.ContentLength == 0 {
		return nil
	}
	buffered, whole, err := readUpTo(response.Body, response.ContentLength)
	if err != nil {
		_ = response.Body.Close()
		return err
	}
	rest := response.Body
	if !whole {
		response.Body = readCloser{Reader: io.MultiReader(bytes.NewReader(buffered), rest), Closer: rest}
		return nil
	}
	if len(response.Trailer) > 0 {
		response.Body = readCloser{Reader: bytes.NewReader(buffered), Closer: rest}
		return nil
	}
	_ = rest.Close()
	response.Body = io.NopCloser(bytes.NewReader(buffered))
	response.ContentLength = int64(len(buffered))
	response.TransferEncoding = nil
	response.Header["Content-Length"] = []string{strconv.Itoa(len(buffered))}
	return nil
}

type readCloser struct {
	io.Reader
	io.Closer
}

// readUpTo reads at most MaxBufferedBytes and reports whether that was all.
func readUpTo(from io.Reader, length int64) (buffered []byte, whole bool, err error) {
	size := int64(initialReadBytes)
	if length > 0 {
		size = length + 1 // one more byte, so that a read reaches EOF before the buffer is full
	}
	buffer := make([]byte, 0, size)
	for len(buffer) < MaxBufferedBytes {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		count, err := from.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return buffer, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return buffer, false, nil
}
