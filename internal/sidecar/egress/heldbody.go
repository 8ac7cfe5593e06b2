package egress

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
)

// heldBody is the body of a request that must not run twice. The HTTP client holds it back until
// the node asks for it with 100 Continue, and a node runs no request whose body is incomplete.
type heldBody struct {
	io.ReadCloser
	// begun: reading the body for sending has begun.
	begun *atomic.Bool
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	b.begun.Store(true)
	return b.ReadCloser.Read(p)
}

// expects100Continue reports whether the request's body is held back. net/http does that only with
// methods that usually have a body.
func (c *call) expects100Continue() bool {
	if c.route.Repeatable {
		return false
	}
	switch c.request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// holdBody makes the HTTP client hold back the body of a request.
func (a *attempt) holdBody(outgoing *http.Request) {
	outgoing.Header["Expect"] = []string{"100-continue"}
	if outgoing.Body == nil {
		// Without a body, a chunked empty one makes the client wait.
		outgoing.Body, outgoing.ContentLength = io.NopCloser(strings.NewReader("")), -1
	}
	outgoing.Body = &heldBody{ReadCloser: outgoing.Body, begun: &a.bodyBegun}
}

// bodyWithheld reports whether the body is held back and nothing of it was read for sending. That
// 100 Continue was not received proves nothing: the client also sends the body after a final reply
// that keeps the connection open.
func (a *attempt) bodyWithheld() bool {
	return a.call.expects100Continue() && !a.bodyBegun.Load()
}
