// Package roundtrip reports whether the request of a failed HTTP round trip may
// have reached the server. It is shared by clients that may report a request as
// not processed only if that is proven.
package roundtrip

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// Trace traces one request. Once the request is assigned a connection, it may
// reach the server. A new attempt by the transport resets this: for a POST
// without an idempotency key, the transport retries only if nothing of the
// previous attempt was written.
type Trace struct {
	connected atomic.Bool
}

// Attach returns a context that traces the request made with it.
func (t *Trace) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// MayHaveArrived reports whether the request may have reached the server.
func (t *Trace) MayHaveArrived() bool { return t.connected.Load() }
