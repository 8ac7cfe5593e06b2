package route

import (
	"errors"
	"reflect"
	"slices"
)

// Change is the difference between one version of a document and a later one. Nodes exchange
// changes since consecutive versions mostly differ in a few routes.
type Change struct {
	// Version is the resulting version, Base the version that the change applies to. Without a base
	// the change holds the whole document.
	Version uint64 `json:"version"`
	Base    uint64 `json:"base,omitempty"`
	// Routes and Services are the added and modified ones.
	Routes   []Route   `json:"routes,omitempty"`
	Services []Service `json:"services,omitempty"`
	// RemovedRoutes holds the keys (host and path prefix) of removed routes, RemovedServices the
	// names of removed services.
	RemovedRoutes   []string `json:"places,omitempty"`
	RemovedServices []string `json:"gone,omitempty"`
	Limits          Limits   `json:"limits"`
	// Tenants are the added and modified ones, RemovedTenants the names of removed ones.
	Tenants        []Tenant `json:"tenants,omitempty"`
	RemovedTenants []string `json:"goneTenants,omitempty"`
	// RouteCount, ServiceCount and TenantCount are the counts of the resulting version.
	RouteCount   int `json:"routeCount"`
	ServiceCount int `json:"serviceCount"`
	TenantCount  int `json:"tenantCount,omitempty"`
}

// ErrBaseMismatch is returned when a change does not apply to the given base document.
var ErrBaseMismatch = errors.New("route: the change applies to another base document")

// key identifies a route within a document.
func (r *Route) key() string { return normalizeHost(r.Host) + r.PathPrefix }

// name identifies a service within a document.
func (s *Service) name() string { return s.Name }

// ChangeFrom returns the change from base, which may be nil, to the document.
func (d *Document) ChangeFrom(base *Document) *Change {
	change := &Change{
		Version: d.Version, Limits: d.Limits,
		RouteCount: len(d.Routes), ServiceCount: len(d.Services), TenantCount: len(d.Tenants),
	}
	if base == nil {
		change.Routes, change.Services, change.Tenants = d.Routes, d.Services, d.Tenants
		return change
	}
	change.Base = base.Version
	change.Routes, change.RemovedRoutes = diffItems(base.Routes, d.Routes, (*Route).key)
	change.Services, change.RemovedServices = diffItems(base.Services, d.Services, (*Service).name)
	change.Tenants, change.RemovedTenants = diffItems(base.Tenants, d.Tenants, (*Tenant).name)
	return change
}

// Apply returns the document that results from applying the change to base, which may be nil when
// the change holds the whole document. Neither is modified.
func (c *Change) Apply(base *Document) (*Document, error) {
	document := &Document{Version: c.Version, Limits: c.Limits}
	switch {
	case c.Base == 0:
		document.Routes, document.Services, document.Tenants = c.Routes, c.Services, c.Tenants
	case base == nil || base.Version != c.Base:
		return nil, ErrBaseMismatch
	default:
		document.Routes = applyItems(base.Routes, c.Routes, c.RemovedRoutes, (*Route).key)
		document.Services = applyItems(base.Services, c.Services, c.RemovedServices, (*Service).name)
		document.Tenants = applyItems(base.Tenants, c.Tenants, c.RemovedTenants, (*Tenant).name)
	}
	if len(document.Routes) != c.RouteCount || len(document.Services) != c.ServiceCount || len(document.Tenants) != c.TenantCount {
		return nil, ErrBaseMismatch
	}
	return document, nil
}

// diffItems returns the items that are added or modified in after, and the sorted keys of those
// that are missing from it.
func diffItems[T any](before, after []T, key func(*T) string) (changed []T, removed []string) {
	previous := make(map[string]*T, len(before))
	for i := range before {
		previous[key(&before[i])] = &before[i]
	}
	for i := range after {
		k := key(&after[i])
		if earlier := previous[k]; earlier == nil || !reflect.DeepEqual(*earlier, after[i]) {
			changed = append(changed, after[i])
		}
		delete(previous, k)
	}
	for k := range previous {
		removed = append(removed, k)
	}
	slices.Sort(removed)
	return changed, removed
}

// applyItems returns before with the changed items merged and the removed ones left out. Unchanged
// items are shared with before.
func applyItems[T any](before, changed []T, removed []string, key func(*T) string) []T {
	next := make(map[string]*T, len(changed))
	for i := range changed {
		next[key(&changed[i])] = &changed[i]
	}
	after := make([]T, 0, len(before)+len(changed))
	for i := range before {
		k := key(&before[i])
		if _, found := slices.BinarySearch(removed, k); found {
			continue
		}
		if newer := next[k]; newer != nil {
			after = append(after, *newer)
			delete(next, k)
			continue
		}
		after = append(after, before[i])
	}
	for i := range changed {
		if next[key(&changed[i])] != nil {
			after = append(after, changed[i])
		}
	}
	return after
}
