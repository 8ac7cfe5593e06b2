package route

import (
	"maps"
	"net/http"
	"slices"
	"strings"
)

// Table matches requests to routes. It is immutable except for the positions of the splits, which
// are carried over to later versions.
type Table struct {
	document     *Document
	hosts        map[string]map[string]*CompiledRoute
	services     map[string]*Service
	serviceNames []string
	// tenantsByKey maps each key to its tenant. It is empty also where no tenant has a key.
	tenantsByKey map[Key]*Tenant
	// limited maps names to the tenants with a rate limit; limitedNames holds those names sorted.
	limited      map[string]*Tenant
	limitedNames []string
}

// CompiledRoute is a route of the table with the state of its split.
type CompiledRoute struct {
	Route
	split *split
}

// NextService returns the service for the route's next request.
func (m *CompiledRoute) NextService() string {
	if len(m.Targets) == 1 {
		return m.Targets[0].Service
	}
	return m.split.next(m.Targets)
}

// RoutesTo reports whether the service is among the route's targets.
func (m *CompiledRoute) RoutesTo(service string) bool {
	return slices.ContainsFunc(m.Targets, func(target Target) bool { return target.Service == service })
}

// Compile validates the document and builds its table. A split continues its sequence if previous,
// which may be nil, has the same route with the same targets.
func Compile(document *Document, previous *Table) (*Table, error) {
	if err := document.Validate(); err != nil {
		return nil, err
	}
	compiled := &Table{
		document:     document,
		hosts:        map[string]map[string]*CompiledRoute{},
		services:     make(map[string]*Service, len(document.Services)),
		tenantsByKey: make(map[Key]*Tenant, len(document.Tenants)),
		limited:      map[string]*Tenant{},
	}
	for index := range document.Tenants {
		tenant := &document.Tenants[index]
		for _, key := range tenant.Keys {
			compiled.tenantsByKey[key] = tenant
		}
		if tenant.Limited() {
			compiled.limited[tenant.Name] = tenant
		}
	}
	compiled.limitedNames = slices.Sorted(maps.Keys(compiled.limited))
	for index := range document.Services {
		compiled.services[document.Services[index].Name] = &document.Services[index]
	}
	compiled.serviceNames = slices.Sorted(maps.Keys(compiled.services))
	for index := range document.Routes {
		compiled.add(&document.Routes[index], previous)
	}
	return compiled, nil
}

func (t *Table) add(route *Route, previous *Table) {
	host := normalizeHost(route.Host)
	prefixes := t.hosts[host]
	if prefixes == nil {
		prefixes = map[string]*CompiledRoute{}
		t.hosts[host] = prefixes
	}
	prefixes[route.PathPrefix] = &CompiledRoute{Route: *route, split: previous.splitOf(host, route)}
}

// splitOf returns the split of the same route and targets in the table, or a new one.
func (t *Table) splitOf(host string, route *Route) *split {
	if t != nil {
		existing := t.hosts[host][route.PathPrefix]
		if existing != nil && slices.Equal(existing.Targets, route.Targets) {
			return existing.split
		}
	}
	return newSplit()
}

// Version returns the version of the table's document; zero for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.document.Version
}

// Document returns the document that the table was compiled from.
func (t *Table) Document() *Document {
	if t == nil {
		return nil
	}
	return t.document
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ServiceNames returns the sorted names of the services. The result must not be modified.
func (t *Table) ServiceNames() []string {
	if t == nil {
		return nil
	}
	return t.serviceNames
}

// Match returns the route for the host with the longest prefix of path, or nil. The path is the
// escaped one, as received.
func (t *Table) Match(host, path string) *CompiledRoute {
	prefixes := t.hosts[normalizeHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if matched := prefixes[path[:end+1]]; matched != nil {
			return matched
		}
	}
	return nil
}

// MatchRequest returns the route for a request, or nil.
func (t *Table) MatchRequest(r *http.Request) *CompiledRoute {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return t.Match(r.Host, path)
}

// normalizeHost returns the host in lower case, without port and trailing dot.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
