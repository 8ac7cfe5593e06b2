package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// copyBufferBytes is the size of the buffer of a streamed reply.
const copyBufferBytes = 16 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// ErrReplyWriteFailed is returned when the reply could not be written to the
// caller.
var ErrReplyWriteFailed = errors.New("forward: cannot write the reply to the caller")

// WriteReply forwards a reply, whose header is already adjusted, to the caller
// and closes its body. On an error the caller may have received only a part of
// the reply, and the handler must abort the caller's connection. The context
// bounds writing, so that a caller that stops reading cannot block the exchange.
// hidden, if not empty, is the canonical name of a header that is not forwarded.
// Mesh markers are removed from the trailers, which are known only at the end.
func WriteReply(ctx context.Context, w http.ResponseWriter, response *http.Response, hidden string) error {
	defer response.Body.Close()
	delete(response.Header, hidden)
	if !mayBlock(response) {
		return writeReply(w, response, hidden)
	}
	expired := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(expired)
		_ = http.NewResponseController(w).SetWriteDeadline(pastDeadline)
	})
	err := writeReply(w, response, hidden)
	if stop() {
		return err
	}
	// A write deadline that is set after the return would end the next answer on the
	// connection.
	<-expired
	if err == nil {
		// The server can no longer flush its buffer.
		return errors.Join(ErrReplyWriteFailed, context.Cause(ctx))
	}
	return err
}

func writeReply(w http.ResponseWriter, response *http.Response, hidden string) error {
	copyHeader(w.Header(), response.Header)
	filterTrailer(response.Trailer, hidden)
	announced := announceTrailers(w.Header(), response.Trailer)
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response); err != nil {
		return err
	}
	filterTrailer(response.Trailer, hidden)
	if len(response.Trailer) > 0 {
		writeTrailers(w, response.Trailer, announced)
	}
	return response.Body.Close()
}

// serverBufferBytes is the size of the net/http server's write buffer. Writing a
// reply that fits cannot block before the handler returns.
const serverBufferBytes = 2 << 10

func mayBlock(response *http.Response) bool {
	return response.ContentLength < 0 || response.ContentLength > serverBufferBytes
}

func filterTrailer(trailer http.Header, hidden string) {
	outcome.StripMarkers(trailer)
	delete(trailer, hidden)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// announceTrailers adds a Trailer header for the trailers known before the body
// and returns their number.
func announceTrailers(header, trailer http.Header) int {
	for name := range trailer {
		header.Add("Trailer", name)
	}
	return len(trailer)
}

// writeTrailers sends the trailers. If some were not announced, all of them are
// sent with http.TrailerPrefix.
func writeTrailers(w http.ResponseWriter, trailer http.Header, announced int) {
	_ = http.NewResponseController(w).Flush()
	prefix := ""
	if len(trailer) != announced {
		prefix = http.TrailerPrefix
	}
	for name, values := range trailer {
		w.Header()[prefix+name] = values
	}
}

// copyBody streams the body and flushes after each read except the one that
// completes it.
func copyBody(w http.ResponseWriter, response *http.Response) error {
	if response.Body == nil || response.ContentLength == 0 {
		return nil
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	remaining := response.ContentLength
	for {
		count, readErr := response.Body.Read(buffer[:])
		if count > 0 {
			if _, err := w.Write(buffer[:count]); err != nil {
				return errors.Join(ErrReplyWriteFailed, err)
			}
		}
		remaining -= int64(count)
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
		if remaining != 0 && count > 0 {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return errors.Join(ErrReplyWriteFailed, err)
			}
		}
	}
}
