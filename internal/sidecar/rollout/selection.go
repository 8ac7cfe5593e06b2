package rollout

import (
	"slices"
	"strings"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// Selection is a filter on the back ends of a service. The zero value admits all of them.
type Selection struct {
	// Key is equal for selections of the same back ends.
	Key string
	// Admits reports whether a back end may take a request; nil admits all.
	Admits func(*roster.Record) bool
}

// All admits all back ends.
func All() Selection { return Selection{} }

// Without admits the back ends of all versions except the given ones. An empty version matches
// no back end, so back ends without a version are always admitted.
func Without(versions ...string) Selection {
	return Selection{Key: "without " + strings.Join(versions, " "), Admits: func(record *roster.Record) bool {
		return record.Endpoint == nil || record.Endpoint.Version == "" || !slices.Contains(versions, record.Endpoint.Version)
	}}
}

// Only admits the back ends of the given version.
func Only(version string) Selection {
	return Selection{Key: "only " + version, Admits: func(record *roster.Record) bool {
		return record.Endpoint != nil && record.Endpoint.Version == version
	}}
}

// Node admits the back end of one node if it is of the given version.
func Node(node, version string) Selection {
	return Selection{Key: "node " + node + " " + version, Admits: func(record *roster.Record) bool {
		return record.Node == node && record.Endpoint != nil && record.Endpoint.Version == version
	}}
}
