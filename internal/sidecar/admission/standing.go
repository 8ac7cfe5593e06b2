package admission

import (
	"maps"
	"time"
)

// account is what one tenant's requests of one class have had of the back end.
type account struct {
	class  *class
	tenant string
	// virtualTime is for how long its requests have held slots, by the virtual clock of its class: a tenant
	// that comes anew begins where those are who are being served.
	virtualTime time.Duration
	// held is for how long they have held slots in all.
	held time.Duration
	// running and waiting are its requests, idle is since when it has had none.
	running, waiting int
	idleSince        time.Time
	// flows are those in which it waits, at most one a level.
	flows []*flow
}

// class holds the standings of tenants that compete with each other: those of one priority, or of
// calls that running requests wait for.
type class struct {
	// virtualClock is what the tenant had had whose request got a slot last, and never goes back.
	virtualClock time.Duration
	tenants      map[string]*account
	// kinds are those that have come, one a magnitude.
	kinds []*kind
	// forgotten is for how long requests held slots whose tenants are forgotten.
	forgotten time.Duration
	// sweepThreshold is how many tenants there are when the next sweep is due.
	sweepThreshold int
	// unnamed is of all requests without a tenant. Each of them counts as a tenant of its own.
	unnamed account
}

// accounts are those of all tenants at one back end. Their owner holds the lock.
type accounts struct {
	classes map[int]*class
}

const (
	// nestedClass is the class of calls that running requests wait for; others go by priority.
	nestedClass = -1
	// accountRetention is after what time without requests a tenant is forgotten: what it has had
	// before says nothing of the room there is now.
	accountRetention = 10 * time.Second
	// Between minSweepThreshold and maxTenants a sweep is due when the tenants of a class have doubled;
	// one of maxTenants forgets all without requests.
	minSweepThreshold, maxTenants = 256, 4096
	// maxClasses is from how many classes on those without requests are forgotten.
	maxClasses = 64
)

// accountFor returns the standing of the ticket's tenant for a request that comes now.
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

// idle reports whether no request of the class is there.
func (c *class) idle() bool {
	for _, held := range c.tenants {
		if held.running > 0 || held.waiting > 0 {
			return false
		}
	}
	return c.unnamed.running == 0 && c.unnamed.waiting == 0
}

// tenantAccount returns the standing tenantAccount a tenant.
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

// sweep forgets tenants without requests: those whose standing says nothing, or is old.
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

// hasTenant reports whether the standing is that of one tenant.
func (s *account) hasTenant() bool { return s.tenant != "" }

// flow returns the one of the level, nil when the tenant does not wait there.
func (s *account) flow(level int) *flow {
	for _, candidate := range s.flows {
		if candidate.level.number == level {
			return candidate
		}
	}
	return nil
}

// begin charges the tenant for a request that gets a slot. beside is how many of its requests waited
// with it, itself included; zero when it did not wait. byTurn: no other tenant whose turn it was
// waits. Otherwise the clock stays: a tenant that comes then would begin behind all of those.
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

// charge adds to what the tenant has had.
func (s *account) charge(change time.Duration) {
	s.virtualTime += change
	for _, tenantFlow := range s.flows {
		tenantFlow.level.recordCharge(tenantFlow, change)
	}
}
