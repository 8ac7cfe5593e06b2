// Package distribution defines the messages that carry configuration and
// endpoint state from store readers through zone relays to proxies, and
// acknowledgements back up. A stream is one long-lived HTTP/1.1 response of
// JSON messages, one a line; reports travel up as small requests.
package distribution

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// ChildKind says what a child of a stream wants to receive.
type ChildKind string

// The kinds of children.
const (
	// ChildProxy receives the projection of its entitlement class.
	ChildProxy ChildKind = "proxy"
	// ChildControl is another control daemon and receives log entries.
	ChildControl ChildKind = "control"
)

// Node identifies one start of one process.
type Node struct {
	Name string `json:"name"`
	// Incarnation is the start of the process in Unix milliseconds; a
	// returning process has a higher one than its predecessor.
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Region      string `json:"region,omitempty"`
}

// Hello opens a stream. Version and Digest are what the child holds; version
// zero means nothing.
type Hello struct {
	Node        Node                   `json:"node"`
	Kind        ChildKind              `json:"kind"`
	Entitlement projection.Entitlement `json:"entitlement,omitzero"`
	Version     uint64                 `json:"version"`
	Digest      string                 `json:"digest,omitempty"`
	// Endpoints are the child's own endpoints, or for a control child the
	// ones its children are the authorities of.
	Endpoints []endpoint.Update `json:"endpoints,omitempty"`
	// Readers are the slots that a child which is a reader itself knows to
	// be held, its own included, so that its peers find it.
	Readers []Reader `json:"readers,omitempty"`
	// CertificateExpires is set by the parent from the child's certificate;
	// it does not travel. Zero without mutual TLS.
	CertificateExpires time.Time `json:"-"`
}

// Expiry says when a node's certificate expires.
type Expiry struct {
	Node string    `json:"node"`
	Time time.Time `json:"time"`
}

// Earlier returns the expiry that comes first; nil means none is known.
func (e *Expiry) Earlier(other *Expiry) *Expiry {
	if e == nil || (other != nil && other.Time.Before(e.Time)) {
		return other
	}
	return e
}

// Same reports whether two expiries are equal.
func (e *Expiry) Same(other *Expiry) bool {
	if e == nil || other == nil {
		return e == other
	}
	return e.Node == other.Node && e.Time.Equal(other.Time)
}

// Reader is a control daemon that holds one of the store reader slots.
type Reader struct {
	Slot int `json:"slot"`
	// Node is empty once the holder gave the slot up.
	Node    string `json:"node"`
	Address string `json:"address"`
	Region  string `json:"region,omitempty"`
	// Revision is the store revision of the slot; of two views of one slot
	// the higher wins.
	Revision uint64 `json:"revision"`
}

// Source says how fresh a parent may be. It travels on the first message of a
// stream and whenever it changes.
type Source struct {
	// Hops is the distance to a store reader; zero at a reader.
	Hops int `json:"hops"`
	// Detached: the parent has no live path to a reader.
	Detached bool `json:"detached,omitempty"`
	// Floor, when set, is a version in force in the zone that the parent
	// itself has not reached yet.
	Floor uint64 `json:"floor,omitempty"`
}

// Checkpoint is the whole configuration at one version.
type Checkpoint struct {
	Version   uint64               `json:"version"`
	Resources []*resource.Resource `json:"resources"`
}

// Message is one line of a stream. Exactly one of the pointers or lists that
// its purpose needs is set; Version alone means that the child's content is
// unchanged at that version. An empty message is a heartbeat.
type Message struct {
	// Version is the configuration version the parent is at.
	Version    uint64               `json:"version,omitempty"`
	Snapshot   *projection.Snapshot `json:"snapshot,omitempty"`
	Delta      *projection.Delta    `json:"delta,omitempty"`
	Checkpoint *Checkpoint          `json:"checkpoint,omitempty"`
	Entries    []resource.Entry     `json:"entries,omitempty"`
	Endpoints  []endpoint.Update    `json:"endpoints,omitempty"`
	// Heard are endpoint states that a reader passes on to a peer and has from
	// another peer itself: news, but no sign that the sender hears of them.
	Heard []endpoint.Update `json:"heard,omitempty"`
	// Source describes the parent, on the first message and on change.
	Source *Source `json:"source,omitempty"`
	// Readers are the slots known to be held; control children only.
	Readers []Reader `json:"readers,omitempty"`
	// Zones are summaries that changed; control children only. A summary
	// without proxies removes the earlier one.
	Zones []ZoneStatus `json:"zones,omitempty"`
	// Goodbye asks the child to move to another parent at once.
	Goodbye bool `json:"goodbye,omitempty"`
}

// ApplyFailure says why a child refused a version.
type ApplyFailure struct {
	Version uint64 `json:"version"`
	Step    string `json:"step"`
	Reason  string `json:"reason"`
}

// Report travels from a child to its parent.
type Report struct {
	Node Node `json:"node"`
	// Applied is the version in force at the child.
	Applied   uint64            `json:"applied"`
	Failure   *ApplyFailure     `json:"failure,omitempty"`
	Endpoints []endpoint.Update `json:"endpoints,omitempty"`
	// Zones sums up the children of a relay or reader.
	Zones []ZoneStatus `json:"zones,omitempty"`
}

// ZoneStatus sums up the proxies of one zone as far as one relay sees them.
type ZoneStatus struct {
	Zone string `json:"zone"`
	// Relay names the relay that made the summary.
	Relay string `json:"relay"`
	// Stamp orders the summaries of one relay: Unix milliseconds, raised
	// where needed so that it only grows.
	Stamp   uint64 `json:"stamp"`
	Proxies int    `json:"proxies"`
	// Lowest is the lowest version in force at any of those proxies.
	Lowest uint64 `json:"lowest"`
	// Highest is the highest version in force at any of those proxies.
	Highest  uint64    `json:"highest,omitempty"`
	Laggards []Laggard `json:"laggards,omitempty"`
	// FirstExpiry is the certificate among those proxies that expires first.
	FirstExpiry *Expiry `json:"firstExpiry,omitempty"`
}

// Laggard is a proxy that is behind.
type Laggard struct {
	Node    string        `json:"node"`
	Applied uint64        `json:"applied"`
	Failure *ApplyFailure `json:"failure,omitempty"`
	// Silent is how long nothing was heard from it.
	Silent time.Duration `json:"silent,omitempty"`
}
