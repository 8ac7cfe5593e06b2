// Package rollout decides how the requests of a service move to back ends of another
// software version: how many go there for a trial (a canary), whether what they show
// condemns the version, when all others follow, and when the move is over. The package is pure:
// it sees orders, evidence and the time, and does no I/O.
package rollout

import (
	"cmp"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Order asks that the requests of a service move to back ends of a version.
type Order struct {
	Service string
	// Version is the one that requests are to move to.
	Version string
	// Revision is that of the store; of two orders for a service the higher one holds.
	Revision uint64
	// Duration is the time in which the move is to be done.
	Duration time.Duration
}

// Phase is how far a move has come. Phases only follow on each other in the order in
// which they are declared.
type Phase int

// The phases of a move.
const (
	// Trial: a part of the requests goes to the version.
	Trial Phase = iota
	// Promoting: all requests go there; what others work on is to end.
	Promoting
	// Condemned: the version was judged bad and gets no requests; the store may not
	// know yet.
	Condemned
	// Completed: the store says that the move is done. Final.
	Completed
	// RolledBack: the store says that the move was taken back. Final.
	RolledBack
)

// phaseNames are for logs and metrics.
var phaseNames = [...]string{"trial", "promoting", "condemned", "completed", "rolled back"}

// String names the phase.
func (p Phase) String() string {
	if p < Trial || p > RolledBack {
		return "unknown"
	}
	return phaseNames[p]
}

// Final reports whether nothing follows on the phase.
func (p Phase) Final() bool { return p >= Completed }

// State is what a node knows of an order that is carried out. It is a value.
type State struct {
	Order
	Phase Phase
	// Recorded: the store is known to have the phase.
	Recorded bool
	// Deadline is when the move is to be over, by the node's own clock.
	Deadline time.Time
	// Cause says why the version was condemned or taken back; empty otherwise.
	Cause string
}

// NewState returns the move of an order that was heard at that moment.
func NewState(order Order, now time.Time) State {
	return State{Order: order, Deadline: now.Add(order.Duration)}
}

// Merge returns what is known after another node's account of the service's move, and
// whether that is news. The later order holds; of one order the later phase, and the
// earlier deadline, since whoever heard late counts from then.
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

// ReissuedBy reports whether the other move is of the same order, which operators have written again
// since the store came back from an older copy. Within one era the same words are another order.
func (s State) ReissuedBy(other State) bool {
	return store.EraOf(other.Revision) > store.EraOf(s.Revision) &&
		other.Service == s.Service && other.Version == s.Version && other.Duration == s.Duration
}

// adopted returns the move under the revision of its order that was written again. What was decided
// stays decided, whatever the store has lost; of two ends the one that this node knows stays.
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

// WireState is a move as one node tells it to another. Clocks differ, so that what is left
// of the time is told and not when it ends.
type WireState struct {
	Service    string `json:"service"`
	Version    string `json:"version"`
	Revision   uint64 `json:"revision"`
	DurationMS int64  `json:"durationMs"`
	LeftMS     int64  `json:"leftMs"`
	Phase      Phase  `json:"phase"`
	Recorded   bool   `json:"recorded,omitempty"`
	Cause      string `json:"cause,omitempty"`
}

// Tell returns the move as it is told at that moment.
func (s State) Tell(now time.Time) WireState {
	return WireState{
		Service: s.Service, Version: s.Version, Revision: s.Revision, DurationMS: s.Duration.Milliseconds(),
		LeftMS: s.Deadline.Sub(now).Milliseconds(), Phase: s.Phase, Recorded: s.Recorded, Cause: s.Cause,
	}
}

// longestMS bounds the times that a peer may tell, in milliseconds.
const maxDurationMS = int64(24 * time.Hour / time.Millisecond)

// Hear returns the move that was told, and whether it is one.
func (w WireState) Hear(now time.Time) (State, bool) {
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
