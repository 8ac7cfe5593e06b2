// Package table compiles routes into an immutable routing table. It has no side effects. A match
// costs one map lookup for the host and one for each number of segments that the prefixes of the
// host have. It does not allocate for a host in lower case.
package table

import (
	"math/bits"
	"slices"
	"strings"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// AnyHost is the host of a route that matches every host.
const AnyHost = "*"

// Table matches requests to routes. T is the type of the value that Compile binds to each route. A
// Table is immutable.
type Table[T any] struct {
	hosts   map[string]*hostRoutes[T]
	anyHost *hostRoutes[T]
}

// hostRoutes holds the routes of one host, indexed by path prefix.
type hostRoutes[T any] struct {
	nodes map[string]*node[T]
	// segmentCounts has bit n set if a prefix has n segments. Prefixes of more than
	// maxIndexedSegments segments are in longPrefixes, the longest first.
	segmentCounts uint64
	longPrefixes  []*node[T]
}

// maxIndexedSegments is the largest number of segments that segmentCounts can represent.
const maxIndexedSegments = 63

// node holds the routes of one path prefix: those that list methods, and the one for all methods,
// if any.
type node[T any] struct {
	prefix  string
	methods []methodRoute[T]
	any     *T
}

// methodRoute is the route for one listed method.
type methodRoute[T any] struct {
	method string
	route  T
}

// Compile builds the table. bind returns the value that Match returns for a route. If several
// routes have the same host, prefix and method, the first by name takes precedence, so that equal
// snapshots yield equal tables.
func Compile[T any](routes map[string]*resource.RouteSpec, bind func(name string, spec *resource.RouteSpec) T) *Table[T] {
	nodesByHost := map[string]map[string]*node[T]{}
	for _, name := range sortedNames(routes) {
		spec := routes[name]
		host := NormalizeHost(spec.Host)
		if nodesByHost[host] == nil {
			nodesByHost[host] = map[string]*node[T]{}
		}
		prefix := normalizePrefix(spec.PathPrefix)
		entry := nodesByHost[host][prefix]
		if entry == nil {
			entry = &node[T]{prefix: prefix}
			nodesByHost[host][prefix] = entry
		}
		entry.add(spec.Methods, bind(name, spec))
	}
	compiled := &Table[T]{hosts: make(map[string]*hostRoutes[T], len(nodesByHost))}
	for host, byPrefix := range nodesByHost {
		compiled.hosts[host] = newHostRoutes(byPrefix)
	}
	compiled.anyHost = compiled.hosts[AnyHost]
	return compiled
}

func sortedNames(routes map[string]*resource.RouteSpec) []string {
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// normalizePrefix removes trailing slashes, since a prefix matches whole segments.
func normalizePrefix(prefix string) string { return strings.TrimRight(prefix, "/") }

// NormalizeHost returns the host in the form of the table's keys: in lower case, without port and
// trailing dot. It returns AnyHost for the empty host.
func NormalizeHost(host string) string {
	if host == "" {
		return AnyHost
	}
	return strings.ToLower(strings.TrimSuffix(stripPort(host), "."))
}

// stripPort removes a port from the host. It leaves IPv6 addresses without a port as they are.
func stripPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	if host[0] != '[' && strings.IndexByte(host, ':') != colon {
		return host
	}
	return host[:colon]
}

// add adds a route for the methods, or for all methods if there are none. Existing routes take
// precedence.
func (n *node[T]) add(methods []string, route T) {
	if len(methods) == 0 {
		if n.any == nil {
			n.any = &route
		}
		return
	}
	for _, method := range methods {
		if n.method(method) == nil {
			n.methods = append(n.methods, methodRoute[T]{method: method, route: route})
		}
	}
}

// method returns the route that lists the method, or nil.
func (n *node[T]) method(method string) *T {
	for index := range n.methods {
		if n.methods[index].method == method {
			return &n.methods[index].route
		}
	}
	return nil
}

func newHostRoutes[T any](nodes map[string]*node[T]) *hostRoutes[T] {
	routes := &hostRoutes[T]{nodes: nodes}
	for prefix, entry := range nodes {
		if segments := strings.Count(prefix, "/"); segments <= maxIndexedSegments {
			routes.segmentCounts |= 1 << segments
		} else {
			routes.longPrefixes = append(routes.longPrefixes, entry)
		}
	}
	slices.SortFunc(routes.longPrefixes, func(a, b *node[T]) int { return len(b.prefix) - len(a.prefix) })
	return routes
}

// hasPathPrefix reports whether the path begins with the prefix, compared by whole segments.
func hasPathPrefix(prefix, path string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}

// Match returns the route of a request. The exact host takes precedence over AnyHost, then a longer
// prefix over a shorter one, then a listed method over a route for all methods. The host may
// include a port. The path must be one that CheckPath returned.
func (t *Table[T]) Match(method, host, path string) (route T, found bool) {
	exact := t.hosts[normalizeRequestHost(host)]
	if exact != nil {
		if matched := exact.match(method, path); matched != nil {
			return *matched, true
		}
	}
	if t.anyHost != nil && t.anyHost != exact {
		if matched := t.anyHost.match(method, path); matched != nil {
			return *matched, true
		}
	}
	return route, false
}

// normalizeRequestHost is like NormalizeHost, but keeps the empty host and does not allocate for a
// host in lower case.
func normalizeRequestHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = stripPort(host)
	}
	for index := range len(host) {
		if 'A' <= host[index] && host[index] <= 'Z' {
			return NormalizeHost(host)
		}
	}
	return strings.TrimSuffix(host, ".")
}

// match tries the prefixes of the path from the longest to the shortest.
func (p *hostRoutes[T]) match(method, path string) *T {
	for _, candidate := range p.longPrefixes {
		if !hasPathPrefix(candidate.prefix, path) {
			continue
		}
		if matched := candidate.route(method); matched != nil {
			return matched
		}
	}
	var ends [maxIndexedSegments + 1]uint16
	segments := p.segmentEnds(path, &ends)
	for ; segments >= 0; segments-- {
		if p.segmentCounts&(1<<segments) == 0 {
			continue
		}
		if candidate := p.nodes[path[:ends[segments]]]; candidate != nil {
			if matched := candidate.route(method); matched != nil {
				return matched
			}
		}
	}
	return nil
}

// maxIndexedPath is the longest path whose segment ends fit into a uint16. Servers limit request
// lines to far less; a longer path is matched by its first maxIndexedPath bytes.
const maxIndexedPath = 1<<16 - 1

// segmentEnds stores the end offset of each segment of the path in ends, up to the largest number
// of segments in segmentCounts, and returns the number of segments stored.
func (p *hostRoutes[T]) segmentEnds(path string, ends *[maxIndexedSegments + 1]uint16) int {
	maxSegments := bits.Len64(p.segmentCounts) - 1
	if len(path) > maxIndexedPath {
		path = path[:maxIndexedPath]
	}
	segments := 0
	for segments < maxSegments && int(ends[segments]) < len(path) {
		start := int(ends[segments]) + 1
		length := strings.IndexByte(path[start:], '/')
		if length < 0 {
			length = len(path) - start
		}
		segments++
		ends[segments] = uint16(start + length)
	}
	return segments
}

// route returns the route that lists the method, else the one for all methods, else nil.
func (n *node[T]) route(method string) *T {
	if matched := n.method(method); matched != nil {
		return matched
	}
	return n.any
}
