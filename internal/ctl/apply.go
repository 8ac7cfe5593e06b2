package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/client"
	"github.com/kestrelstream/kestrelstream/internal/command"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// changeFlags are shared by the commands that change resources.
type changeFlags struct {
	OperationID string        `placeholder:"ID" help:"Operation id; the same id has one outcome for ever. Made when absent."`
	DryRun      bool          `help:"Have the batch decided without writing it."`
	RetryFor    time.Duration `default:"15s" help:"How long to ask again, with the same operation id, while the batch is undecided."`
	Wait        bool          `help:"Wait until the accepted version is in force everywhere."`
	waitFlags
	outputFlags
}

// applyCommand creates or updates resources.
type applyCommand struct {
	Files []string `name:"filename" short:"f" required:"" sep:"none" placeholder:"PATH" help:"File, folder, or - for standard input. May be repeated."`
	changeFlags
}

// Run reads the files and applies them as one batch.
func (c *applyCommand) Run(ctx context.Context, with *environment) error {
	read, err := readSources(c.Files, with.Input)
	if err != nil {
		return err
	}
	changes := make([]resource.Change, 0, len(read.resources))
	for _, declared := range read.resources {
		changes = append(changes, resource.Change{Action: resource.ActionPut, Resource: declared})
	}
	return c.run(ctx, with, changes, read.origin)
}

// deleteCommand deletes resources.
type deleteCommand struct {
	Resources       []string `arg:"" optional:"" placeholder:"KIND/NAME" help:"Resources as KIND/NAME, or KIND followed by names."`
	Files           []string `name:"filename" short:"f" sep:"none" placeholder:"PATH" help:"Delete what a file or folder declares."`
	ResourceVersion uint64   `placeholder:"VERSION" help:"Delete only when the one resource is at this version."`
	changeFlags
}

// Run deletes the resources as one batch.
func (c *deleteCommand) Run(ctx context.Context, with *environment) error {
	keys, err := c.keys(with.Input)
	if err != nil {
		return err
	}
	changes := make([]resource.Change, 0, len(keys))
	for _, key := range keys {
		change := resource.Change{Action: resource.ActionDelete, Key: key}
		if c.ResourceVersion != 0 {
			change.IfVersion = &c.ResourceVersion
		}
		changes = append(changes, change)
	}
	return c.run(ctx, with, changes, nil)
}

func (c *deleteCommand) keys(input io.Reader) ([]resource.Key, error) {
	keys, err := parseKeys(c.Resources)
	if err != nil {
		return nil, err
	}
	if len(c.Files) > 0 {
		read, err := readSources(c.Files, input)
		if err != nil {
			return nil, err
		}
		for _, declared := range read.resources {
			keys = append(keys, declared.Key())
		}
	}
	if len(keys) == 0 {
		return nil, &UsageError{Reason: "name the resources to delete"}
	}
	if c.ResourceVersion != 0 && len(keys) > 1 {
		return nil, &UsageError{Reason: "--resource-version goes with exactly one resource"}
	}
	return keys, nil
}

// run has the changes decided, prints the outcome and waits when asked to.
// Origin names where the change at an index came from; nil when it has no file.
func (f *changeFlags) run(ctx context.Context, with *environment, changes []resource.Change, origin func(int) string) error {
	repeated := f.OperationID != ""
	if !repeated {
		f.OperationID = uuid.NewString()
	}
	outcome, cause := with.client.Apply(ctx, client.Change{
		OperationID: f.OperationID,
		Repeated:    repeated,
		Changes:     changes,
		DryRun:      f.DryRun,
		Patience:    f.RetryFor,
	})
	if f.Output != formatTable {
		if err := f.print(with.Output, outcome, nil); err != nil {
			return err
		}
	}
	if outcome.Result != command.Accepted {
		printFailure(with.Errors, outcome, cause, origin)
		return &outcomeError{outcome: outcome}
	}
	progressOutput := with.Errors
	if f.Output == formatTable {
		printAccepted(with.Output, outcome, changes)
		progressOutput = with.Output
	}
	if !f.Wait || f.DryRun {
		return nil
	}
	_, err := f.waitFor(ctx, with, progressOutput, outcome.Version)
	return err
}

func printAccepted(output io.Writer, outcome v1.Outcome, changes []resource.Change) {
	for _, change := range changes {
		fmt.Fprintf(output, "%s %s\n", change.Target(), pastTense(change.Action))
	}
	switch {
	case outcome.DryRun:
		fmt.Fprintf(output, "dry run: would be accepted, nothing was written\n")
	case outcome.Repeated:
		fmt.Fprintf(output, "accepted at version %d, as answered before (operation %s)\n", outcome.Version, outcome.OperationID)
	default:
		fmt.Fprintf(output, "accepted at version %d (operation %s)\n", outcome.Version, outcome.OperationID)
	}
}

func pastTense(action resource.Action) string {
	if action == resource.ActionDelete {
		return "deleted"
	}
	return "applied"
}

// printFailure says what was not accepted and why.
func printFailure(output io.Writer, outcome v1.Outcome, cause error, origin func(int) string) {
	fmt.Fprintf(output, "%s (operation %s)\n", heading(outcome), outcome.OperationID)
	if outcome.Reason != "" {
		fmt.Fprintf(output, "  %s\n", outcome.Reason)
	}
	for _, field := range outcome.Fields {
		if origin != nil {
			fmt.Fprintf(output, "  %s: ", origin(field.Index))
		} else {
			fmt.Fprint(output, "  ")
		}
		fmt.Fprintln(output, field.Error())
	}
	for _, conflict := range outcome.Conflicts {
		fmt.Fprintf(output, "  %s: expected version %d, it is at version %d\n", conflict.Key, conflict.Want, conflict.Have)
	}
	if cause != nil {
		fmt.Fprintf(output, "  cause: %v\n", cause)
	}
}

func heading(outcome v1.Outcome) string {
	switch outcome.Result {
	case command.Conflict:
		return "conflict: nothing was applied"
	case command.Unknown:
		return "unknown outcome: run the same command with --operation-id " + outcome.OperationID
	default:
		return "rejected: nothing was applied"
	}
}
