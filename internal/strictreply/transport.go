// Package strictreply makes HTTP clients reject what net/http accepts of a broken reply: one without a
// length that was cut off by a reset.
package strictreply

import (
	"context"
	"net"
	"net/http"
)

// NewTransport returns the transport with resets reported. The given one must not be used any more.
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
	return base
}
