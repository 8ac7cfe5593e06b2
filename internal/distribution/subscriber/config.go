package subscriber

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Config holds the timeouts, intervals and limits of the child's side of a
// stream.
type Config struct {
	// Silence is the longest time without a message after which the child
	// switches to another parent. It is a little over two heartbeats.
	Silence time.Duration
	// ConnectTimeout limits a connection attempt, up to the first message.
	ConnectTimeout time.Duration
	// CandidateCooldown is how long a candidate that timed out is skipped.
	CandidateCooldown time.Duration
	// BackoffBase and BackoffCap are the initial and the largest upper bound
	// of the exponential backoff with full jitter between connection
	// attempts.
	BackoffBase time.Duration
	BackoffCap  time.Duration
	// AckWindow is the longest delay before new content is acknowledged. The
	// delay is random, so that the children of a relay do not all report at
	// the same time.
	AckWindow time.Duration
	// LazyAckWindow is the longest delay, added to AckWindow, before a version
	// that did not change the child's content is acknowledged.
	LazyAckWindow time.Duration
	// KeepAlive is the longest interval between two reports.
	KeepAlive time.Duration
	// ApplyRetryDelay is the delay before content that could not be applied is
	// offered again.
	ApplyRetryDelay time.Duration
	// StaleParentTimeout is how long the child stays with a parent that is
	// detached from the readers, or behind the version in force in its zone,
	// before it tries another. A random time of up to the same length is
	// added. The timeout doubles once if the next parent is stale as well.
	StaleParentTimeout time.Duration
	// FailbackInterval is the mean time after which a child attached to a less
	// preferred parent tries the preferred one again. Zero disables this.
	FailbackInterval time.Duration
	// MaximumHops is the largest plausible distance to a reader. A parent that
	// reports more is assumed to be part of a loop.
	MaximumHops int
}

// DefaultConfig returns the default values, which docs/design/0004 explains.
func DefaultConfig() Config {
	return Config{
		Silence:            1800 * time.Millisecond,
		ConnectTimeout:     400 * time.Millisecond,
		CandidateCooldown:  3 * time.Second,
		BackoffBase:        50 * time.Millisecond,
		BackoffCap:         time.Second,
		AckWindow:          100 * time.Millisecond,
		LazyAckWindow:      2 * time.Second,
		KeepAlive:          20 * time.Second,
		ApplyRetryDelay:    time.Second,
		StaleParentTimeout: time.Second,
		FailbackInterval:   time.Minute,
		MaximumHops:        6,
	}
}

// Parent identifies a candidate parent and the address at which it accepts
// streams.
type Parent struct {
	Node    string
	Address string
}

// Connect asks the caller to open a stream. The caller first closes any
// connection attempt or stream that is still open.
type Connect struct {
	Parent Parent
	Hello  distribution.Hello
}

// Outputs lists the actions that the caller must perform after an input, in
// the order of the fields.
type Outputs struct {
	// Disconnect closes the stream or cancels the connection attempt.
	Disconnect bool
	Connect    *Connect
	// Apply is a complete, validated snapshot to apply. The caller must then
	// call Applied or ApplyFailed.
	Apply *projection.Snapshot
	// Checkpoint and Entries are passed to the relay of a control child. The
	// caller must then call Applied with the relay's version.
	Checkpoint *distribution.Checkpoint
	Entries    []resource.Entry
	// Endpoints are endpoint states received from the parent. Heard are those
	// that the parent, a reader, received from one of its peers.
	Endpoints, Heard []endpoint.Update
	// Zones, Readers and Source are passed to the relay of a control child.
	Zones   []distribution.ZoneStatus
	Readers []distribution.Reader
	Source  *distribution.Source
	// AttachedTo names the parent when it has just accepted a stream. A control
	// child then calls its relay's ParentAttached and forwards the report that
	// it returns. LostParent names the parent when an accepted stream has
	// ended.
	AttachedTo string
	LostParent string
	// Report is sent to the parent.
	Report *distribution.Report
}
