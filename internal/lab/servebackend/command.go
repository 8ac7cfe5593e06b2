// Package servebackend is the command that runs one stand-in back end.
package servebackend

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/standin/backend"
)

// stopTimeout bounds how long requests may finish after the stop signal.
const stopTimeout = 10 * time.Second

// Command holds the flags of `kestrel-lab backend`.
type Command struct {
	Listen      string        `required:"" help:"Address to serve on, IP:port." placeholder:"IP:PORT"`
	Name        string        `required:"" help:"Name of the back end."`
	Service     string        `required:"" help:"Service the back end belongs to."`
	Zone        string        `required:"" help:"Zone the back end runs in."`
	Slots       int           `default:"20" help:"Requests run at once; beyond them the back end sheds."`
	ColdStart   time.Duration `default:"0s" help:"Time after the start during which work takes longer."`
	Work        time.Duration `default:"1ms" help:"Time a request occupies its slot."`
	AnswerBytes int           `default:"128" help:"Length of an answer, in bytes."`
	Ledger      int           `default:"131072" help:"Requests the ledger holds."`
}

// Run serves until the context ends, then lets requests finish.
func (c *Command) Run(ctx context.Context, logger *zap.Logger) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return trace.Wrap(err, "listen on %s", c.Listen)
	}
	standin := backend.New(c.options())
	logger.Info("back end serving", zap.String("name", c.Name), zap.String("service", c.Service),
		zap.String("zone", c.Zone), zap.Stringer("address", listener.Addr()))
	served := make(chan error, 1)
	go func() { served <- standin.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	stopContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return standin.Stop(stopContext)
}

func (c *Command) options() backend.Options {
	return backend.Options{
		Name: c.Name, Service: c.Service, Zone: c.Zone,
		Slots: c.Slots, ColdStart: c.ColdStart,
		Behaviour: backend.Behaviour{Work: resource.Duration(c.Work), AnswerBytes: c.AnswerBytes},
		Ledger:    backend.NewLedger(c.Ledger),
	}
}
