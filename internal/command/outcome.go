// Package command is the write side: it admits batches of changes on the
// newest configuration and commits them by appending one entry to the log.
// Concurrent batches at one node are combined into one entry. Every batch gets
// one typed outcome, and the same operation id always gets the same one.
package command

import (
	"errors"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Result says what became of a batch.
type Result string

// The results of a batch.
const (
	// Accepted: the batch is in the log and will be in force everywhere.
	Accepted Result = "accepted"
	// Rejected: the batch was not applied.
	Rejected Result = "rejected"
	// Conflict: the batch was not applied since a resource's version moved.
	Conflict Result = "conflict"
	// Unknown: the batch may or may not be in the log. Asking again with the
	// same operation id settles it.
	Unknown Result = "unknown"
)

// Outcome is the answer to one batch.
type Outcome struct {
	Result Result `json:"result"`
	// Version is the log version of an accepted batch; for a dry run, the
	// version it would have had.
	Version     uint64 `json:"version,omitempty"`
	OperationID string `json:"operationId"`
	DryRun      bool   `json:"dryRun,omitempty"`
	// Repeated says that the operation id was answered before and that this
	// is the first outcome again.
	Repeated  bool                       `json:"repeated,omitempty"`
	Fields    []resource.FieldError      `json:"fields,omitempty"`
	Conflicts []resource.VersionConflict `json:"conflicts,omitempty"`
	// Reason explains a rejection that lies not in the batch, or an unknown
	// outcome.
	Reason string `json:"reason,omitempty"`
	// RetryAfter, when positive, is when asking again with the same operation
	// id is worth while.
	RetryAfter time.Duration `json:"-"`
}

// fromError turns an admission error into an outcome.
func fromError(operationID string, err error) Outcome {
	var rejected *resource.RejectionError
	var conflict *resource.ConflictError
	switch {
	case errors.As(err, &rejected):
		return Outcome{Result: Rejected, OperationID: operationID, Fields: rejected.Fields}
	case errors.As(err, &conflict):
		return Outcome{Result: Conflict, OperationID: operationID, Conflicts: conflict.Conflicts}
	default:
		return Outcome{Result: Rejected, OperationID: operationID, Reason: err.Error()}
	}
}
