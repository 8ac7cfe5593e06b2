package rollout

import (
	"slices"
	"strings"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// Selection is which back ends of a service may take a request. The zero value lets all
// of them.
type Selection struct {
	// Key is the same for selections of the same back ends.
	Key string
	// Admits reports whether a back end may; nil lets all of them.
	Admits func(*roster.Record) bool
}

// All lets all back ends take a request.
func All() Selection { return Selection{} }

// Without lets those take a request that are of other versions. An empty version is that
// of back ends that tell none, and excludes nobody.
func Without(versions ...string) Selection {
	return Selection{Key: "without " + strings.Join(versions, " "), Admits: func(record *roster.Record) bool {
		return record.Endpoint == nil || record.Endpoint.Version == "" || !slices.Contains(versions, record.Endpoint.Version)
	}}
}

// Only lets those take a request that are of the version.
func Only(version string) Selection {
	return Selection{Key: "only " + version, Admits: func(record *roster.Record) bool {
		return record.Endpoint != nil && record.Endpoint.Version == version
	}}
}

// Node lets the back end beside one node take a request, while it is of the version.
func Node(node, version string) Selection {
	return Selection{Key: "node " + node + " " + version, Admits: func(record *roster.Record) bool {
		return record.Node == node && record.Endpoint != nil && record.Endpoint.Version == version
	}}
}
