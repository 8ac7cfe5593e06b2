package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"
)

// bufferedBodyBytes is the largest request body that is buffered before a slot
// is taken. A slow upload then occupies no slot, and the body can be sent again.
// Longer bodies and those of unknown length are streamed.
const bufferedBodyBytes = 16 << 10

// ErrBodyTooLarge is returned for a request body that exceeds the limit.
var ErrBodyTooLarge = errors.New("forward: request body too large")

// Body is a request body that is forwarded by a proxy, buffered or streamed.
type Body struct {
	// buffered is the whole body, or the part of a streamed body that was read
	// in advance.
	buffered []byte
	length   int64
	trailer  http.Header
	stream   *streamedBody
}

// emptyBody is shared by all requests without a body and must not be modified.
var emptyBody = &Body{}

// ReadBody returns the body of a request that a server received, buffered if it
// is short. Bodies longer than maximum are rejected, streamed ones of unknown
// length once they exceed it. The context bounds the reading of a short body.
// Trailers are forwarded without mesh markers and without hidden, which is empty
// or the canonical name of a header.
func ReadBody(ctx context.Context, w http.ResponseWriter, request *http.Request, maximum int64, hidden string) (*Body, error) {
	if request.ContentLength > maximum {
		return nil, ErrBodyTooLarge
	}
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		return emptyBody, nil
	}
	if request.ContentLength > 0 && request.ContentLength <= bufferedBodyBytes && !expectsContinue(request) {
		return readShortBody(ctx, w, request)
	}
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, fmt.Errorf("stream request body: %w", err)
	}
	filterTrailer(request.Trailer, hidden)
	stream := &streamedBody{source: request.Body, remaining: maximum, request: request, hidden: hidden}
	return &Body{length: request.ContentLength, trailer: request.Trailer, stream: stream}, nil
}

// BufferedBody returns a body with the given content.
func BufferedBody(content []byte) *Body {
	return &Body{buffered: content, length: int64(len(content))}
}

// ContinuedBody returns a streamed body whose beginning has already been read.
func ContinuedBody(read []byte, w http.ResponseWriter, request *http.Request) (*Body, error) {
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, fmt.Errorf("stream request body: %w", err)
	}
	stream := &streamedBody{
		source:    io.MultiReader(bytes.NewReader(read), request.Body),
		remaining: math.MaxInt64,
		request:   request,
	}
	return &Body{buffered: read, length: request.ContentLength, trailer: request.Trailer, stream: stream}, nil
}

// Held returns the buffered beginning of the body, which must not be modified, and the
// length of the whole body, which is negative if unknown.
func (b *Body) Held() (beginning []byte, length int64) { return b.buffered, b.length }

func readShortBody(ctx context.Context, w http.ResponseWriter, request *http.Request) (*Body, error) {
	var complete atomic.Bool
	defer unblockOnDone(ctx, w, &complete)()
	buffered := make([]byte, request.ContentLength)
	if _, err := io.ReadFull(request.Body, buffered); err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	readEOF(request.Body)
	complete.Store(true)
	return &Body{buffered: buffered, length: request.ContentLength}, nil
}

// readEOF reads the body up to io.EOF. Only then does the server start its
// background read, which detects a client disconnect.
func readEOF(body io.Reader) {
	var end [1]byte
	_, _ = body.Read(end[:])
}

func expectsContinue(request *http.Request) bool {
	return httpguts.HeaderValuesContainsToken(request.Header["Expect"], "100-continue")
}

// Attach sets the body of an outgoing request. Reclaim must be called before it is
// called again.
func (b *Body) Attach(outgoing *http.Request) {
	outgoing.ContentLength = b.length
	switch {
	case b.stream != nil:
		outgoing.Body = b.stream.newSend()
		outgoing.Trailer = b.trailer
	case len(b.buffered) > 0:
		outgoing.Body = io.NopCloser(bytes.NewReader(b.buffered))
	default:
		outgoing.Body = nil
	}
}

// Reclaim takes the body back from the request that it was attached to, whose writer
// may outlive the reply, and reports whether it can be sent from its start: reading a
// streamed body has not begun.
func (b *Body) Reclaim() bool { return b.stream == nil || b.stream.reclaim() }

// Replayable reports whether the body can be sent any number of times.
func (b *Body) Replayable() bool { return b.stream == nil }

// CloseUnlessRead makes the server close the caller's connection after the reply
// unless the body was read to EOF before the reply's header is written.
// Otherwise the next bytes on the connection might be the remainder of this
// body: a server in full-duplex mode does not check whether the body is complete.
func (b *Body) CloseUnlessRead(header http.Header) {
	if b != nil && b.stream != nil && b.stream.request.ProtoMajor == 1 && !b.stream.complete.Load() {
		header.Set("Connection", "close")
	}
}

// errReclaimed is returned to a writer that reads a body after Reclaim.
var errReclaimed = errors.New("forward: request body was reclaimed")

// streamedBody reads from the caller's connection.
type streamedBody struct {
	source    io.Reader
	remaining int64
	// complete: the source was read to EOF.
	complete atomic.Bool
	// request is the received request. Its trailers are known, and filtered,
	// at the end of the source.
	request *http.Request
	hidden  string

	mu sync.Mutex // guards all below
	// send may read the source; nil after Reclaim.
	send *bodySend
	// readStarted: reading the source has begun, for the last send.
	readStarted bool
}

// newSend returns the body of another send, which replaces that of the one before.
func (s *streamedBody) newSend() *bodySend {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send = &bodySend{stream: s}
	return s.send
}

func (s *streamedBody) reclaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readStarted {
		return false
	}
	s.send = nil
	return true
}

// mayRead reports whether a send may read the source, and records that it does.
func (s *streamedBody) mayRead(send *bodySend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.send != send {
		return false
	}
	s.readStarted = true
	return true
}

// read reads the source.
func (s *streamedBody) read(data []byte) (int, error) {
	count, err := s.source.Read(data)
	s.remaining -= int64(count)
	if s.remaining < 0 {
		return 0, ErrBodyTooLarge
	}
	if err == io.EOF {
		filterTrailer(s.request.Trailer, s.hidden)
		s.complete.Store(true)
	}
	return count, err
}

// bodySend is a streamed body as one outgoing request reads it.
type bodySend struct{ stream *streamedBody }

// Read implements io.Reader.
func (b *bodySend) Read(data []byte) (int, error) {
	if !b.stream.mayRead(b) {
		return 0, errReclaimed
	}
	return b.stream.read(data)
}

// Close implements io.Closer. It does not close the source, which belongs to the server.
func (b *bodySend) Close() error { return nil }

// pastDeadline makes reads and writes of a connection fail immediately.
var pastDeadline = time.Unix(1, 0)

// UnblockOnDone makes reads of a streamed body fail when the context ends, so
// that a caller that stops sending cannot block the exchange any longer. The
// returned function must be called before the context is cancelled by its owner;
// it bounds how long the server waits for the unread remainder of the body.
func (b *Body) UnblockOnDone(ctx context.Context, w http.ResponseWriter) (stop func()) {
	if b.stream == nil {
		return func() {}
	}
	stopped := unblockOnDone(ctx, w, &b.stream.complete)
	return func() {
		stopped()
		setDiscardDeadline(w)
	}
}

// PrepareLocalReply prepares the connection for a reply that the proxy generates
// itself. It must be called before the reply is written, and the returned
// function afterwards. ctx is the request's context, or nil if there is none
// yet; body is nil if reading it was never started.
func PrepareLocalReply(ctx context.Context, w http.ResponseWriter, request *http.Request, body *Body) (written func()) {
	written = func() {}
	if body == nil {
		allowEarlyReply(w, request)
		written = func() { discardRemainder(w, request) }
	}
	if ctx != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// UnblockOnDone may have set a read deadline in the past, which makes
		// the connection unusable.
		w.Header().Set("Connection", "close")
	}
	body.CloseUnlessRead(w.Header())
	return written
}

// allowEarlyReply allows a reply to a request whose body was not read: by default
// the server reads the body first. discardRemainder must be called after the
// reply is written.
func allowEarlyReply(w http.ResponseWriter, request *http.Request) {
	if !hasBody(request) {
		return
	}
	if expectsContinue(request) || request.ContentLength > maxDiscardBytes {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// discardRemainder reads the body after an early reply. If the rest does not
// arrive within discardTimeout, the connection is closed: the next bytes on it
// might belong to this body, which a server in full-duplex mode does not check.
// Over HTTP/2 there is nothing to do.
func discardRemainder(w http.ResponseWriter, request *http.Request) {
	if !hasBody(request) || request.ProtoMajor != 1 {
		return
	}
	_ = http.NewResponseController(w).Flush()
	setDiscardDeadline(w)
	if w.Header().Get("Connection") == "close" {
		return
	}
	if _, err := io.CopyN(io.Discard, request.Body, maxDiscardBytes+1); err != io.EOF {
		panic(http.ErrAbortHandler)
	}
}

func hasBody(request *http.Request) bool {
	return request.ContentLength != 0 && request.Body != nil && request.Body != http.NoBody
}

const (
	// discardTimeout is how long the server waits, after the reply, for the
	// remainder of an unread body before it closes the connection.
	discardTimeout = time.Second
	// maxDiscardBytes bounds the size of that remainder.
	maxDiscardBytes = 256 << 10
)

func setDiscardDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
}

// unblockOnDone makes reads of a body fail when the context ends, unless it is complete:
// the server then reads the connection itself, and a failed read would end it. The
// returned function must be called once; no deadline is set after it has returned.
func unblockOnDone(ctx context.Context, w http.ResponseWriter, complete *atomic.Bool) (stop func()) {
	ended := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(ended)
		if !complete.Load() {
			_ = http.NewResponseController(w).SetReadDeadline(pastDeadline)
		}
	})
	return func() {
		if !cancel() {
			<-ended
		}
	}
}
