package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/client"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Waits before a watch that ended is opened again; each is drawn from zero up
// to the present bound, which doubles.
const (
	firstWatchBackoff = 100 * time.Millisecond
	lastWatchBackoff  = 5 * time.Second
)

// watchCommand shows changes as they are accepted.
type watchCommand struct {
	Kind  string  `arg:"" optional:"" help:"Only resources of this kind."`
	After *uint64 `placeholder:"VERSION" help:"Begin after this version; the newest when absent."`
	Until uint64  `placeholder:"VERSION" help:"End once everything up to this version was shown."`
	outputFlags
}

// errShown ends a watch that has shown all that was asked for.
var errShown = errors.New("all shown")

// Run shows changes until interrupted, through restarts of the server.
func (c *watchCommand) Run(ctx context.Context, with *environment) error {
	var kind resource.Kind
	if c.Kind != "" {
		parsed, err := parseKind(c.Kind)
		if err != nil {
			return err
		}
		kind = parsed
	}
	after, err := c.start(ctx, with)
	if err != nil {
		return err
	}
	shown := &shownChanges{command: c, output: with.Output, version: after}
	backoff := firstWatchBackoff
	for {
		before := shown.version
		shown.skip = shown.beyond
		err := with.client.Watch(ctx, shown.version, kind, shown.show)
		if errors.Is(err, errShown) || ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, client.ErrResync) {
			err = shown.resync(ctx, with)
		}
		if refused(err) {
			return err
		}
		if shown.version > before {
			backoff = firstWatchBackoff
		}
		fmt.Fprintf(with.Errors, "watch ended, resuming after version %d: %v\n", shown.version, err)
		pause(ctx, rand.N(backoff))
		backoff = min(2*backoff, lastWatchBackoff)
	}
}

// start returns the version after which to begin.
func (c *watchCommand) start(ctx context.Context, with *environment) (uint64, error) {
	if c.After != nil {
		return *c.After, nil
	}
	status, err := with.client.Status(ctx)
	return status.Version, err
}

// refused reports an answer that the server will give again.
func refused(err error) bool {
	var problem *client.ProblemError
	return errors.As(err, &problem) && problem.Problem.Status < 500
}

// shownChanges prints events and remembers how far they reach: everything up to
// version, and some events after it.
type shownChanges struct {
	command *watchCommand
	output  io.Writer
	version uint64
	beyond  int
	// skip is how many events of a resumed watch were shown before.
	skip int
}

func (s *shownChanges) show(event v1.Event) error {
	if event.Type != v1.EventBookmark {
		if s.skip > 0 {
			s.skip--
			return nil
		}
		s.beyond++
		return s.print(event)
	}
	s.version = max(s.version, event.Version)
	s.beyond = 0
	s.skip = 0
	if s.command.Until != 0 && s.version >= s.command.Until {
		return errShown
	}
	return nil
}

func (s *shownChanges) print(event v1.Event) error {
	switch s.command.Output {
	case formatJSON:
		return json.NewEncoder(s.output).Encode(event)
	case formatYAML:
		return printDocuments(s.output, []v1.Event{event})
	default:
		_, err := fmt.Fprintf(s.output, "%d  %-6s  %s\n", event.Version, event.Type, event.Key)
		return err
	}
}

// resync says that changes were missed and goes on from the present version.
func (s *shownChanges) resync(ctx context.Context, with *environment) error {
	status, err := with.client.Status(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(with.Errors, "changes between version %d and %d are no longer held; list to see their result\n", s.version, status.Version)
	s.version = max(s.version, status.Version)
	s.beyond = 0
	return client.ErrResync
}

// pause waits for the duration or the end of the context.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
