package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"
)

// bufferedBodyBytes is the largest request body that is read whole before a
// slot is taken: a slow upload then holds nothing, and the body can be sent
// again. Longer ones and those of unknown length are streamed.
const bufferedBodyBytes = 16 << 10

// ErrBodyTooLarge says that a request body is longer than allowed.
var ErrBodyTooLarge = errors.New("forward: request body too large")

// Body is the body of a request on its way through a proxy.
type Body struct {
	// buffered is the whole body, or of one that streams the part that was read before.
	buffered []byte
	length   int64
	trailer  http.Header
	stream   *streamedBody
}

// emptyBody is shared by all requests without a body; nothing modifies it.
var emptyBody = &Body{}

// ReadBody prepares the body of a request that a server received. Bodies
// longer than maximum are refused, streamed ones when they get there. The
// context bounds the reading of a short body. Trailers pass without markers
// and without hidden, a header's canonical name or empty.
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

// BufferedBody returns a body that was read whole.
func BufferedBody(content []byte) *Body {
	return &Body{buffered: content, length: int64(len(content))}
}

// ContinuedBody returns a body of which a part was read and the rest still
// streams in.
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

// Held returns the part from the beginning that is held, which must not be changed, and
// the length of the whole body; below zero when that is not known.
func (b *Body) Held() (beginning []byte, length int64) { return b.buffered, b.length }

func readShortBody(ctx context.Context, w http.ResponseWriter, request *http.Request) (*Body, error) {
	defer unblockOnDone(ctx, w)()
	buffered := make([]byte, request.ContentLength)
	if _, err := io.ReadFull(request.Body, buffered); err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	readEOF(request.Body)
	return &Body{buffered: buffered, length: request.ContentLength}, nil
}

// readEOF reads the end mark, by which the server learns that it may watch
// the connection for the caller's leaving.
func readEOF(body io.Reader) {
	var end [1]byte
	_, _ = body.Read(end[:])
}

func expectsContinue(request *http.Request) bool {
	return httpguts.HeaderValuesContainsToken(request.Header["Expect"], "100-continue")
}

// Attach gives the body to an outgoing request. It must not be called again
// once Spent reports true.
func (b *Body) Attach(outgoing *http.Request) {
	outgoing.ContentLength = b.length
	switch {
	case b.stream != nil:
		outgoing.Body = b.stream
		outgoing.Trailer = b.trailer
	case len(b.buffered) > 0:
		outgoing.Body = io.NopCloser(bytes.NewReader(b.buffered))
	default:
		outgoing.Body = nil
	}
}

// Consumed reports whether the body can no longer be sent from its start.
func (b *Body) Consumed() bool { return b.stream != nil && b.stream.readStarted.Load() }

// Replayable reports whether the body can be sent any number of times.
func (b *Body) Replayable() bool { return b.stream == nil }

// CloseUnlessRead has the server close the caller's connection after the reply
// unless the body was read to its end before the reply's header is written.
// What follows on the connection might otherwise be a rest of this request: a
// server in full duplex does not look whether the body broke off.
func (b *Body) CloseUnlessRead(header http.Header) {
	if b != nil && b.stream != nil && b.stream.request.ProtoMajor == 1 && !b.stream.complete.Load() {
		header.Set("Connection", "close")
	}
}

// streamedBody reads from the caller's connection. Close leaves the source
// open: the server that made it closes it.
type streamedBody struct {
	source      io.Reader
	remaining   int64
	readStarted atomic.Bool
	// complete: the source was read to its end.
	complete atomic.Bool
	// request is the one received: its trailers are known, and cleaned of
	// hidden, at the end of the source.
	request *http.Request
	hidden  string
}

// Read implements io.Reader.
func (s *streamedBody) Read(data []byte) (int, error) {
	s.readStarted.Store(true)
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

// Close implements io.Closer.
func (s *streamedBody) Close() error { return nil }

// pastDeadline makes reads of a connection return at once.
var pastDeadline = time.Unix(1, 0)

// UnblockOnDone makes reads of a streamed body return when the context ends,
// so that a caller that stops sending cannot hold the exchange beyond it.
// The returned function must be called before the context is released; it
// bounds what the server still waits for.
func (b *Body) UnblockOnDone(ctx context.Context, w http.ResponseWriter) (stop func()) {
	if b.stream == nil {
		return func() {}
	}
	stopped := unblockOnDone(ctx, w)
	return func() {
		stopped()
		setDiscardDeadline(w)
	}
}

// PrepareLocalReply readies the connection for a reply that the proxy makes
// itself, before the reply is written. The context is the request's, nil when
// none was made for it yet; the body is nil when its reading was never begun.
// The returned function is due once the reply is written.
func PrepareLocalReply(ctx context.Context, w http.ResponseWriter, request *http.Request, body *Body) (written func()) {
	written = func() {}
	if body == nil {
		allowEarlyReply(w, request)
		written = func() { discardRemainder(w, request) }
	}
	if ctx != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// Reads of the connection may have been unblocked for good.
		w.Header().Set("Connection", "close")
	}
	body.CloseUnlessRead(w.Header())
	return written
}

// allowEarlyReply lets a request be answered at once although its body was not
// read: by itself the server would wait for the body first. readRest is due
// once the answer is written.
func allowEarlyReply(w http.ResponseWriter, request *http.Request) {
	if !hasBody(request) {
		return
	}
	if expectsContinue(request) || request.ContentLength > maxDiscardBytes {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// discardRemainder reads the body that leaveUnread left. When it does not come whole
// within a short time the connection is closed, since what follows on it might
// be a rest of this request: a server in full duplex does not look. Over HTTP/2
// there is nothing to do.
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
	// discardTimeout is how long a server waits, after the answer, for the rest of
	// a body that nobody wants, before it closes the connection.
	discardTimeout = time.Second
	// maxDiscardBytes bounds such a rest, in bytes.
	maxDiscardBytes = 256 << 10
)

func setDiscardDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
}

func unblockOnDone(ctx context.Context, w http.ResponseWriter) (stop func()) {
	stopped := context.AfterFunc(ctx, func() {
		_ = http.NewResponseController(w).SetReadDeadline(pastDeadline)
	})
	return func() { stopped() }
}
