package admission

import (
	"maps"
	"time"
)

// standing is what one tenant's requests of one class have had of the back end.
type standing struct {
	class  *class
	tenant string
	// had is for how long its requests have held slots, by the virtual clock of its class: a tenant
	// that comes anew begins where those are who are being served.
	had time.Duration
	// held is for how long they have held slots in all.
	held time.Duration
	// running and waiting are its requests, idle is since when it has had none.
	running, waiting int
	idle             time.Time
	// flows are those in which it waits, at most one a level.
	flows []*flow
}

// class holds the standings of tenants that compete with each other: those of one priority, or of
// calls that running requests wait for.
type class struct {
	// clock is what the tenant had had whose request got a slot last, and never goes back.
	clock   time.Duration
	tenants map[string]*standing
	// kinds are those that have come, one a magnitude.
	kinds []*kind
	// forgotten is for how long requests held slots whose tenants are forgotten.
	forgotten time.Duration
	// sweepAt is how many tenants there are when the next sweep is due.
	sweepAt int
	// unnamed is of all requests without a tenant. Each of them counts as a tenant of its own.
	unnamed standing
}

// standings are those of all tenants at one back end. Their owner holds the lock.
type standings struct {
	classes map[int]*class
}

const (
	// nestedClass is the class of calls that running requests wait for; others go by priority.
	nestedClass = -1
	// forgetAfter is after what time without requests a tenant is forgotten: what it has had
	// before says nothing of the room there is now.
	forgetAfter = 10 * time.Second
	// Between leastSweep and mostTenants a sweep is due when the tenants of a class have doubled;
	// one of mostTenants forgets all without requests.
	leastSweep, mostTenants = 256, 4096
	// mostClasses is from how many classes on those without requests are forgotten.
	mostClasses = 64
)

// join returns the standing of the ticket's tenant for a request that comes now.
func (s *standings) join(ticket RequestInfo, now time.Time) *standing {
	competes := s.classOf(ticket)
	held := &competes.unnamed
	if ticket.Tenant != "" {
		held = competes.of(ticket.Tenant, now)
	}
	if held.waiting == 0 {
		held.had = max(held.had, competes.clock)
	}
	return held
}

func (s *standings) classOf(ticket RequestInfo) *class {
	number := ticket.Priority
	if ticket.Nested {
		number = nestedClass
	}
	held := s.classes[number]
	if held == nil {
		if len(s.classes) >= mostClasses {
			maps.DeleteFunc(s.classes, func(_ int, held *class) bool { return held.idle() })
		}
		held = &class{tenants: map[string]*standing{}, sweepAt: leastSweep}
		held.unnamed.class = held
		if s.classes == nil {
			s.classes = map[int]*class{}
		}
		s.classes[number] = held
	}
	return held
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

// of returns the standing of a tenant.
func (c *class) of(tenant string, now time.Time) *standing {
	held := c.tenants[tenant]
	if held != nil {
		return held
	}
	if len(c.tenants) >= c.sweepAt {
		c.sweep(now)
	}
	held = &standing{class: c, tenant: tenant, idle: now}
	c.tenants[tenant] = held
	return held
}

// sweep forgets tenants without requests: those whose standing says nothing, or is old.
func (c *class) sweep(now time.Time) {
	full := len(c.tenants) >= mostTenants
	maps.DeleteFunc(c.tenants, func(_ string, held *standing) bool {
		if held.running > 0 || held.waiting > 0 {
			return false
		}
		if !full && held.had > c.clock && now.Sub(held.idle) < forgetAfter {
			return false
		}
		c.forgotten += held.held
		return true
	})
	c.sweepAt = max(2*len(c.tenants), leastSweep)
	if len(c.tenants) < mostTenants {
		c.sweepAt = min(c.sweepAt, mostTenants)
	}
}

// named reports whether the standing is that of one tenant.
func (s *standing) named() bool { return s.tenant != "" }

// flow returns the one of the level, nil when the tenant does not wait there.
func (s *standing) flow(level int) *flow {
	for _, held := range s.flows {
		if held.level.number == level {
			return held
		}
	}
	return nil
}

// begin charges the tenant for a request that gets a slot. beside is how many of its requests waited
// with it, itself included; zero when it did not wait. byTurn: no other tenant whose turn it was
// waits. Otherwise the clock stays: a tenant that comes then would begin behind all of those.
func (s *standing) begin(entry *waiter, beside int, byTurn bool) {
	if byTurn {
		s.class.clock = max(s.class.clock, s.had)
	}
	s.running++
	switch {
	case s.named():
		entry.charged = entry.work
	case beside > 0:
		entry.charged = entry.work / time.Duration(beside)
	}
	s.charge(entry.charged)
}

// end corrects the charge once the slot is free.
func (s *standing) end(entry *waiter, held time.Duration, now time.Time) {
	s.running--
	s.idle = now
	s.held += held
	if s.named() {
		s.charge(held - entry.charged)
	}
}

// charge adds to what the tenant has had.
func (s *standing) charge(change time.Duration) {
	s.had += change
	for _, waitsIn := range s.flows {
		waitsIn.level.charged(waitsIn, change)
	}
}
