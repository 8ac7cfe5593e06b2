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

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// ErrUnframedReply says that a reply is neither counted nor chunked, so that
// its end could not be told from a lost connection.
var ErrUnframedReply = errors.New("forward: the reply has neither a length nor chunks")

// ErrSwitchedProtocol says that the peer switched protocols unasked.
var ErrSwitchedProtocol = errors.New("forward: the peer switched protocols")

// Error is an exchange that brought no reply.
type Error struct {
	// Outcome is NotRun only when no byte of the request was written and none
	// will be.
	Outcome outcome.Outcome
	Step    outcome.Step
	Peer    string
	Cause   error
}

// Error names outcome, step, peer and cause.
func (e *Error) Error() string {
	return string(e.Outcome) + ": step " + string(e.Step) + ", peer " + e.Peer + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// RoundTrip sends the request once, on one connection. The reply's body must
// be closed; closing it before its end closes the connection. The request's
// context bounds the whole exchange.
func (p *Pool) RoundTrip(request *http.Request) (*http.Response, error) {
	return p.roundTrip(request, math.MaxInt64)
}

// RoundTripNonRepeatable is RoundTrip for a request that may not be sent again: it uses
// no connection that has rested for long, since the peer may have forgotten it.
func (p *Pool) RoundTripNonRepeatable(request *http.Request) (*http.Response, error) {
	return p.roundTrip(request, maxIdleNonRepeatable)
}

func (p *Pool) roundTrip(request *http.Request, maxIdle time.Duration) (*http.Response, error) {
	if err := request.Context().Err(); err != nil {
		return nil, p.notRun(outcome.StepDeadline, context.Cause(request.Context()))
	}
	conn, err := p.get(request.Context(), maxIdle)
	if err != nil {
		return nil, p.notRun(outcome.StepConnect, err)
	}
	conn.tracked.begin(request.Context())
	response, err := conn.client.RoundTrip(request)
	if err != nil {
		if conn.reused && request.Context().Err() == nil {
			p.recordBreak(conn.idleFor)
		}
		return nil, p.fail(conn, err)
	}
	if err := p.checkReply(request, response); err != nil {
		_ = response.Body.Close()
		return nil, p.fail(conn, err)
	}
	conn.applyKeepAlive(response.Header)
	response.Body = &replyBody{body: response.Body, pool: p, connection: conn, complete: response.Body == http.NoBody}
	return response, nil
}

// recordBreak takes in that a connection recordBreak without an answer after a rest.
func (p *Pool) recordBreak(idleFor time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.maxIdle.recordBreak(idleFor, time.Now())
}

func (p *Pool) notRun(step outcome.Step, cause error) *Error {
	return &Error{Outcome: outcome.NotRun, Step: step, Peer: p.address, Cause: cause}
}

// fail closes the connection first and only then looks at what was written,
// so that nothing can be written after the verdict.
func (p *Pool) fail(broken *connection, cause error) *Error {
	nothingWritten := broken.tracked.seal()
	p.discard(broken)
	if nothingWritten {
		return p.notRun(outcome.StepWrite, cause)
	}
	return &Error{Outcome: outcome.Unknown, Step: outcome.StepAwait, Peer: p.address, Cause: cause}
}

// keepAliveShare is the part of the idle time a peer grants that is made use of:
// near its end the peer's close would cross a request.
const keepAliveShare = 0.7

// applyKeepAlive takes in how long the peer says that it keeps the connection.
func (c *connection) applyKeepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			c.idleTimeout = max(time.Duration(float64(seconds)*keepAliveShare*float64(time.Second)), time.Millisecond)
		}
	}
}

// checkReply refuses replies whose end cannot be proved, unless replies that
// end with their connection are allowed.
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

// replyBody gives the connection back when the body was read to its end.
type replyBody struct {
	body       io.ReadCloser
	pool       *Pool
	connection *connection
	complete   bool
	closed     bool
}

// Read implements io.Reader.
func (b *replyBody) Read(data []byte) (int, error) {
	count, err := b.body.Read(data)
	if err == io.EOF {
		b.complete = true
	}
	return count, err
}

// Close ends the exchange. An unfinished one closes the connection.
func (b *replyBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.complete && b.connection.client.Available() > 0 {
		b.pool.put(b.connection, time.Now())
		return nil
	}
	b.pool.discard(b.connection)
	return b.body.Close()
}
