// Package roster holds what a sidecar knows about the nodes of the mesh: one record per node,
// merged by version regardless of how it arrived. The package does no I/O, and readers see an
// immutable view that is replaced as a whole.
package roster

import (
	"cmp"
	"slices"
)

// State is the state that a back end reports.
type State string

const (
	Ready    State = "ready"
	Draining State = "draining"
	// Gone means that the back end has ended. It is final for the incarnation.
	Gone State = "gone"
)

// Endpoint is the back end of a node.
type Endpoint struct {
	ID string `json:"id"`
	// Born is the start time, as in Incarnation.
	Born    int64  `json:"born,omitempty"`
	Service string `json:"service"`
	// Version is the version of the back end's software, empty if unknown.
	Version  string `json:"version,omitempty"`
	Slots    int    `json:"slots"`
	State    State  `json:"state"`
	Sequence uint64 `json:"sequence"`
}

// Record is the state that a node publishes about itself. Only the node itself creates versions of
// its record; all others forward them unchanged.
type Record struct {
	Node string `json:"node"`
	// Epoch increases with each start of the node's process, Counter with each change within an
	// epoch.
	Epoch   uint64 `json:"epoch"`
	Counter uint64 `json:"counter"`
	// RunID is drawn at random at each start. It distinguishes records of two runs that reached the
	// same epoch and counter because neither knew of the other.
	RunID uint64 `json:"life,omitempty"`
	// Address accepts requests of other nodes, PeerAddress record exchanges.
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	Zone        string `json:"zone"`
	// Link is the speed of the node's link in Mbit/s, zero if unknown.
	Link int `json:"link,omitempty"`
	// Leaving means that the node's process has begun a planned shutdown.
	Leaving bool `json:"leaving,omitempty"`
	// Endpoint is nil until a back end has announced itself.
	Endpoint *Endpoint `json:"endpoint,omitempty"`
	// LastAssessment is the node's assessment of its back end while a version of the software is
	// being rolled out, nil otherwise. It may be of an earlier incarnation; see Assessment.
	LastAssessment *Assessment `json:"judged,omitempty"`
	// Evidence is the node's knowledge of requests that crash back ends, nil if it has none.
	Evidence *Evidence `json:"evidence,omitempty"`
	// Ended lists the most recent incarnations that have ended, newest last.
	Ended []string `json:"ended,omitempty"`
}

// Assessment rates the health of a back end from all of its responses.
type Assessment struct {
	// ID is the back end's incarnation.
	ID string `json:"id"`
	// Answers is the number of responses seen.
	Answers int `json:"answers"`
	// Faulty means that the back end fails or is slow more often than others.
	Faulty bool `json:"faulty,omitempty"`
	// LogOdds is the log-odds, from recent responses, that the back end is faulty. Negative values
	// favor the back end.
	LogOdds float64 `json:"lean"`
}

// Assessment returns the node's assessment of its current back end, nil if there is none.
func (r *Record) Assessment() *Assessment {
	if r.LastAssessment == nil || r.Endpoint == nil || r.LastAssessment.ID != r.Endpoint.Incarnation().String() {
		return nil
	}
	return r.LastAssessment
}

// Newer reports whether the record replaces the other one.
func (r *Record) Newer(other *Record) bool {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Counter, other.Counter), cmp.Compare(r.RunID, other.RunID)) > 0
}

// conflicts reports whether the other record has the same epoch and counter but comes from another
// run.
func (r *Record) conflicts(other *Record) bool {
	return r.Epoch == other.Epoch && r.Counter == other.Counter && r.RunID != other.RunID
}

// SameNode reports whether both records describe the same node.
func (r *Record) SameNode(other *Record) bool { return r.Node == other.Node }

// isInitial reports whether the record contains nothing but the location of its node.
func (r *Record) isInitial() bool {
	return r.Epoch == 1 && r.Counter == 1 && r.Endpoint == nil && r.Evidence == nil && r.LastAssessment == nil && !r.Leaving
}

// continuedBy reports whether a new run with the given initial record can go on with this record of
// a previous run, because nothing about the node itself has changed.
func (r *Record) continuedBy(initial *Record) bool {
	return !r.Leaving && r.LastAssessment == nil && !r.Gone() && r.Zone == initial.Zone && r.Link == initial.Link &&
		r.Address == initial.Address && r.PeerAddress == initial.PeerAddress
}

// BackendAbsent reports whether the node has no back end: none has announced itself yet, or it has
// ended.
func (r *Record) BackendAbsent() bool { return r.Endpoint == nil || r.Endpoint.State == Gone }

// Gone reports whether the node's back end has ended. The node then shuts down as well.
func (r *Record) Gone() bool { return r.Endpoint != nil && r.Endpoint.State == Gone }

// Stopping reports whether the node is shutting down or its back end is draining or has ended.
func (r *Record) Stopping() bool {
	return r.Leaving || (r.Endpoint != nil && r.Endpoint.State != Ready)
}

// AcceptsWork reports whether new requests may be sent to the node's back end.
func (r *Record) AcceptsWork() bool {
	return !r.Leaving && r.Endpoint != nil && r.Endpoint.State == Ready
}

// maxEnded bounds the ended incarnations in a record. Late heartbeats come from one of the last
// few.
const maxEnded = 16

// HasEnded reports whether the incarnation is known to have ended.
func (r *Record) HasEnded(incarnation Incarnation) bool {
	return slices.Contains(r.Ended, incarnation.String())
}

// MarkEnded returns the record after an incarnation has ended. An end without a start time applies
// to the current incarnation of that id. The end of a later start implies that earlier starts have
// ended too.
func (r Record) MarkEnded(ended Incarnation) (next Record, changed bool) {
	current := r.Endpoint
	same := current != nil && current.ID == ended.ID
	if same && ended.Born == 0 {
		ended.Born = current.Born
	}
	if r.HasEnded(ended) {
		return r, false
	}
	r.Ended = appendEnded(r.Ended, ended.String())
	if same && !ended.before(current.Incarnation()) {
		gone := *current
		gone.State = Gone
		r.Endpoint = &gone
	}
	return r, true
}

// MarkDraining returns the record after a response of the incarnation has announced that it is
// draining.
func (r Record) MarkDraining(incarnation Incarnation) (next Record, changed bool) {
	current := r.Endpoint
	if current == nil || current.Incarnation() != incarnation || current.State != Ready {
		return r, false
	}
	r.Endpoint = current.asDraining()
	return r, true
}

// WithoutEndpoint returns the record without the incarnation, which has turned out not to be the
// node's back end. An incarnation that has ended stays.
func (r Record) WithoutEndpoint(incarnation Incarnation) (next Record, changed bool) {
	if r.BackendAbsent() || r.Endpoint.Incarnation() != incarnation {
		return r, false
	}
	r.Endpoint = nil
	return r, true
}

// asDraining returns a copy of the endpoint in the state Draining.
func (e *Endpoint) asDraining() *Endpoint {
	draining := *e
	draining.State = Draining
	return &draining
}

func appendEnded(ended []string, incarnation string) []string {
	kept := append(slices.Clone(ended), incarnation)
	return kept[max(0, len(kept)-maxEnded):]
}
