// Package rollout decides how the requests of a service are shifted to back ends of another
// software version: how many go there in a trial (a canary), whether the evidence condemns the
// version, when it is promoted to all requests, and when the rollout ends. The package is pure:
// orders, evidence and the time are inputs, and it does no I/O.
package rollout

import (
	"cmp"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Order requests the rollout of a version of a service.
type Order struct {
	Service string
	// Version is the version to roll out.
	Version string
	// Revision is the store revision of the order. Of two orders for a service the one with the
	// higher revision applies.
	Revision uint64
	// Duration is the time within which the rollout must end.
	Duration time.Duration
}

// Phase is the progress of a rollout. Phases follow each other only in the order of
// declaration.
type Phase int

// The phases of a rollout.
const (
	// Trial: a fraction of the requests goes to the version.
	Trial Phase = iota
	// Promoting: all requests go to the version; requests in progress elsewhere may still
	// finish.
	Promoting
	// Condemned: the version was found bad and gets no requests. The store may not have
	// recorded it yet.
	Condemned
	// Completed: the store has recorded that the rollout succeeded. Final.
	Completed
	// RolledBack: the store has recorded that the rollout was rolled back. Final.
	RolledBack
)

// phaseNames are the names for logs and metrics.
var phaseNames = [...]string{"trial", "promoting", "condemned", "completed", "rolled back"}

// String returns the name of the phase.
func (p Phase) String() string {
	if p < Trial || p > RolledBack {
		return "unknown"
	}
	return phaseNames[p]
}

// Final reports whether the phase is the last of a rollout.
func (p Phase) Final() bool { return p >= Completed }

// State is a node's view of one rollout. It is a value.
type State struct {
	Order
	Phase Phase
	// Recorded means that the store is known to have recorded the phase.
	Recorded bool
	// Deadline is the end of the rollout by the local clock.
	Deadline time.Time
	// Cause is the reason why the version was condemned or rolled back; empty otherwise.
	Cause string
}

// NewState returns the initial state for an order received at the given time.
func NewState(order Order, now time.Time) State {
	return State{Order: order, Deadline: now.Add(order.Duration)}
}

// Merge returns the state merged with that of another node, and whether the result is new. The
// order with the higher revision applies. For the same order the later phase wins, and the
// earlier deadline: a node computes the deadline from the time at which it received the order.
func (s State) Merge(other State) (merged State, changed bool) {
	switch order := cmp.Compare(other.Revision, s.Revision); {
	case order > 0 && s.ReissuedBy(other):
		return s.withReissuedOrder(other), true
	case order > 0:
		return other, true
	case order < 0:
		return s, false
	}
	if other.Deadline.Before(s.Deadline) {
		s.Deadline = other.Deadline
	}
	if other.Phase == s.Phase {
		s.Recorded = s.Recorded || other.Recorded
	}
	if other.Phase <= s.Phase || s.Phase.Final() {
		return s, false
	}
	s.Phase, s.Cause, s.Recorded = other.Phase, other.Cause, other.Recorded
	return s, true
}

// ReissuedBy reports whether the other state is for the same order, written again by an
// operator after the store was restored from an older copy. Within one era an identical order
// is a new one.
func (s State) ReissuedBy(other State) bool {
	return store.EraOf(other.Revision) > store.EraOf(s.Revision) &&
		other.Service == s.Service && other.Version == s.Version && other.Duration == s.Duration
}

// withReissuedOrder returns the state with the revision of the reissued order. A decision is
// kept although the store may have lost it. Of two final phases the local one is kept.
func (s State) withReissuedOrder(other State) State {
	s.Revision = other.Revision
	if other.Deadline.Before(s.Deadline) {
		s.Deadline = other.Deadline
	}
	s.Recorded = false
	if other.Phase > s.Phase && !s.Phase.Final() {
		s.Phase, s.Cause, s.Recorded = other.Phase, other.Cause, other.Recorded
	}
	return s
}

// SharedState is the form in which nodes exchange a State. It carries the remaining time in place
// of the deadline, since clocks differ between nodes.
type SharedState struct {
	Service    string `json:"service"`
	Version    string `json:"version"`
	Revision   uint64 `json:"revision"`
	DurationMS int64  `json:"durationMs"`
	LeftMS     int64  `json:"leftMs"`
	Phase      Phase  `json:"phase"`
	Recorded   bool   `json:"recorded,omitempty"`
	Cause      string `json:"cause,omitempty"`
}

// Export returns the state as sent to peers at the given time.
func (s State) Export(now time.Time) SharedState {
	return SharedState{
		Service: s.Service, Version: s.Version, Revision: s.Revision, DurationMS: s.Duration.Milliseconds(),
		LeftMS: s.Deadline.Sub(now).Milliseconds(), Phase: s.Phase, Recorded: s.Recorded, Cause: s.Cause,
	}
}

// maxDurationMS bounds the times accepted from a peer, in milliseconds.
const maxDurationMS = int64(24 * time.Hour / time.Millisecond)

// Import returns the state received from a peer at the given time, and whether it is valid.
func (w SharedState) Import(now time.Time) (State, bool) {
	if w.Service == "" || w.Version == "" || w.Revision == 0 || w.Phase < Trial || w.Phase > RolledBack ||
		w.DurationMS <= 0 || w.DurationMS > maxDurationMS || w.LeftMS > w.DurationMS || w.LeftMS < -maxDurationMS {
		return State{}, false
	}
	return State{
		Order: Order{
			Service: w.Service, Version: w.Version, Revision: w.Revision,
			Duration: time.Duration(w.DurationMS) * time.Millisecond,
		},
		Phase: w.Phase, Recorded: w.Recorded, Deadline: now.Add(time.Duration(w.LeftMS) * time.Millisecond), Cause: w.Cause,
	}, true
}
