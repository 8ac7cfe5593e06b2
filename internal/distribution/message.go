// Package distribution defines the messages of the distribution tree. They carry
// configuration and endpoint state from store readers through zone relays to
// proxies, and acknowledgements back. A stream is one long-lived HTTP/1.1 response
// with one JSON message per line; children send reports to their parent as small
// requests.
package distribution

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// ChildKind is the kind of a child, which determines what it receives.
type ChildKind string

// The kinds of children.
const (
	// ChildProxy receives the projection of its entitlement class.
	ChildProxy ChildKind = "proxy"
	// ChildControl is a control daemon and receives log entries.
	ChildControl ChildKind = "control"
)

// Node identifies one run of a process.
type Node struct {
	Name string `json:"name"`
	// Incarnation is the start time of the process in Unix milliseconds. A
	// restarted process has a higher one than its predecessor.
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Region      string `json:"region,omitempty"`
}

// Hello is the request that opens a stream. Version and Digest identify the
// configuration that the child holds; version zero means that it holds none.
type Hello struct {
	Node        Node                   `json:"node"`
	Kind        ChildKind              `json:"kind"`
	Entitlement projection.Entitlement `json:"entitlement,omitzero"`
	Version     uint64                 `json:"version"`
	Digest      string                 `json:"digest,omitempty"`
	// Endpoints are the endpoints for which the child is the authority, or for
	// a control child those for which its own children are.
	Endpoints []endpoint.Update `json:"endpoints,omitempty"`
	// Readers are set by a child that is a store reader: all slots that it
	// knows to be held, including its own, so that the other readers find it.
	Readers []Reader `json:"readers,omitempty"`
	// CertificateExpires is set by the parent from the child's certificate and
	// is not transmitted. It is zero without mutual TLS.
	CertificateExpires time.Time `json:"-"`
}

// Expiry is the expiry time of a node's certificate.
type Expiry struct {
	Node string    `json:"node"`
	Time time.Time `json:"time"`
}

// Earlier returns the earlier of two expiries, where nil means that none is known.
func (e *Expiry) Earlier(other *Expiry) *Expiry {
	if e == nil || (other != nil && other.Time.Before(e.Time)) {
		return other
	}
	return e
}

// Same reports whether two expiries are equal or both nil.
func (e *Expiry) Same(other *Expiry) bool {
	if e == nil || other == nil {
		return e == other
	}
	return e.Node == other.Node && e.Time.Equal(other.Time)
}

// Reader is a control daemon that holds one of the store reader slots.
type Reader struct {
	Slot int `json:"slot"`
	// Node is the name of the holder, or empty once it has released the slot.
	Node    string `json:"node"`
	Address string `json:"address"`
	Region  string `json:"region,omitempty"`
	// Revision is the store revision of the slot. Of two records of one slot,
	// the one with the higher revision wins.
	Revision uint64 `json:"revision"`
}

// Source describes a parent's path to the store, which determines how up to date
// the parent can be. It is sent with the first message of a stream and whenever it
// changes.
type Source struct {
	// Hops is the number of hops from the parent to a store reader; zero at a
	// reader.
	Hops int `json:"hops"`
	// Detached says that the parent has no live path to a reader.
	Detached bool `json:"detached,omitempty"`
	// Floor is a version that is in force in the zone although the parent has
	// not reached it yet; zero if there is none.
	Floor uint64 `json:"floor,omitempty"`
}

// Checkpoint is the complete configuration at one version.
type Checkpoint struct {
	Version   uint64               `json:"version"`
	Resources []*resource.Resource `json:"resources"`
}

// Message is one line of a stream. At most one of Snapshot, Delta, Checkpoint and
// Entries is set; the other fields are set as needed. A message with a version
// alone says that the child's content is unchanged at that version. An empty
// message is a heartbeat.
type Message struct {
	// Version is the version of the configuration that the parent holds.
	Version    uint64               `json:"version,omitempty"`
	Snapshot   *projection.Snapshot `json:"snapshot,omitempty"`
	Delta      *projection.Delta    `json:"delta,omitempty"`
	Checkpoint *Checkpoint          `json:"checkpoint,omitempty"`
	Entries    []resource.Entry     `json:"entries,omitempty"`
	Endpoints  []endpoint.Update    `json:"endpoints,omitempty"`
	// Heard are endpoint states that a reader forwards to one peer after
	// receiving them from another. They carry new states, but do not show that
	// the sender has a path to the authority of the endpoint.
	Heard []endpoint.Update `json:"heard,omitempty"`
	// Source describes the parent's path to the store.
	Source *Source `json:"source,omitempty"`
	// Readers are the slots known to be held. Only control children receive
	// them.
	Readers []Reader `json:"readers,omitempty"`
	// Zones are the summaries that changed. Only control children receive them.
	// A summary without proxies removes the previous one of the same zone and
	// relay.
	Zones []ZoneStatus `json:"zones,omitempty"`
	// Goodbye asks the child to switch to another parent immediately.
	Goodbye bool `json:"goodbye,omitempty"`
}

// ApplyFailure reports the step at which a child failed to apply a version, and
// why.
type ApplyFailure struct {
	Version uint64 `json:"version"`
	Step    string `json:"step"`
	Reason  string `json:"reason"`
}

// Report is sent by a child to its parent.
type Report struct {
	Node Node `json:"node"`
	// Applied is the version in force at the child.
	Applied   uint64            `json:"applied"`
	Failure   *ApplyFailure     `json:"failure,omitempty"`
	Endpoints []endpoint.Update `json:"endpoints,omitempty"`
	// Zones are the summaries of the children of a relay or reader.
	Zones []ZoneStatus `json:"zones,omitempty"`
}

// ZoneStatus is one relay's summary of the proxies of a zone.
type ZoneStatus struct {
	Zone string `json:"zone"`
	// Relay is the name of the relay that made the summary.
	Relay string `json:"relay"`
	// Stamp orders the summaries of one relay. It is the time in Unix
	// milliseconds, increased if needed to keep it monotonic.
	Stamp   uint64 `json:"stamp"`
	Proxies int    `json:"proxies"`
	// Lowest is the lowest version in force at any of the proxies.
	Lowest uint64 `json:"lowest"`
	// Highest is the highest version in force at any of the proxies.
	Highest  uint64    `json:"highest,omitempty"`
	Laggards []Laggard `json:"laggards,omitempty"`
	// FirstExpiry is the earliest expiry among the certificates of the proxies.
	FirstExpiry *Expiry `json:"firstExpiry,omitempty"`
}

// Laggard is a proxy that has not applied the relay's version.
type Laggard struct {
	Node    string        `json:"node"`
	Applied uint64        `json:"applied"`
	Failure *ApplyFailure `json:"failure,omitempty"`
	// Silent is the time since anything was received from the proxy.
	Silent time.Duration `json:"silent,omitempty"`
}
