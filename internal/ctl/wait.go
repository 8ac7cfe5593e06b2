package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
)

// waitFlags bound a wait.
type waitFlags struct {
	Timeout  time.Duration `default:"60s" help:"Longest time to wait for a version to be in force."`
	Interval time.Duration `default:"200ms" help:"Time between two looks at a version."`
}

// waitCommand waits for a version.
type waitCommand struct {
	At uint64 `name:"version" required:"" placeholder:"VERSION" help:"The version to wait for."`
	waitFlags
	outputFlags
}

// Run waits until the version is in force everywhere.
func (c *waitCommand) Run(ctx context.Context, with *environment) error {
	if c.Output == formatTable {
		_, err := c.waitFor(ctx, with, with.Output, c.At)
		return err
	}
	last, err := c.waitFor(ctx, with, with.Errors, c.At)
	if printError := c.print(with.Output, last, nil); printError != nil {
		return printError
	}
	return err
}

// waitFor looks at a version until it is in force everywhere, prints each zone's
// progress to output and returns what it saw last. A look that fails is tried again until time is up; the first
// look is taken whole however short the time.
func (f *waitFlags) waitFor(ctx context.Context, with *environment, output io.Writer, version uint64) (v1.VersionStatus, error) {
	bounded, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	looks := time.NewTicker(f.Interval)
	defer looks.Stop()
	shown := &progress{output: output, lines: map[string]string{}}
	for look := ctx; ; look = bounded {
		status, err := with.client.Version(look, version)
		if err == nil {
			shown.show(status)
		}
		if err == nil && status.InForce {
			fmt.Fprintf(output, "version %d is in force everywhere\n", version)
			return status, nil
		}
		select {
		case <-looks.C:
		case <-bounded.Done():
			if errors.Is(err, context.DeadlineExceeded) { // the look was cut by the end of the wait
				err = nil
			}
			return shown.last, shown.late(ctx, with.Errors, version, err)
		}
	}
}

// progress prints a zone's line each time it changes.
type progress struct {
	output io.Writer
	lines  map[string]string
	last   v1.VersionStatus
}

func (p *progress) show(status v1.VersionStatus) {
	p.last = status
	for _, zone := range status.Zones {
		line := fmt.Sprintf("zone %s: %s, lowest version %d, in force: %s",
			zone.Zone, countOf(zone.Proxies, "proxy", "proxies"), zone.Lowest, yesOrNo(zone.InForce))
		if p.lines[zone.Zone] != line {
			p.lines[zone.Zone] = line
			fmt.Fprintln(p.output, line)
		}
	}
}

// late reports where the version is not in force and why.
func (p *progress) late(ctx context.Context, output io.Writer, version uint64, lookError error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	for _, zone := range p.last.Zones {
		for _, laggard := range zone.Laggards {
			fmt.Fprintf(output, "zone %s: %s\n", zone.Zone, laggardText(laggard))
		}
	}
	if lookError != nil {
		fmt.Fprintf(output, "last look: %v\n", lookError)
	}
	return &NotConvergedError{Version: version}
}
