package command

import (
	"context"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Log is the append-only version log.
type Log interface {
	// Append creates the entry at entry.Version. The error is
	// store.ErrConflict when that version was ever taken, also when it was
	// trimmed since; store.ErrUnavailable, store.ErrRateLimited or
	// store.ErrTooLarge when the entry was not written; and any other when it
	// may have been, such as store.ErrUnknownOutcome.
	Append(ctx context.Context, entry resource.Entry) error
	// ReadAfter returns the entries that follow a version, without a gap, at
	// most limit. The error is store.ErrCompacted when the next one was
	// trimmed.
	ReadAfter(ctx context.Context, after uint64, limit int) ([]resource.Entry, error)
}

// StateSource gives the newest state this node knows.
type StateSource interface {
	State() *resource.State
}

// Tail gives entries that this node holds, which spares the store a read.
type Tail interface {
	// EntriesAfter returns the entries above a version, in order; false means
	// that some of them are no longer held.
	EntriesAfter(version uint64) ([]resource.Entry, bool)
}

// Config sets the bounds of a Service. Zero fields take the defaults.
type Config struct {
	// Tail, when set, is asked for other nodes' operations before the log is.
	Tail Tail
	// Machine names this node in the history.
	Machine string
	// CommitTimeout bounds the commit of one group.
	CommitTimeout time.Duration
	// MaximumPending bounds the batches that wait for a commit.
	MaximumPending int
	// MaximumGroupBytes bounds the encoded changes combined into one entry.
	MaximumGroupBytes int
	// Attempts bounds the appends tried for one group.
	Attempts int
	// Backoff bounds the first pause after a refused or unanswered append;
	// the bound doubles up to BackoffLimit.
	Backoff time.Duration
	// BackoffLimit bounds every pause.
	BackoffLimit time.Duration
}

// Defaults of Config.
const (
	DefaultCommitTimeout     = 5 * time.Second
	DefaultMaximumPending    = 256
	DefaultMaximumGroupBytes = 512 << 10
	DefaultAttempts          = 12
	DefaultBackoff           = 20 * time.Millisecond
	DefaultBackoffLimit      = time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.CommitTimeout, DefaultCommitTimeout)
	setDefault(&c.MaximumPending, DefaultMaximumPending)
	setDefault(&c.MaximumGroupBytes, DefaultMaximumGroupBytes)
	setDefault(&c.Attempts, DefaultAttempts)
	setDefault(&c.Backoff, DefaultBackoff)
	setDefault(&c.BackoffLimit, DefaultBackoffLimit)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
