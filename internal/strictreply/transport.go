// Package strictreply makes HTTP clients reject what net/http accepts of a malformed reply: a status
// that is none, a header field whose name is no token, and a reply without a length that was cut off
// by a reset.
package strictreply

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// lowestStatus and highestStatus bound the statuses of HTTP.
const lowestStatus, highestStatus = 100, 599

// Error reports a malformed reply.
type Error struct {
	// Status is the status of the reply. Field is the name of the malformed field; empty if the status
	// is the reason.
	Status int
	Field  string
}

// Error returns the reason.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("malformed reply: the name of the header field %q is no token", e.Field)
	}
	return fmt.Sprintf("malformed reply: %03d is no status of a reply", e.Status)
}

// ValidStatus reports whether a status is one of HTTP.
func ValidStatus(status int) bool { return lowestStatus <= status && status <= highestStatus }

// Check returns an *Error if the status or a field of the header is malformed.
func Check(response *http.Response) error {
	if !ValidStatus(response.StatusCode) {
		return &Error{Status: response.StatusCode}
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &Error{Status: response.StatusCode, Field: name}
		}
	}
	return nil
}

// checked is a transport that rejects malformed replies.
type checked struct{ next http.RoundTripper }

// CheckReplies returns a transport that rejects malformed replies of the given one.
func CheckReplies(next http.RoundTripper) http.RoundTripper { return &checked{next} }

// NewTransport returns the transport with malformed replies rejected and resets reported. The given
// one must not be used any more.
func NewTransport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(opened), nil
	}
	return CheckReplies(base)
}

// RoundTrip implements http.RoundTripper.
func (c *checked) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the transport below.
func (c *checked) CloseIdleConnections() {
	if closer, ok := c.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
