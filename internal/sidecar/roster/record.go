// Package roster holds what a sidecar knows of the others: one record per node,
// merged by version from whatever way it came. The package is pure apart from
// the published view, which is replaced whole.
package roster

import (
	"cmp"
	"slices"
)

// State is what a back end says of itself.
type State string

// The states of a back end.
const (
	Ready    State = "ready"
	Draining State = "draining"
	// Gone: the back end has said that it ends. Final for its id.
	Gone State = "gone"
)

// Endpoint is the back end beside a node.
type Endpoint struct {
	ID string `json:"id"`
	// Born is as in Incarnation.
	Born    int64  `json:"born,omitempty"`
	Service string `json:"service"`
	// Version is that of the back end's software; empty when it is not known.
	Version  string `json:"version,omitempty"`
	Slots    int    `json:"slots"`
	State    State  `json:"state"`
	Sequence uint64 `json:"sequence"`
}

// Record is what one node says of itself. Only the node itself makes records
// of it; everyone else passes them on unchanged.
type Record struct {
	Node string `json:"node"`
	// Epoch rises with each start of the node's process, Counter with each
	// change within it.
	Epoch   uint64 `json:"epoch"`
	Counter uint64 `json:"counter"`
	// RunID is drawn at random at each start. It tells apart records of two lives
	// that have come to the same epoch and counter, since neither knew of the other.
	RunID uint64 `json:"life,omitempty"`
	// Address takes requests of other nodes, PeerAddress exchanges.
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	Zone        string `json:"zone"`
	// Link is the speed of the node's link in Mbit/s; zero when it is not known.
	Link int `json:"link,omitempty"`
	// Leaving: the node's process has begun its planned stop.
	Leaving bool `json:"leaving,omitempty"`
	// Endpoint is nil until a back end has made itself known.
	Endpoint *Endpoint `json:"endpoint,omitempty"`
	// LastAssessment is what the node thinks of its back end while a version of its software is on
	// trial; nil otherwise.
	LastAssessment *Assessment `json:"judged,omitempty"`
	// Evidence is what the node knows of requests that end back ends; nil when it knows of
	// none.
	Evidence *Evidence `json:"evidence,omitempty"`
	// Ended names the last incarnations that are final, the newest last.
	Ended []string `json:"ended,omitempty"`
}

// Assessment is what a node that sees all answers of its back end thinks of them.
type Assessment struct {
	// ID names the back end's incarnation.
	ID string `json:"id"`
	// Answers is how many were seen.
	Answers int `json:"answers"`
	// Faulty: it fails or is slow more often than others.
	Faulty bool `json:"faulty,omitempty"`
	// Lean is how far its answers of late speak against it, below zero for it, as the
	// logarithm of odds.
	Lean float64 `json:"lean"`
}

// Assessment returns what the node thinks of the present back end, nil when it thinks
// nothing.
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

// conflicts reports whether the other record, of another life, bears the same version
// otherwise.
func (r *Record) conflicts(other *Record) bool {
	return r.Epoch == other.Epoch && r.Counter == other.Counter && r.RunID != other.RunID
}

// SameNode reports whether the other record is of the same node.
func (r *Record) SameNode(other *Record) bool { return r.Node == other.Node }

// isInitial reports whether the record says nothing but where its node is.
func (r *Record) isInitial() bool {
	return r.Epoch == 1 && r.Counter == 1 && r.Endpoint == nil && r.Evidence == nil && r.LastAssessment == nil && !r.Leaving
}

// continuedBy reports whether the record, of an earlier life, says what the fresh record of a new
// one would.
func (r *Record) continuedBy(initial *Record) bool {
	return !r.Leaving && r.LastAssessment == nil && !r.Gone() && r.Zone == initial.Zone && r.Link == initial.Link &&
		r.Address == initial.Address && r.PeerAddress == initial.PeerAddress
}

// BackendAbsent reports whether the node's back end has ended for good.
func (r *Record) BackendAbsent() bool { return r.Endpoint == nil || r.Endpoint.State == Gone }

// Gone reports whether the node's back end has ended: the node ends too.
func (r *Record) Gone() bool { return r.Endpoint != nil && r.Endpoint.State == Gone }

// Stopping reports whether the node or its back end has said that it takes no work any more.
func (r *Record) Stopping() bool {
	return r.Leaving || (r.Endpoint != nil && r.Endpoint.State != Ready)
}

// AcceptsWork reports whether new requests may go to the node's back end.
func (r *Record) AcceptsWork() bool {
	return !r.Leaving && r.Endpoint != nil && r.Endpoint.State == Ready
}

// maxEnded is how many final incarnations a record carries. A late heartbeat
// concerns one of the last few.
const maxEnded = 16

// HasEnded reports whether the incarnation is final.
func (r *Record) HasEnded(incarnation Incarnation) bool {
	return slices.Contains(r.Ended, incarnation.String())
}

// MarkEnded returns the record after a back end has said that it ends. Without its start the word
// is taken for that of the present one. The word of a later start says that those before have
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

// MarkDraining returns the record after the back end has said with an answer that it is leaving.
func (r Record) MarkDraining(incarnation Incarnation) (next Record, changed bool) {
	current := r.Endpoint
	if current == nil || current.Incarnation() != incarnation || current.State != Ready {
		return r, false
	}
	r.Endpoint = current.asDraining()
	return r, true
}

// asDraining returns the back end as one that leaves.
func (e *Endpoint) asDraining() *Endpoint {
	draining := *e
	draining.State = Draining
	return &draining
}

func appendEnded(ended []string, incarnation string) []string {
	kept := append(slices.Clone(ended), incarnation)
	return kept[max(0, len(kept)-maxEnded):]
}
