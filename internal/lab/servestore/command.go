// Package servestore is the command that runs the stand-in of the platform's
// key-value service.
package servestore

import (
	"context"
	"net"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/standin/keyvalue"
)

// Command holds the flags of `kestrel-lab store`.
type Command struct {
	Listen string `required:"" help:"Address to serve on, IP:port." placeholder:"IP:PORT"`
}

// Run serves an empty store until the context ends.
func (c *Command) Run(ctx context.Context, logger *zap.Logger) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return trace.Wrap(err, "listen on %s", c.Listen)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	logger.Info("store serving", zap.Stringer("address", listener.Addr()))
	return trace.Wrap(keyvalue.Serve(listener), "serve the store on %s", listener.Addr())
}
