// Package shares answers the load of tenants that ask for more than their share of a service's room
// while it is not enough for all. The node beside each back end works out the max-min share from what is offered
// and what gets room there, and tells with its replies to a tenant's requests which part of them is
// within the share. Callers' nodes mark the rest as above it, so that those give way at every back end
// and need not be sent. A request that is not marked tells of which part it is, so that what is marked, or
// not sent at all, is known to be offered too. The package is pure: the caller brings the time.
package shares

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// FullFraction is the part of a tenant's requests that is within its share where nothing else is known.
const FullFraction = 1.0

const (
	// leastPart is the smallest part: some requests always tell what is offered.
	minFraction = 0.02
	// partUnits make a whole number of a part.
	fractionUnits = 1000
)

// FormatFraction writes a part as the value of a header, empty for Whole.
func FormatFraction(fraction float64) string {
	if units := int64(fraction * fractionUnits); units < fractionUnits {
		return strconv.FormatInt(units, 10)
	}
	return ""
}

// ParseFraction reads the value of a header. What no node writes is Whole: nodes of the version before
// tell nothing.
func ParseFraction(text string) float64 {
	units, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return FullFraction
	}
	return clampFraction(float64(units) / fractionUnits)
}

func clampFraction(fraction float64) float64 { return min(max(fraction, minFraction), FullFraction) }

// Allocation is what a back end's node tells of a tenant: the most that one tenant may have of what gets
// room there, and what this one asks for. The zero value says that there is room for all.
type Allocation struct{ Share, Demand time.Duration }

// roomForAll is the zero value as a header.
const unlimitedHeader = "0"

// Format writes the standing as the value of a header.
func (s Allocation) Format() string {
	if s == (Allocation{}) {
		return unlimitedHeader
	}
	line := strconv.AppendInt(make([]byte, 0, 32), s.Share.Microseconds(), 10)
	return string(strconv.AppendInt(append(line, ' '), s.Demand.Microseconds(), 10))
}

// ParseAllocation reads the value of a header. What no node writes is the zero value.
func ParseAllocation(text string) Allocation {
	share, demand, found := strings.Cut(text, " ")
	const bits = 40 // of microseconds: some days
	shareMicros, shareErr := strconv.ParseUint(share, 10, bits)
	demandMicros, demandErr := strconv.ParseUint(demand, 10, bits)
	if !found || shareErr != nil || demandErr != nil {
		return Allocation{}
	}
	return Allocation{Share: time.Duration(shareMicros) * time.Microsecond, Demand: time.Duration(demandMicros) * time.Microsecond}
}

const (
	// window is how often shares are worked out, and for how long at least demand is counted.
	window = 250 * time.Millisecond
	// kept is which part of what was counted is kept from one window to the next: a back end gets a few
	// requests of a tenant in each.
	retained = 0.75
	// forgottenBelow is what a tenant's demand has faded to when it is forgotten.
	minDemand = time.Millisecond
	// fullFrom is which part of the demand has to get room for nobody to be above its share.
	sufficientFraction = 0.97
	// silentAfter is after what time without requests all is forgotten.
	idleTimeout = 2 * time.Second
	// mostTenants bounds the tenants of a class; others are taken for within their shares.
	maxTenants = 4096
	// mostClasses bounds the priorities: from then on those that are silent are forgotten.
	maxClasses = 64
)

// Meter works out the shares at one back end. The zero value is ready. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex // guards all below
	classes map[int]*class
}

// class are requests of one priority.
type class struct {
	// demands are by tenant, served what got room of all together.
	demands map[string]*demand
	served  float64
	// share is the most that a tenant may have of what gets room, infinite while there is enough.
	share float64
	// folded is when shares were worked out last.
	updatedAt time.Time
	// sorted is used again.
	scratch []float64
}

// demand is what a tenant offers: work in nanoseconds, in the present window and faded from those before.
type demand struct{ now, decayed float64 }

// RecordArrival takes in that a request of a tenant came that was not marked. part is that of the tenant's
// requests which its node does not mark.
func (m *Meter) RecordArrival(priority int, tenant string, work time.Duration, fraction float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	requests := m.class(priority, now)
	tenantDemand := requests.demands[tenant]
	if tenantDemand == nil {
		if len(requests.demands) >= maxTenants {
			return
		}
		tenantDemand = &demand{}
		requests.demands[tenant] = tenantDemand
	}
	tenantDemand.now += float64(work) / clampFraction(fraction)
}

// RecordServed takes in that a request of some tenant got a slot.
func (m *Meter) RecordServed(priority int, work time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.class(priority, now).served += float64(work)
}

// Allocation returns that of a tenant, the zero value while there is room for all.
func (m *Meter) Allocation(priority int, tenant string, now time.Time) Allocation {
	m.mu.Lock()
	defer m.mu.Unlock()
	requests := m.class(priority, now)
	if math.IsInf(requests.share, 1) {
		return Allocation{}
	}
	allocation := Allocation{Share: time.Duration(requests.share)}
	if tenantDemand := requests.demands[tenant]; tenantDemand != nil {
		allocation.Demand = time.Duration(tenantDemand.decayed)
	}
	return allocation
}

// class returns that of the priority, with the shares of now.
func (m *Meter) class(priority int, now time.Time) *class {
	found := m.classes[priority]
	if found == nil {
		if m.classes == nil {
			m.classes = map[int]*class{}
		}
		if len(m.classes) >= maxClasses {
			m.evictClasses(now)
		}
		found = &class{demands: map[string]*demand{}, share: math.Inf(1), updatedAt: now}
		m.classes[priority] = found
	}
	if elapsed := now.Sub(found.updatedAt); elapsed >= window {
		found.update(elapsed)
		found.updatedAt = now
	}
	return found
}

// makeRoom forgets the classes that are silent, or all when none is: what they knew is worked out anew.
func (m *Meter) evictClasses(now time.Time) {
	maps.DeleteFunc(m.classes, func(_ int, requests *class) bool { return now.Sub(requests.updatedAt) >= idleTimeout })
	if len(m.classes) >= maxClasses {
		clear(m.classes)
	}
}

// fold ends a window.
func (c *class) update(elapsed time.Duration) {
	if elapsed >= idleTimeout {
		clear(c.demands)
		c.served, c.share = 0, math.Inf(1)
		return
	}
	retainedFraction := math.Pow(retained, float64(elapsed)/float64(window))
	total := 0.0
	c.scratch = c.scratch[:0]
	for tenant, tenantDemand := range c.demands {
		tenantDemand.decayed = tenantDemand.decayed*retainedFraction + tenantDemand.now
		tenantDemand.now = 0
		if tenantDemand.decayed < float64(minDemand) {
			delete(c.demands, tenant)
			continue
		}
		total += tenantDemand.decayed
		c.scratch = append(c.scratch, tenantDemand.decayed)
	}
	c.share = math.Inf(1)
	if c.served < total*sufficientFraction {
		slices.Sort(c.scratch)
		c.share = MaxMin(c.scratch, c.served)
	}
	c.served *= retainedFraction
}

// MaxMin returns the largest share of the room that nobody exceeds when demands in ascending order
// are served up to it, infinite when there is room for all.
func MaxMin(demands []float64, room float64) float64 {
	for i, demand := range demands {
		share := room / float64(len(demands)-i)
		if demand > share {
			return share
		}
		room -= demand
	}
	return math.Inf(1)
}
