// Package v1 holds the messages of the resource API, version 1, for the server
// and its clients.
package v1

import (
	"github.com/kestrelstream/kestrelstream/internal/command"
	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// OperationIDHeader carries the operation id of a change, in requests and
// replies.
const OperationIDHeader = "Kestrel-Operation-Id"

// Paths of the API.
const (
	PathResources = "/v1/resources"
	PathBatch     = "/v1/batch"
	PathWatch     = "/v1/watch"
	PathStatus    = "/v1/status"
	PathVersions  = "/v1/versions"
	PathHistory   = "/v1/history"
	PathOpenAPI   = "/openapi.json"
)

// Batch is the body of POST /v1/batch.
type Batch struct {
	Changes []resource.Change `json:"changes"`
}

// Outcome is the reply to every change.
type Outcome = command.Outcome

// Resource is a resource in replies; secret values are masked.
type Resource = resource.Resource

// ResourceList is the reply to a list.
type ResourceList struct {
	// Version is the configuration version the list was read at; a watch
	// from it misses nothing.
	Version uint64      `json:"version"`
	Items   []*Resource `json:"items"`
}

// Problem is the reply to a request that failed and is no change.
type Problem struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Step is where in the server the fault arose.
	Step   string                `json:"step"`
	Reason string                `json:"reason"`
	Fields []resource.FieldError `json:"fields,omitempty"`
}

// EventType says what a line of a watch means.
type EventType string

// The types of watch events.
const (
	// EventPut: the resource was created or changed.
	EventPut EventType = "put"
	// EventDelete: the resource was deleted.
	EventDelete EventType = "delete"
	// EventBookmark: everything up to the version has been sent.
	EventBookmark EventType = "bookmark"
	// EventResync: the version to resume from is no longer held; list and
	// watch anew.
	EventResync EventType = "resync"
)

// Event is one line of a watch.
type Event struct {
	Type     EventType     `json:"type"`
	Version  uint64        `json:"version"`
	Key      *resource.Key `json:"key,omitempty"`
	Resource *Resource     `json:"resource,omitempty"`
}

// Status is the reply to GET /v1/status.
type Status struct {
	// Version is the newest version this node knows.
	Version   uint64       `json:"version"`
	Resources int          `json:"resources"`
	Zones     []ZoneStatus `json:"zones"`
}

// VersionStatus is the reply to GET /v1/versions/{version}: whether the
// version is in force, where not, and why.
type VersionStatus struct {
	Version uint64 `json:"version"`
	// Known says that this node knows the version.
	Known bool `json:"known"`
	// InForce says that proxies are known and that every one of them, in every
	// zone, is at the version or above.
	InForce bool         `json:"inForce"`
	Zones   []ZoneStatus `json:"zones"`
}

// ZoneStatus sums up the relays of one zone.
type ZoneStatus struct {
	Zone    string   `json:"zone"`
	Relays  []string `json:"relays"`
	Proxies int      `json:"proxies"`
	// Lowest is the lowest version in force at any proxy of the zone.
	Lowest uint64 `json:"lowest"`
	// InForce is set in a VersionStatus.
	InForce  bool                   `json:"inForce"`
	Laggards []distribution.Laggard `json:"laggards,omitempty"`
	// FirstExpiry is the certificate of the zone's proxies that expires first.
	FirstExpiry *distribution.Expiry `json:"firstExpiry,omitempty"`
}

// History is the reply to GET /v1/history, oldest first.
type History struct {
	// From is the version after which the history begins; older entries are
	// no longer held.
	From    uint64         `json:"from"`
	Entries []HistoryEntry `json:"entries"`
	// More says that the limit cut the list; ask again after the last
	// entry's version.
	More bool `json:"more,omitempty"`
}

// HistoryEntry is one accepted batch.
type HistoryEntry struct {
	Version   uint64             `json:"version"`
	Operation resource.Operation `json:"operation"`
	Changes   []HistoryChange    `json:"changes"`
}

// HistoryChange is what a batch did to one resource.
type HistoryChange struct {
	Key    resource.Key  `json:"key"`
	Action HistoryAction `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"`
	// BeforeUnknown says that the content before is no longer held; the
	// fields then show the content after alone.
	BeforeUnknown bool `json:"beforeUnknown,omitempty"`
}

// HistoryAction says what happened to a resource.
type HistoryAction string

// The actions of the history.
const (
	HistoryCreated HistoryAction = "created"
	HistoryUpdated HistoryAction = "updated"
	HistoryDeleted HistoryAction = "deleted"
)

// FieldChange is one field's value before and after, in JSON; empty where the
// field was or is not set. Secret values are masked.
type FieldChange struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}
