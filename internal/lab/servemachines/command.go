// Package servemachines is the command that runs the stand-in of the
// platform's list of machines.
package servemachines

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/standin/machinelist"
)

const readHeaderTimeout = 5 * time.Second

// Command holds the flags of `kestrel-lab machines`.
type Command struct {
	Listen string        `required:"" help:"Address to serve on, IP:port." placeholder:"IP:PORT"`
	Lag    time.Duration `default:"2s" help:"How long a change takes to show."`
}

// Run serves an empty list until the context ends.
func (c *Command) Run(ctx context.Context, logger *zap.Logger) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return trace.Wrap(err, "listen on %s", c.Listen)
	}
	server := &http.Server{Handler: machinelist.NewHandler(machinelist.New(c.Lag, nil)), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	logger.Info("machine list serving", zap.Stringer("address", listener.Addr()))
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err, "serve the machine list on %s", listener.Addr())
	}
	return nil
}
