package forward

import (
	"errors"
	"net/http"
)

// ErrForeignReply is returned when the peer sent a reply to another request in
// place of the reply to this one.
var ErrForeignReply = errors.New("forward: reply belongs to another request")

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

// id returns the request's id, empty if there is none.
func (c *Correlation) id(request *http.Request) string {
	if c.Header == "" {
		return ""
	}
	return request.Header.Get(c.Header)
}

// check returns ErrForeignReply unless the reply carries the request's id.
func (c *Correlation) check(request *http.Request, reply *http.Response) error {
	if c.Header == "" || reply.Header.Get(c.Header) == c.id(request) {
		return nil
	}
	if c.OnForeign != nil {
		c.OnForeign(request, reply)
	}
	return ErrForeignReply
}
