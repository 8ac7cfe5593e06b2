// Package ctl holds the commands of kestrelctl, the operators' client of the
// resource API.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/kestrelstream/kestrelstream/internal/build"
	"github.com/kestrelstream/kestrelstream/internal/client"
	"github.com/kestrelstream/kestrelstream/internal/ctl/keys"
)

// Streams are what a command reads and writes.
type Streams struct {
	Input  io.Reader
	Output io.Writer
	Errors io.Writer
}

// commandLine is every flag and command.
type commandLine struct {
	connectionFlags

	Apply   applyCommand   `cmd:"" help:"Create or update resources from files, as one batch."`
	Get     getCommand     `cmd:"" help:"Show resources."`
	Delete  deleteCommand  `cmd:"" help:"Delete resources, as one batch."`
	Diff    diffCommand    `cmd:"" help:"Show what applying files would change."`
	Watch   watchCommand   `cmd:"" help:"Show changes as they are accepted."`
	Wait    waitCommand    `cmd:"" help:"Wait until a version is in force everywhere."`
	Status  statusCommand  `cmd:"" help:"Show what each zone has in force."`
	History historyCommand `cmd:"" help:"Show who changed what, and when."`
	Explain explainCommand `cmd:"" help:"Describe a kind and its fields."`
	Request requestCommand `cmd:"" help:"Tell the story of one request from log lines."`
	Keys    keys.Command   `cmd:"" help:"Make certificates and sealing identities."`
	Version versionCommand `cmd:"" help:"Print the version of kestrelctl."`
}

// environment is what every command runs with.
type environment struct {
	Streams
	client *client.Client
}

// Run parses arguments, runs the command and returns the exit code.
func Run(ctx context.Context, arguments []string, streams Streams) int {
	commands := &commandLine{}
	exited := false
	parser, err := kong.New(commands,
		kong.Name("kestrelctl"),
		kong.Description("Client of the kestrelstream resource API."),
		kong.Writers(streams.Output, streams.Errors),
		kong.Exit(func(int) { exited = true }),
	)
	if err != nil {
		return report(streams, err)
	}
	parsed, err := parser.Parse(arguments)
	if exited { // --help prints and ends
		return ExitSuccess
	}
	if err != nil {
		return report(streams, &UsageError{Reason: err.Error()})
	}
	with := &environment{Streams: streams}
	if needsServer(parsed.Command()) {
		if with.client, err = commands.connect(); err != nil {
			return report(streams, err)
		}
		defer with.client.Close()
	}
	return report(streams, runParsed(ctx, parsed, with))
}

// versionCommand prints which build this is.
type versionCommand struct{}

// Run prints the version; no server is asked.
func (versionCommand) Run(with *environment) error {
	_, err := fmt.Fprintln(with.Output, build.Read())
	return err
}

// needsServer reports whether a command asks a server.
func needsServer(command string) bool {
	name, _, _ := strings.Cut(command, " ")
	return name != "version" && name != "explain" && name != "keys" && name != "request"
}

func runParsed(ctx context.Context, parsed *kong.Context, with *environment) error {
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.BindTo(with.Output, (*io.Writer)(nil))
	return parsed.Run(with)
}

// report prints an error and returns the exit code that stands for it.
func report(streams Streams, err error) int {
	var shown *outcomeError
	if err != nil && !errors.As(err, &shown) {
		fmt.Fprintln(streams.Errors, "kestrelctl: "+err.Error())
	}
	return exitCode(err)
}
