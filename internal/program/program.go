// Package program runs a daemon's program: its command line, its settings, its
// stop signals.
package program

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/kestrelstream/kestrelstream/internal/lifecycle"
	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// Flags is a command line from which settings of type S are loaded. Load returns
// settings.ErrDone when the command line only asked for something to be printed.
type Flags[S any] interface {
	Load(output io.Writer) (*S, error)
}

// Runner serves until its context ends.
type Runner interface {
	Run(ctx context.Context) error
}

// Start makes a runner of checked settings. When forced ends, an orderly stop is
// cut short.
type Start[S any, R Runner] func(loaded S, forced context.Context) (R, error)

// Main parses the command line into flags and runs what start makes of the
// settings until the process is asked to stop. On an error it ends the process.
func Main[S any, R Runner](name, description string, flags Flags[S], start Start[S, R]) {
	parsed := kong.Parse(flags, kong.Name(name), kong.Description(description))
	parsed.FatalIfErrorf(run(os.Stdout, flags, start))
}

func run[S any, R Runner](output io.Writer, flags Flags[S], start Start[S, R]) error {
	loaded, err := flags.Load(output)
	if errors.Is(err, settings.ErrDone) {
		return nil
	}
	if err != nil {
		return err
	}
	stop, release := lifecycle.Notify()
	defer release()
	runner, err := start(*loaded, stop.Forced)
	if err != nil {
		return err
	}
	return runner.Run(stop.Requested)
}
