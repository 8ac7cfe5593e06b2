package route

import (
	"fmt"
	"slices"

	"go.uber.org/zap/zapcore"
)

// Key is the secret that identifies callers of a tenant. It must not appear in logs, so all
// formatting prints a placeholder.
type Key string

// String implements fmt.Stringer.
func (Key) String() string { return "(key)" }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return "(key)" }

// Format implements fmt.Formatter: no verb prints the key.
func (k Key) Format(state fmt.State, _ rune) { _, _ = state.Write([]byte(k.String())) }

// Tenant is a customer whose requests are identified by its keys.
type Tenant struct {
	Name string
	// Keys are the currently valid keys. They are unique across tenants.
	Keys []Key
	// Rate is the number of requests per second allowed across all nodes, zero for no limit. Burst
	// is the number of further requests that may be sent at once.
	Rate, Burst float64 `json:",omitempty"`
	// Priority overrides the priority of the routes; nil keeps it.
	Priority *int `json:",omitempty"`
	// AllowedRegions are the regions in which the tenant's requests may be served; empty means all.
	AllowedRegions []string `json:",omitempty"`
}

// MarshalLogObject implements zapcore.ObjectMarshaler. It logs the number of keys only.
func (t *Tenant) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("name", t.Name)
	encoder.AddInt("keys", len(t.Keys))
	encoder.AddFloat64("rate", t.Rate)
	encoder.AddFloat64("burst", t.Burst)
	return nil
}

// Limited reports whether the tenant has a rate limit.
func (t *Tenant) Limited() bool { return t != nil && t.Rate > 0 }

// name identifies a tenant within a document.
func (t *Tenant) name() string { return t.Name }

// hasRevokedKey reports whether the later version of the tenant, which may be nil, lacks one of its
// keys.
func (t *Tenant) hasRevokedKey(later *Tenant) bool {
	return later == nil || slices.ContainsFunc(t.Keys, func(key Key) bool { return !slices.Contains(later.Keys, key) })
}

// TenantsWithRevokedKeys returns the names of the document's tenants that lack a key in the later
// document.
func (d *Document) TenantsWithRevokedKeys(later *Document) map[string]bool {
	laterTenants := make(map[string]*Tenant, len(later.Tenants))
	for i := range later.Tenants {
		laterTenants[later.Tenants[i].Name] = &later.Tenants[i]
	}
	var affected map[string]bool
	for i := range d.Tenants {
		before := &d.Tenants[i]
		if !before.hasRevokedKey(laterTenants[before.Name]) {
			continue
		}
		if affected == nil {
			affected = map[string]bool{}
		}
		affected[before.Name] = true
	}
	return affected
}

// validateTenants returns a *FieldError for the first invalid field. Errors never contain a key.
func validateTenants(tenants []Tenant) error {
	names, keys := make(map[string]bool, len(tenants)), make(map[Key]string, len(tenants))
	for i := range tenants {
		tenant := &tenants[i]
		if err := tenant.validate(); err != nil {
			return err
		}
		if names[tenant.Name] {
			return fieldError("tenants."+tenant.Name, "the name is already used by another tenant")
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			if owner, taken := keys[key]; taken {
				return fieldError("tenants."+tenant.Name+".keys", "a key is also used by tenant %s", owner)
			}
			keys[key] = tenant.Name
		}
	}
	return nil
}

func (t *Tenant) validate() error {
	field := "tenants." + t.Name
	switch {
	case t.Name == "":
		return fieldError("tenants", "a tenant has no name")
	case slices.Contains(t.Keys, ""):
		return fieldError(field+".keys", "a key is empty")
	case !(t.Rate >= 0):
		return fieldError(field+".rate", "%v is below zero", t.Rate)
	case !(t.Burst >= 0):
		return fieldError(field+".burst", "%v is below zero", t.Burst)
	case t.Priority != nil && *t.Priority < 0:
		return fieldError(field+".priority", "%d is below zero", *t.Priority)
	}
	return nil
}

// HasTenants reports whether the document has tenants, even if none of them has a key.
func (t *Table) HasTenants() bool { return t != nil && len(t.document.Tenants) > 0 }

// HasKeys reports whether any tenant has a key.
func (t *Table) HasKeys() bool { return t != nil && len(t.tenantsByKey) > 0 }

// RequiresKey reports whether callers of the route need a key: there are tenants, and the route is
// not open.
func (t *Table) RequiresKey(matched *CompiledRoute) bool { return t.HasTenants() && !matched.Open }

// TenantByKey returns the tenant with the given key, or nil.
func (t *Table) TenantByKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.tenantsByKey[Key(key)]
}

// LimitedTenant returns the tenant with the given name if it has a rate limit, otherwise nil. A nil
// table has none.
func (t *Table) LimitedTenant(name string) *Tenant {
	if t == nil {
		return nil
	}
	return t.limited[name]
}

// LimitedTenantNames returns the sorted names of the tenants with a rate limit. The result must not
// be modified.
func (t *Table) LimitedTenantNames() []string {
	if t == nil {
		return nil
	}
	return t.limitedNames
}
