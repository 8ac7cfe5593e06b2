package rollout

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/evenly"
)

// Plan determines how the requests of one service are divided between versions. Plans are
// replaced often. A Plan is immutable except for its position in the sequence of requests.
type Plan struct {
	// Version is the version being rolled out; empty if there is no rollout and only
	// WithheldVersions apply.
	Version         string
	Phase           Phase
	TrialAssignment TrialAssignment
	// WithheldVersions are other versions that get no requests.
	WithheldVersions []string
	// OnlyVersion means that no other version has back ends, so that this one must be used.
	OnlyVersion bool
	// PromotedAt is the time since which all requests go to the version; zero before.
	PromotedAt time.Time
	splitter   *Splitter
}

// Splitter divides the requests of one service. It outlives the plans of the service.
type Splitter struct {
	sequence *evenly.Sequence
	// requests counts the requests that were divided.
	requests atomic.Int64
}

// Requests returns the number of requests divided so far.
func (s *Splitter) Requests() int64 { return s.requests.Load() }

// NewSplitter returns a Splitter at the start of its sequence.
func NewSplitter() *Splitter { return &Splitter{sequence: evenly.NewSequence()} }

// NewPlan returns a plan that continues the sequence of the given splitter.
func NewPlan(state State, assignment TrialAssignment, withheldVersions []string, onlyVersion bool, splitter *Splitter) *Plan {
	return &Plan{Version: state.Version, Phase: state.Phase, TrialAssignment: assignment, WithheldVersions: withheldVersions, OnlyVersion: onlyVersion, splitter: splitter}
}

// Promoted reports whether all requests go to the version.
func (p *Plan) Promoted() bool {
	return p.Version != "" && (p.Phase == Promoting || p.Phase == Completed || (p.Phase == Trial && p.OnlyVersion))
}

// ComparesVersions reports whether the answers of versions are compared.
func (p *Plan) ComparesVersions() bool {
	return p.Version != "" && (p.Phase == Trial || p.Phase == Promoting)
}

// Select returns the back ends that may take a request. Retries are not used for the trial.
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

// otherVersions selects the back ends that are neither of the version on trial nor withheld.
func (p *Plan) otherVersions() Selection {
	return Without(append(slices.Clone(p.WithheldVersions), p.Version)...)
}

// Fallback returns the back ends that may take a request if none of those selected is
// available. The back ends of a version on trial, or of a condemned one, are never a fallback:
// right after a restart a node may not know of others yet.
func (p *Plan) Fallback() Selection {
	if p.Promoted() {
		return All()
	}
	return p.otherVersions()
}
