package forward

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// ErrUnframedReply is returned for a reply with neither a Content-Length nor
// chunked encoding: its end cannot be distinguished from a lost connection.
var ErrUnframedReply = errors.New("forward: reply has neither a Content-Length nor chunked encoding")

// ErrSwitchedProtocol is returned when the peer switched protocols without a
// request to do so.
var ErrSwitchedProtocol = errors.New("forward: peer switched protocols without being asked")

// Error reports an exchange that failed without a reply.
type Error struct {
	// Outcome is NotRun only if no byte of the request was written and none
	// can be written later.
	Outcome outcome.Outcome
	// Evidence is what the outcome NotRun rests on.
	Evidence notrun.Evidence
	Step     outcome.Step
	Peer     string
	Cause    error
}

// maxCauseBytes bounds the text of a cause, which may quote what the peer sent.
const maxCauseBytes = 256

// Error returns the outcome, step, peer and the beginning of the cause as text.
func (e *Error) Error() string {
	cause := e.Cause.Error()
	if len(cause) > maxCauseBytes {
		cause = cause[:maxCauseBytes] + "..."
	}
	return string(e.Outcome) + ": step " + string(e.Step) + ", peer " + e.Peer + ": " + cause
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// RoundTrip sends the request once, on one connection. The caller must close
// the reply's body; closing it before EOF closes the connection. The request's
// context bounds the whole exchange.
func (p *Pool) RoundTrip(request *http.Request) (*http.Response, error) {
	return p.roundTrip(request, math.MaxInt64)
}

// RoundTripNonRepeatable is like RoundTrip, for a request that must not be
// retried. It avoids connections that were idle for longer than
// maxIdleNonRepeatable, since the peer may have dropped them.
func (p *Pool) RoundTripNonRepeatable(request *http.Request) (*http.Response, error) {
	return p.roundTrip(request, maxIdleNonRepeatable)
}

func (p *Pool) roundTrip(request *http.Request, maxIdle time.Duration) (*http.Response, error) {
	if err := request.Context().Err(); err != nil {
		return nil, p.notRun(outcome.StepDeadline, context.Cause(request.Context()))
	}
	requestID := p.correlation.id(request.Header)
	conn, err := p.get(request.Context(), maxIdle, requestID)
	if err != nil {
		return nil, p.notRun(outcome.StepConnect, err)
	}
	conn.latest, conn.previous = sentRequest{id: requestID, method: request.Method}, conn.latest
	conn.tracked.begin(request.Context())
	conn.tracked.expect(request.Method)
	response, err := p.exchange(conn, request)
	if err != nil {
		if invalid := conn.tracked.invalidReply(); invalid != nil {
			if invalid.Reason != Unsolicited { // which was reported when it arrived
				p.reportInvalid(request, invalid)
			}
			err = errors.Join(invalid, err)
		}
		if conn.reused && request.Context().Err() == nil && !IsPeerError(err) {
			p.recordBreak(conn.idleFor)
		}
		return nil, p.fail(conn, err)
	}
	if err := p.checkReply(request, response); err != nil {
		_ = response.Body.Close()
		return nil, p.fail(conn, err)
	}
	if limit := p.replies.ReplyBodyBytes; limit > 0 && response.ContentLength > limit && request.Method != http.MethodHead {
		_ = response.Body.Close()
		invalid := conn.tracked.rejectBody(BodyTooLarge, 0)
		p.reportInvalid(request, invalid)
		return nil, p.fail(conn, invalid)
	}
	conn.applyKeepAlive(response.Header)
	response.Body = &replyBody{
		body: response.Body, request: request, pool: p, connection: conn,
		complete: response.Body == http.NoBody,
	}
	return response, nil
}

// recordBreak records that a connection failed without a reply after it was
// idle for the given time.
func (p *Pool) recordBreak(idleFor time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.maxIdle.recordBreak(idleFor, time.Now())
}

// notRun returns the error of a request of which nothing was written.
func (p *Pool) notRun(step outcome.Step, cause error) *Error {
	evidence := notrun.Send{NothingWritten: true}.Evidence()
	return &Error{Outcome: outcome.Of(evidence), Evidence: evidence, Step: step, Peer: p.address, Cause: cause}
}

// fail seals and closes the connection and derives the outcome from whether
// anything was written. Sealing first ensures that nothing is written after the
// outcome is determined.
func (p *Pool) fail(broken *connection, cause error) *Error {
	nothingWritten := broken.tracked.seal()
	p.discard(broken)
	if nothingWritten {
		return p.notRun(outcome.StepWrite, cause)
	}
	return &Error{Outcome: outcome.Unknown, Step: outcome.StepAwait, Peer: p.address, Cause: cause}
}

// keepAliveShare is the fraction of the peer's keep-alive timeout for which an
// idle connection is reused. Close to the timeout, the peer's close could race
// with a new request.
const keepAliveShare = 0.7

// applyKeepAlive sets the idle timeout from the timeout parameter of the
// peer's Keep-Alive header.
func (c *connection) applyKeepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			c.idleTimeout = max(time.Duration(float64(seconds)*keepAliveShare*float64(time.Second)), time.Millisecond)
		}
	}
}

// checkReply rejects protocol switches and, unless unframed replies are
// allowed, replies that are delimited only by the end of the connection.
func (p *Pool) checkReply(request *http.Request, response *http.Response) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return ErrSwitchedProtocol
	}
	if p.unframed {
		return nil
	}
	counted := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !counted && request.Method != http.MethodHead && response.Body != http.NoBody {
		return ErrUnframedReply
	}
	return nil
}

// replyBody bounds a body and returns the connection to the pool after it was
// read to EOF.
type replyBody struct {
	body       io.ReadCloser
	request    *http.Request
	pool       *Pool
	connection *connection
	read       int64
	complete   bool
	closed     bool
}

// Read implements io.Reader.
func (b *replyBody) Read(data []byte) (int, error) {
	count, err := b.body.Read(data)
	b.read += int64(count)
	if limit := b.pool.replies.ReplyBodyBytes; limit > 0 && b.read > limit {
		return 0, b.reject(BodyTooLarge)
	}
	switch {
	case err == io.EOF:
		b.complete = true
	case err != nil:
		b.reportBroken()
	}
	return count, err
}

// reportBroken reports a body that was broken off, unless the caller cancelled the
// request.
func (b *replyBody) reportBroken() {
	switch ctxErr := b.request.Context().Err(); {
	case ctxErr == nil:
		_ = b.reject(BodyBroken)
	case errors.Is(ctxErr, context.DeadlineExceeded):
		_ = b.reject(BodyTooSlow)
	}
}

// reject reports why the body is broken off.
func (b *replyBody) reject(reason Reason) *ReplyError {
	invalid := b.connection.tracked.rejectBody(reason, b.read)
	b.pool.reportInvalid(b.request, invalid)
	return invalid
}

// Close ends the exchange. If the body was not read to EOF, it closes the
// connection.
func (b *replyBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.complete && b.endReply() {
		b.pool.put(b.connection, time.Now())
		return nil
	}
	b.pool.discard(b.connection)
	return b.body.Close()
}

// endReply reports whether the connection can be used again after a complete reply.
func (b *replyBody) endReply() bool {
	if surplus := b.connection.tracked.endReply(); surplus != nil {
		b.pool.reportInvalid(b.request, surplus)
		return false
	}
	return b.connection.client.Available() > 0
}
