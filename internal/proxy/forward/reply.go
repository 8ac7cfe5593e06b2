package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// copyBufferBytes bounds what one streaming reply holds in memory.
const copyBufferBytes = 16 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// ErrReplyWriteFailed says that the reply could not be written to the caller.
var ErrReplyWriteFailed = errors.New("forward: the caller no longer reads the reply")

// WriteReply passes a reply on to the caller, headers already adjusted, and
// closes its body. An error means that the caller has seen only a part: the
// handler must then abort the caller's connection. A caller that stops reading
// cannot hold the exchange beyond the end of the context. hidden, when not
// empty, is the canonical name of a header that is kept from the caller. So
// are markers in the trailers, which are known only at the end.
func WriteReply(ctx context.Context, w http.ResponseWriter, response *http.Response, hidden string) error {
	defer response.Body.Close()
	delete(response.Header, hidden)
	if !mayBlock(response) {
		return writeReply(w, response, hidden)
	}
	stop := context.AfterFunc(ctx, func() {
		_ = http.NewResponseController(w).SetWriteDeadline(pastDeadline)
	})
	err := writeReply(w, response, hidden)
	if inTime := stop(); !inTime && err == nil {
		// What the server still holds back can no longer be written.
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

// serverBufferBytes is what a server holds back before it writes to the
// caller's connection. Writing a shorter reply cannot block before the end.
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

// announceTrailers names the trailers known before the body and returns how
// many there are.
func announceTrailers(header, trailer http.Header) int {
	for name := range trailer {
		header.Add("Trailer", name)
	}
	return len(trailer)
}

// writeTrailers sends trailers. Those that came unannounced use the library's
// prefix form for all.
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

// copyBody streams: whatever arrived is flushed unless the body is complete.
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
