package forward

import (
	"context"
	"errors"
	"runtime"
)

// ErrCallerDisconnected says that the caller had closed its connection before its request
// was passed on.
var ErrCallerDisconnected = errors.New("the caller has left")

// yieldCount is how often the processor is left to others: one time in 61 the scheduler
// takes a goroutine that has yielded before one that is new.
const yieldCount = 2

// CallerDisconnected reports whether the caller is no longer there, or the time of its request
// is over. The server learns of it
// by a goroutine that reads on while the request is served. On a process that did
// not run for a while, request and end of the connection may be at hand together:
// that goroutine gets its turn first.
func CallerDisconnected(ctx context.Context) bool {
	for range yieldCount {
		runtime.Gosched()
	}
	return ctx.Err() != nil
}
