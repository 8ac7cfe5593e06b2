package rollout

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/evenly"
)

// Plan says, for a short time, how the requests of one service are divided. It is
// immutable but for its place in the sequence of requests.
type Plan struct {
	// Version is the one that a move concerns; empty while there is none and versions are
	// held all the same.
	Version         string
	Phase           Phase
	TrialAssignment TrialAssignment
	// HeldVersions are versions besides that get no requests.
	HeldVersions []string
	// OnlyVersion: no back end of another version is there, so that the version is in use.
	OnlyVersion bool
	// PromotedAt is since when all requests go to the version, zero while they do not.
	PromotedAt time.Time
	splitter   *Splitter
}

// Splitter divides the requests of one service and outlives its plans.
type Splitter struct {
	sequence *evenly.Sequence
	// asked counts the requests that were divided.
	requests atomic.Int64
}

// Requests returns how many requests were divided.
func (s *Splitter) Requests() int64 { return s.requests.Load() }

// NewSplitter returns a split.
func NewSplitter() *Splitter { return &Splitter{sequence: evenly.NewSequence()} }

// NewPlan returns a plan that goes on with a split.
func NewPlan(state State, assignment TrialAssignment, heldVersions []string, onlyVersion bool, splitter *Splitter) *Plan {
	return &Plan{Version: state.Version, Phase: state.Phase, TrialAssignment: assignment, HeldVersions: heldVersions, OnlyVersion: onlyVersion, splitter: splitter}
}

// Promoted reports whether all requests go to the version.
func (p *Plan) Promoted() bool {
	return p.Version != "" && (p.Phase == Promoting || p.Phase == Completed || (p.Phase == Trial && p.OnlyVersion))
}

// ComparesVersions reports whether answers are compared by version.
func (p *Plan) ComparesVersions() bool {
	return p.Version != "" && (p.Phase == Trial || p.Phase == Promoting)
}

// Select returns who may take a request. One that was sent before is not for a trial.
func (p *Plan) Select(retry bool) Selection {
	if !retry {
		p.splitter.requests.Add(1)
	}
	switch {
	case p.Promoted():
		return Only(p.Version)
	case !retry && len(p.TrialAssignment.BackEnds) > 0:
		if position := p.splitter.sequence.NextFraction(); position < p.TrialAssignment.Share {
			index := int(position / p.TrialAssignment.Share * float64(len(p.TrialAssignment.BackEnds)))
			return Node(p.TrialAssignment.BackEnds[min(index, len(p.TrialAssignment.BackEnds)-1)], p.Version)
		}
	}
	return p.otherVersions()
}

// others are the back ends that the move leaves alone.
func (p *Plan) otherVersions() Selection {
	return Without(append(slices.Clone(p.HeldVersions), p.Version)...)
}

// Fallback returns who takes a request when none of those selected is there. While a
// version is on trial, or was judged bad, its back ends do not stand in for others: right
// after a restart a node may know of no other ones for a moment.
func (p *Plan) Fallback() Selection {
	if p.Promoted() {
		return All()
	}
	return p.otherVersions()
}
