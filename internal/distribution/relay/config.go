package relay

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Config holds the limits and intervals of a relay.
type Config struct {
	// BatchWindow is how long a store reader collects accepted changes before
	// it sends them to its children. Zero sends each change immediately.
	BatchWindow time.Duration
	// Heartbeat is the interval between messages on an idle stream.
	Heartbeat time.Duration
	// SessionSilence is how long a child may go without reporting before its
	// session is closed.
	SessionSilence time.Duration
	// SendTimeout is the maximum time to write one message.
	SendTimeout time.Duration
	// ProxySuspicionTimeout is how long after the loss of a proxy's session its
	// endpoints are declared down, unless they are reported through another
	// path.
	ProxySuspicionTimeout time.Duration
	// RelaySuspicionTimeout is the same delay for endpoints reported by a
	// control child.
	RelaySuspicionTimeout time.Duration
	// StatusWindow is how long zone summaries are collected before they are
	// sent to the parent.
	StatusWindow time.Duration
	// StatusInterval is the minimum time between two messages with summaries to
	// one control child. Summaries of the child's own zone that raise its floor
	// are sent without waiting for it.
	StatusInterval time.Duration
	// MaximumSnapshots bounds the number of snapshots and checkpoints being
	// written at the same time.
	MaximumSnapshots int
	// RetryAfter is the base delay that a refused child is told to wait. The
	// delay grows with the number of children refused within the same interval.
	RetryAfter time.Duration
	// ClaimTimeout is how long a single child's claim to hold a version above
	// the relay's own is accepted without a claim by another child.
	ClaimTimeout time.Duration
	// HistoryLength is how many entries, and how many snapshots per class, are
	// kept for sending deltas.
	HistoryLength int
	// LaggardDelay is how long after a new version a child that has not
	// reported it is listed as a laggard. It must exceed the delay of the
	// children's lazy acknowledgements.
	LaggardDelay time.Duration
	// MaximumLaggards bounds the laggards listed in a summary.
	MaximumLaggards int
	// AlwaysSnapshot sends full snapshots instead of deltas. It exists to
	// measure the savings from deltas.
	AlwaysSnapshot bool
	// Project computes a class's snapshot. Nil selects projection.Project.
	Project func(*resource.State, projection.Entitlement) *projection.Snapshot
}

// DefaultConfig returns the default values, which are explained in
// docs/design/0004.
func DefaultConfig() Config {
	return Config{
		Heartbeat:             750 * time.Millisecond,
		SessionSilence:        50 * time.Second,
		SendTimeout:           10 * time.Second,
		ProxySuspicionTimeout: 3 * time.Second,
		RelaySuspicionTimeout: 8 * time.Second,
		StatusWindow:          500 * time.Millisecond,
		StatusInterval:        1250 * time.Millisecond,
		MaximumSnapshots:      16,
		RetryAfter:            100 * time.Millisecond,
		ClaimTimeout:          10 * time.Second,
		HistoryLength:         64,
		LaggardDelay:          5 * time.Second,
		MaximumLaggards:       5,
	}
}

// SessionID identifies one stream to one child. The caller that performs the
// I/O assigns it and never reuses it.
type SessionID uint64

// Send asks the caller to write a message. Messages with equal pointers have
// equal encodings, so the caller may encode a message once for all sessions.
// The session gets no further message until Sent is called.
type Send struct {
	Session SessionID
	Message *distribution.Message
}

// Reason states why an attach was refused.
type Reason string

// Reasons for a refusal.
const (
	// ReasonNotReady means that the relay holds no configuration yet.
	ReasonNotReady Reason = "relay holds no configuration yet"
	// ReasonBehind means that the child holds, or its zone has in force, a
	// version that the relay has not reached.
	ReasonBehind Reason = "relay is behind the child or its zone"
	// ReasonBusy means that too many snapshots are being written.
	ReasonBusy Reason = "too many snapshots in progress"
	// ReasonStaleIncarnation means that a later incarnation of the same node is
	// attached.
	ReasonStaleIncarnation Reason = "a later incarnation of the node is attached"
	// ReasonLoop means that the child is this daemon's own parent.
	ReasonLoop Reason = "the child is this daemon's own parent"
)

// Refusal is the answer to an attach that cannot be served now.
type Refusal struct {
	Session    SessionID
	Reason     Reason
	RetryAfter time.Duration
}

// Outputs lists the actions that the caller has to perform after an input, in
// the order of the fields.
type Outputs struct {
	Sends    []Send
	Refusals []Refusal
	// Closes lists the sessions whose streams must be closed.
	Closes []SessionID
	// Report must be passed to the subscriber, which sends it to the parent.
	Report *distribution.Report
}
