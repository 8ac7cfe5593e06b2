package admission

import (
	"maps"
	"time"
)

// account records the use of the back end by the requests of one tenant in one class.
type account struct {
	class  *class
	tenant string
	// virtualTime is the slot time that its requests have used, relative to the virtual clock of its
	// class: a tenant that arrives anew starts at the clock, like the tenants being served.
	virtualTime time.Duration
	// held is the total slot time of its requests.
	held time.Duration
	// running and waiting count its requests; idleSince is since when it has had none.
	running, waiting int
	idleSince        time.Time
	// flows are those in which the tenant waits, at most one per level.
	flows []*flow
}

// class holds the accounts of tenants that compete with each other: those of one priority, or of nested
// calls.
type class struct {
	// virtualClock is the virtual time of the tenant that was last granted a slot in turn. It never
	// decreases.
	virtualClock time.Duration
	tenants      map[string]*account
	// kinds are the kinds of requests seen, one per magnitude.
	kinds []*kind
	// forgotten is the total slot time of tenants whose accounts were removed.
	forgotten time.Duration
	// sweepThreshold is the number of tenants at which the next sweep is due.
	sweepThreshold int
	// unnamed is the account of all requests without a tenant. Each of them counts as a tenant of its
	// own.
	unnamed account
}

// accounts holds those of all tenants at one back end. The caller holds the lock.
type accounts struct {
	classes map[int]*class
}

const (
	// nestedClass is the class of nested calls, which running requests wait for; others are classified by
	// priority.
	nestedClass = -1
	// accountRetention is the time for which a tenant without requests is remembered: its earlier use is
	// irrelevant to the capacity available now.
	accountRetention = 10 * time.Second
	// Between minSweepThreshold and maxTenants a sweep is due whenever the tenants of a class have
	// doubled; from maxTenants on, a sweep removes all tenants without requests.
	minSweepThreshold, maxTenants = 256, 4096
	// maxClasses is the number of classes from which those without requests are removed.
	maxClasses = 64
)

// accountFor returns the account of the request's tenant for a request that arrives now.
func (s *accounts) accountFor(info RequestInfo, now time.Time) *account {
	class := s.classOf(info)
	found := &class.unnamed
	if info.Tenant != "" {
		found = class.tenantAccount(info.Tenant, now)
	}
	if found.waiting == 0 {
		found.virtualTime = max(found.virtualTime, class.virtualClock)
	}
	return found
}

func (s *accounts) classOf(info RequestInfo) *class {
	number := info.Priority
	if info.Nested {
		number = nestedClass
	}
	candidate := s.classes[number]
	if candidate == nil {
		if len(s.classes) >= maxClasses {
			maps.DeleteFunc(s.classes, func(_ int, candidate *class) bool { return candidate.idle() })
		}
		candidate = &class{tenants: map[string]*account{}, sweepThreshold: minSweepThreshold}
		candidate.unnamed.class = candidate
		if s.classes == nil {
			s.classes = map[int]*class{}
		}
		s.classes[number] = candidate
	}
	return candidate
}

// idle reports whether the class has no requests.
func (c *class) idle() bool {
	for _, candidate := range c.tenants {
		if candidate.running > 0 || candidate.waiting > 0 {
			return false
		}
	}
	return c.unnamed.running == 0 && c.unnamed.waiting == 0
}

// tenantAccount returns the account of a tenant and creates it if it is missing.
func (c *class) tenantAccount(tenant string, now time.Time) *account {
	found := c.tenants[tenant]
	if found != nil {
		return found
	}
	if len(c.tenants) >= c.sweepThreshold {
		c.sweep(now)
	}
	found = &account{class: c, tenant: tenant, idleSince: now}
	c.tenants[tenant] = found
	return found
}

// sweep removes tenants without requests: those that are not ahead of the virtual clock, and those that
// have been idle for accountRetention.
func (c *class) sweep(now time.Time) {
	full := len(c.tenants) >= maxTenants
	maps.DeleteFunc(c.tenants, func(_ string, held *account) bool {
		if held.running > 0 || held.waiting > 0 {
			return false
		}
		if !full && held.virtualTime > c.virtualClock && now.Sub(held.idleSince) < accountRetention {
			return false
		}
		c.forgotten += held.held
		return true
	})
	c.sweepThreshold = max(2*len(c.tenants), minSweepThreshold)
	if len(c.tenants) < maxTenants {
		c.sweepThreshold = min(c.sweepThreshold, maxTenants)
	}
}

// hasTenant reports whether the account belongs to a single tenant.
func (s *account) hasTenant() bool { return s.tenant != "" }

// flow returns the flow of the level, nil if the tenant does not wait there.
func (s *account) flow(level int) *flow {
	for _, candidate := range s.flows {
		if candidate.level.number == level {
			return candidate
		}
	}
	return nil
}

// begin charges the tenant for a request that is granted a slot. queued is the number of its requests
// that waited together with it, itself included; zero if it did not wait. byTurn is false if a tenant
// with a lower virtual time waits. The virtual clock stays in that case: a tenant that arrives then would
// otherwise start behind all of those that wait.
func (s *account) begin(entry *waiter, queued int, byTurn bool) {
	if byTurn {
		s.class.virtualClock = max(s.class.virtualClock, s.virtualTime)
	}
	s.running++
	switch {
	case s.hasTenant():
		entry.charged = entry.work
	case queued > 0:
		entry.charged = entry.work / time.Duration(queued)
	}
	s.charge(entry.charged)
}

// end corrects the charge once the slot is free.
func (s *account) end(entry *waiter, held time.Duration, now time.Time) {
	s.running--
	s.idleSince = now
	s.held += held
	if s.hasTenant() {
		s.charge(held - entry.charged)
	}
}

// charge adds to the virtual time of the tenant.
func (s *account) charge(change time.Duration) {
	s.virtualTime += change
	for _, tenantFlow := range s.flows {
		tenantFlow.level.recordCharge(tenantFlow, change)
	}
}
