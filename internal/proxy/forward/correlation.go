package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// ErrForeignReply is returned when the peer sent a reply to another request in
// place of the reply to this one, which did not follow.
var ErrForeignReply = errors.New("forward: reply belongs to another request")

// errNoNextReply: the connection ended, or the request was not written completely.
var errNoNextReply = errors.New("no other reply can follow on the connection")

// Correlation matches replies with requests by an id that the peer echoes. The
// order of replies on a connection is no proof if the peer may send a reply more
// than once.
type Correlation struct {
	// Header is the canonical name of the header with the id. If it is empty,
	// replies are matched by their order alone.
	Header string
	// OnForeign is called with each reply that belongs to another request; nil for
	// none. It must not read the body.
	OnForeign func(request *http.Request, reply *http.Response)
}

// id returns the id in the header of a message, empty if there is none.
func (c *Correlation) id(header http.Header) string {
	if c.Header == "" {
		return ""
	}
	return header.Get(c.Header)
}

// matches reports whether the reply carries the request's id, and reports one that
// does not to OnForeign.
func (c *Correlation) matches(request *http.Request, reply *http.Response) bool {
	if c.id(reply.Header) == c.id(request.Header) {
		return true
	}
	if c.OnForeign != nil {
		c.OnForeign(request, reply)
	}
	return false
}

// sentRequest is a request that a connection has carried; zero for none.
type sentRequest struct {
	// id is empty if the request has none or replies are matched by their order.
	id, method string
}

// hasReply reports whether a reply with the id belongs to the request and its end
// can be found: that of a reply to HEAD depends on the method.
func (r sentRequest) hasReply(id string) bool {
	return id != "" && id == r.id && r.method != http.MethodHead
}

// exchange sends the request and returns the reply to it. It drops one reply to
// the request before on this connection, which the peer may have sent again.
func (p *Pool) exchange(conn *connection, request *http.Request) (*http.Response, error) {
	reply, err := conn.client.RoundTrip(request)
	if err != nil || p.correlation.matches(request, reply) {
		return reply, err
	}
	if !conn.previous.hasReply(p.correlation.id(reply.Header)) {
		_ = reply.Body.Close()
		return nil, ErrForeignReply
	}
	reply, err = conn.nextReply(request, reply, p.replies)
	if err != nil {
		return nil, errors.Join(ErrForeignReply, err)
	}
	if !p.correlation.matches(request, reply) {
		_ = reply.Body.Close()
		return nil, ErrForeignReply
	}
	return reply, nil
}

// nextReply drops a reply and awaits the next one on the connection without
// sending anything. net/http reads a reply only after it has sent a request, so
// the request is repeated with its writes discarded. What arrives before that is
// held.
func (c *connection) nextReply(request *http.Request, dropped *http.Response, limits Limits) (*http.Response, error) {
	err := c.drop(dropped, limits)
	_ = dropped.Body.Close()
	if err != nil {
		return nil, err
	}
	if c.client.Available() == 0 {
		return nil, errNoNextReply
	}
	c.tracked.discardWrites()
	repeated := request.WithContext(request.Context())
	repeated.Body, repeated.GetBody, repeated.ContentLength = nil, nil, 0
	return c.client.RoundTrip(repeated)
}

// drop reads the body of a reply within the limits. It fails at once if no other
// reply can follow.
func (c *connection) drop(dropped *http.Response, limits Limits) error {
	if dropped.Close || dropped.ContentLength < 0 && len(dropped.TransferEncoding) == 0 {
		return errNoNextReply
	}
	if timeout := limits.DroppedReplyTimeout; timeout > 0 {
		if err := c.tracked.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
	}
	read, err := readAtMost(dropped, limits.DroppedReplyBytes)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.tracked.rejectBody(DroppedTooSlow, read)
	case errors.Is(err, errTooLong):
		return c.tracked.rejectBody(DroppedTooLarge, read)
	case err != nil:
		return err
	}
	return c.tracked.SetReadDeadline(time.Time{})
}

var errTooLong = errors.New("reply is too long to be dropped")

// readAtMost reads the body of a reply and returns its length. It fails with
// errTooLong, without reading a body that states its length, if that exceeds the
// maximum; zero for none.
func readAtMost(reply *http.Response, maximum int64) (read int64, err error) {
	if maximum <= 0 {
		return io.Copy(io.Discard, reply.Body)
	}
	if reply.ContentLength > maximum {
		return 0, errTooLong
	}
	read, err = io.CopyN(io.Discard, reply.Body, maximum+1)
	switch {
	case err == nil:
		return read, errTooLong
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return read, nil
	}
	return read, err
}
