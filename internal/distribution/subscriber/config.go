package subscriber

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Config holds the intervals of the child's side of a stream.
type Config struct {
	// Silence is how long a parent may send nothing before the child moves
	// on; a little over two heartbeats.
	Silence time.Duration
	// ConnectTimeout bounds one connection attempt up to the first message.
	ConnectTimeout time.Duration
	// CandidateCooldown is how long a candidate that stayed silent is passed over.
	CandidateCooldown time.Duration
	// BackoffBase and BackoffCap bound the full-jitter wait between rounds
	// of attempts.
	BackoffBase time.Duration
	BackoffCap  time.Duration
	// AckWindow is the longest wait of an acknowledgement of new content;
	// the wait is drawn, so that the children of a relay do not report
	// together.
	AckWindow time.Duration
	// LazyAckWindow is the same for a version that left the child's content
	// as it was.
	LazyAckWindow time.Duration
	// KeepAlive is the longest time between two reports.
	KeepAlive time.Duration
	// ApplyRetryDelay is the time between attempts to apply content that was
	// refused.
	ApplyRetryDelay time.Duration
	// StaleParentTimeout is how long a parent may be detached from the readers, or
	// behind what its zone has in force, before the child tries another.
	StaleParentTimeout time.Duration
	// FailbackInterval is the mean time after which a child attached to another
	// than its preferred parent tries that one again; zero never does.
	FailbackInterval time.Duration
	// MaximumHops is the distance to a reader beyond which a parent is taken
	// to be part of a loop.
	MaximumHops int
}

// DefaultConfig returns the values chosen in docs/design/0004.
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

// Parent is a candidate to attach to.
type Parent struct {
	Node    string
	Address string
}

// Connect asks the shell to open a stream. An attempt still under way or a
// stream still open is closed first.
type Connect struct {
	Parent Parent
	Hello  distribution.Hello
}

// Outputs is what the shell has to do after an input, in order of the fields.
type Outputs struct {
	// Disconnect closes the stream or attempt.
	Disconnect bool
	Connect    *Connect
	// Apply is a whole, checked snapshot to put in force; Applied or
	// ApplyFailed must follow.
	Apply *projection.Snapshot
	// Checkpoint and Entries are for a control child's own relay, which
	// takes them in; Applied must follow with its version.
	Checkpoint *distribution.Checkpoint
	Entries    []resource.Entry
	// Endpoints are states learnt from the parent, Heard those that it has from a
	// peer.
	Endpoints, Heard []endpoint.Update
	// Zones, Readers and Source are for a control child's own relay.
	Zones   []distribution.ZoneStatus
	Readers []distribution.Reader
	Source  *distribution.Source
	// AttachedTo names the parent when a stream has just been accepted; a
	// control child then calls its relay's ParentAttached and hands over
	// the report. Lost names the parent when an accepted stream ended.
	AttachedTo string
	LostParent string
	// Report is to be sent to the parent.
	Report *distribution.Report
}
