package route

import (
	"fmt"
	"slices"

	"go.uber.org/zap/zapcore"
)

// Key is the secret by which callers of a tenant identify themselves. It is not to be seen in
// logs: what prints it prints a placeholder.
type Key string

// String implements fmt.Stringer.
func (Key) String() string { return "(key)" }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return "(key)" }

// Format implements fmt.Formatter: no verb writes the key.
func (k Key) Format(state fmt.State, _ rune) { _, _ = state.Write([]byte(k.String())) }

// Tenant is one customer whose requests are told apart by their keys.
type Tenant struct {
	Name string
	// Keys are those that its callers may use now. No other tenant has one of them.
	Keys []Key
	// Rate is how many requests a second it may send through all nodes together, zero for any
	// number. Burst is how many more it may send at once.
	Rate, Burst float64 `json:",omitempty"`
	// Priority ranks its requests in place of their routes' priority; nil leaves that.
	Priority *int `json:",omitempty"`
	// AllowedRegions are those in which its requests may be served; empty means all.
	AllowedRegions []string `json:",omitempty"`
}

// MarshalLogObject implements zapcore.ObjectMarshaler. Of the keys their number is logged.
func (t *Tenant) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("name", t.Name)
	encoder.AddInt("keys", len(t.Keys))
	encoder.AddFloat64("rate", t.Rate)
	encoder.AddFloat64("burst", t.Burst)
	return nil
}

// Limited reports whether the tenant's requests are bounded.
func (t *Tenant) Limited() bool { return t != nil && t.Rate > 0 }

// name identifies a tenant within a document.
func (t *Tenant) name() string { return t.Name }

// hasRevokedKey reports whether the later account of the tenant, which may be nil, lacks one of its keys.
func (t *Tenant) hasRevokedKey(later *Tenant) bool {
	return later == nil || slices.ContainsFunc(t.Keys, func(key Key) bool { return !slices.Contains(later.Keys, key) })
}

// TenantsWithRevokedKeys returns the names of the tenants of the document that lack a key in the later one.
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

// validateTenants returns a *FieldError for the first field that is not acceptable. No error
// names a key.
func validateTenants(tenants []Tenant) error {
	names, keys := make(map[string]bool, len(tenants)), make(map[Key]string, len(tenants))
	for i := range tenants {
		tenant := &tenants[i]
		if err := tenant.validate(); err != nil {
			return err
		}
		if names[tenant.Name] {
			return fieldError("tenants."+tenant.Name, "the name is taken")
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			if owner, taken := keys[key]; taken {
				return fieldError("tenants."+tenant.Name+".keys", "one is also a key of tenant %s", owner)
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
		return fieldError(field+".keys", "one is empty")
	case !(t.Rate >= 0):
		return fieldError(field+".rate", "%v is below zero", t.Rate)
	case !(t.Burst >= 0):
		return fieldError(field+".burst", "%v is below zero", t.Burst)
	case t.Priority != nil && *t.Priority < 0:
		return fieldError(field+".priority", "%d is below zero", *t.Priority)
	}
	return nil
}

// RequiresKey reports whether callers of the route identify themselves by a key: where there
// are tenants, unless the route is open.
func (t *Table) RequiresKey(matched *CompiledRoute) bool { return len(t.tenants) > 0 && !matched.Open }

// TenantByKey returns the tenant that holds the key, nil when none does.
func (t *Table) TenantByKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.tenants[Key(key)]
}

// LimitedTenant returns the tenant of that name when it has a limit, otherwise nil; nil for a nil table.
func (t *Table) LimitedTenant(name string) *Tenant {
	if t == nil {
		return nil
	}
	return t.limited[name]
}

// LimitedTenantNames returns the names of the tenants that have a limit, in order. The list is not to be
// modified.
func (t *Table) LimitedTenantNames() []string {
	if t == nil {
		return nil
	}
	return t.limitedNames
}
