package forward

import (
	"context"
	"errors"
	"runtime"

	"github.com/kestrelstream/kestrelstream/internal/httpserver/hangup"
)

// ErrCallerDisconnected is returned when the caller closed its connection before its request
// was forwarded.
var ErrCallerDisconnected = errors.New("caller disconnected before its request was forwarded")

// yieldCount is how often CallerDisconnected yields. One yield is not enough: on every 61st
// scheduling round the Go scheduler serves the global run queue, where yielded goroutines wait,
// before newly runnable ones.
const yieldCount = 2

// CallerDisconnected reports whether the caller has closed its connection or the deadline of its
// request has passed. The server detects the close in a background read that runs while the
// request is served. After the process was suspended, the request and the end of the connection
// may become readable together, so this function first yields to let the background read run. The
// kernel may hold up the thread of that read for longer, so it also asks the socket.
func CallerDisconnected(ctx context.Context) bool {
	for range yieldCount {
		runtime.Gosched()
	}
	return ctx.Err() != nil || hangup.Detected(ctx)
}
