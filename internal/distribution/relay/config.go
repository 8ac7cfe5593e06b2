package relay

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Config holds the limits and intervals of a relay.
type Config struct {
	// BatchWindow is how long a store reader combines accepted changes
	// before it passes them on; zero passes each on at once.
	BatchWindow time.Duration
	// Heartbeat is the interval of messages on an idle stream.
	Heartbeat time.Duration
	// SessionSilence is how long a child may report nothing before its
	// session is closed.
	SessionSilence time.Duration
	// SendTimeout is how long one message may take to be written.
	SendTimeout time.Duration
	// SuspectProxy is how long after the loss of a proxy's session its
	// endpoints are declared down, unless they are heard of elsewhere.
	SuspectProxy time.Duration
	// SuspectRelay is the same for endpoints reported by a control child.
	SuspectRelay time.Duration
	// StatusWindow combines zone summaries on their way up.
	StatusWindow time.Duration
	// StatusInterval is the least time between two messages of summaries to
	// one control child. Those of the child's own zone that raise its floor
	// do not wait for it.
	StatusInterval time.Duration
	// MaximumSnapshots bounds the snapshots and checkpoints being written.
	MaximumSnapshots int
	// RetryAfter is the base of what a refused child is told to wait; the
	// wait grows with the number refused in the same interval.
	RetryAfter time.Duration
	// ClaimPatience is how long one child's claim to hold a version above
	// the relay's own counts without another's support.
	ClaimPatience time.Duration
	// HistoryLength is how many entries and, per class, snapshots are kept
	// to answer with deltas.
	HistoryLength int
	// LaggardAfter is how long after a version came a child that has not
	// reported it is named a laggard; longer than the children's lazy
	// acknowledgements take.
	LaggardAfter time.Duration
	// MaximumLaggards bounds the laggards named in a summary.
	MaximumLaggards int
	// AlwaysSnapshot sends full snapshots in place of deltas; it exists to
	// measure what deltas save.
	AlwaysSnapshot bool
	// Project computes a class's snapshot; nil means projection.Project.
	Project func(*resource.State, projection.Entitlement) *projection.Snapshot
}

// DefaultConfig returns the values chosen in docs/design/0004.
func DefaultConfig() Config {
	return Config{
		Heartbeat:        750 * time.Millisecond,
		SessionSilence:   50 * time.Second,
		SendTimeout:      10 * time.Second,
		SuspectProxy:     3 * time.Second,
		SuspectRelay:     8 * time.Second,
		StatusWindow:     500 * time.Millisecond,
		StatusInterval:   1250 * time.Millisecond,
		MaximumSnapshots: 16,
		RetryAfter:       100 * time.Millisecond,
		ClaimPatience:    10 * time.Second,
		HistoryLength:    64,
		LaggardAfter:     5 * time.Second,
		MaximumLaggards:  5,
	}
}

// SessionID identifies one stream to one child; the shell chooses it and never
// uses one twice.
type SessionID uint64

// Send asks the shell to write a message. Equal pointers are equal bytes, so
// the shell may encode a message once for all sessions. The session gets no
// further message before Sent.
type Send struct {
	Session SessionID
	Message *distribution.Message
}

// Reason says why an attach was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonNotReady: the relay holds no configuration yet.
	ReasonNotReady Reason = "relay holds no configuration yet"
	// ReasonBehind: the child holds, or its zone has in force, a version
	// that the relay has not reached.
	ReasonBehind Reason = "relay is behind the child or its zone"
	// ReasonBusy: too many snapshots are being written.
	ReasonBusy Reason = "too many snapshots in progress"
	// ReasonStaleIncarnation: a later start of the same node is attached.
	ReasonStaleIncarnation Reason = "a later incarnation of the node is attached"
	// ReasonLoop: the child is this daemon's own parent.
	ReasonLoop Reason = "the child is this daemon's own parent"
)

// Refusal answers an attach that cannot be served now.
type Refusal struct {
	Session    SessionID
	Reason     Reason
	RetryAfter time.Duration
}

// Outputs is what the shell has to do after an input, in order of the fields.
type Outputs struct {
	Sends    []Send
	Refusals []Refusal
	// Closes lists sessions whose stream is to be closed.
	Closes []SessionID
	// Report is to be handed to the subscriber toward the parent.
	Report *distribution.Report
}
