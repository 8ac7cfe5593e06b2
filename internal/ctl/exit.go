package ctl

import (
	"errors"
	"fmt"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/command"
)

// Exit codes of kestrelctl; docs/operators/kestrelctl.md explains them.
const (
	ExitSuccess      = 0
	ExitFailure      = 1
	ExitUsage        = 2
	ExitRejected     = 3
	ExitConflict     = 4
	ExitUnknown      = 5
	ExitNotConverged = 6
	ExitDifferent    = 7
)

// UsageError means that the command line or a file named on it is wrong;
// nothing was sent.
type UsageError struct {
	Reason string
}

// Error gives the reason.
func (e *UsageError) Error() string { return e.Reason }

// outcomeError stands for a change that was not accepted. It has been printed.
type outcomeError struct {
	outcome v1.Outcome
}

// Error names the result.
func (e *outcomeError) Error() string {
	return "the change was not accepted: " + string(e.outcome.Result)
}

// NotConvergedError means that a version was not in force everywhere in time.
type NotConvergedError struct {
	Version uint64
}

// Error names the version.
func (e *NotConvergedError) Error() string {
	return fmt.Sprintf("version %d is not in force everywhere in time", e.Version)
}

// exitCode returns the code that stands for an error.
func exitCode(err error) int {
	var usage *UsageError
	var undone *outcomeError
	var late *NotConvergedError
	var different *DifferentError
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &late):
		return ExitNotConverged
	case errors.As(err, &different):
		return ExitDifferent
	case errors.As(err, &undone):
		return outcomeCode(undone.outcome)
	default:
		return ExitFailure
	}
}

func outcomeCode(outcome v1.Outcome) int {
	switch outcome.Result {
	case command.Accepted:
		return ExitSuccess
	case command.Conflict:
		return ExitConflict
	case command.Unknown:
		return ExitUnknown
	default:
		return ExitRejected
	}
}
