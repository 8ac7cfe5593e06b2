package admission

import (
	"cmp"
	"slices"
	"time"
)

// Usage is the slot time that the requests of a tenant have used.
type Usage struct {
	Tenant   string
	SlotTime time.Duration
}

// Usage returns the tenants that have used the most slot time, and the sum of all others, including
// tenants whose accounts were removed. Requests without a tenant are left out.
func (g *Gate) Usage(most int) (top []Usage, others time.Duration) {
	g.mutex.Lock()
	all, others := g.waiting.accounts.usage()
	g.mutex.Unlock()
	slices.SortFunc(all, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.SlotTime, a.SlotTime), cmp.Compare(a.Tenant, b.Tenant))
	})
	for _, rest := range all[min(most, len(all)):] {
		others += rest.SlotTime
	}
	return all[:min(most, len(all))], others
}

// usage returns the slot time of each tenant, summed over the classes, and that of tenants whose accounts
// were removed.
func (s *accounts) usage() (all []Usage, forgotten time.Duration) {
	held := map[string]time.Duration{}
	for _, class := range s.classes {
		forgotten += class.forgotten
		for tenant, entry := range class.tenants {
			held[tenant] += entry.held
		}
	}
	for tenant, sum := range held {
		all = append(all, Usage{Tenant: tenant, SlotTime: sum})
	}
	return all, forgotten
}
