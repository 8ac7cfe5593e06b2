// Package shares limits tenants that demand more than their max-min fair share of a service
// while capacity is short. The node beside each back end computes the max-min share from the
// demand and the capacity used there, and reports with its replies what fraction of a tenant's
// requests is within the share. Callers' nodes mark the rest as above the share; marked
// requests yield at every back end and need not be sent. A request that is not marked carries
// that fraction, so that the demand of requests that are marked or not sent is known too. The
// package is pure: the caller supplies the time.
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

// FullFraction is the fraction of a tenant's requests that is within its share if nothing is
// known.
const FullFraction = 1.0

const (
	// minFraction is the smallest fraction: some requests are always sent unmarked, to report
	// the demand.
	minFraction = 0.02
	// fractionUnits is the number of units per 1 in which a fraction is written as an integer.
	fractionUnits = 1000
)

// FormatFraction formats a fraction as a header value, empty for FullFraction.
func FormatFraction(fraction float64) string {
	if units := int64(fraction * fractionUnits); units < fractionUnits {
		return strconv.FormatInt(units, 10)
	}
	return ""
}

// ParseFraction parses a header value. A missing or invalid value is FullFraction, since nodes
// of the previous version send none.
func ParseFraction(text string) float64 {
	units, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return FullFraction
	}
	return clampFraction(float64(units) / fractionUnits)
}

func clampFraction(fraction float64) float64 { return min(max(fraction, minFraction), FullFraction) }

// Allocation is the report of a back end's node about a tenant: the maximum that one tenant may use
// of the capacity there, and the tenant's demand. The zero value means that capacity is sufficient
// for all.
type Allocation struct{ Share, Demand time.Duration }

// unlimitedHeader is the header value of the zero Allocation.
const unlimitedHeader = "0"

// Format formats the allocation as a header value.
func (s Allocation) Format() string {
	if s == (Allocation{}) {
		return unlimitedHeader
	}
	line := strconv.AppendInt(make([]byte, 0, 32), s.Share.Microseconds(), 10)
	return string(strconv.AppendInt(append(line, ' '), s.Demand.Microseconds(), 10))
}

// ParseAllocation parses a header value. An invalid value yields the zero Allocation.
func ParseAllocation(text string) Allocation {
	share, demand, found := strings.Cut(text, " ")
	const bits = 40 // of microseconds: about 12.7 days
	shareMicros, shareErr := strconv.ParseUint(share, 10, bits)
	demandMicros, demandErr := strconv.ParseUint(demand, 10, bits)
	if !found || shareErr != nil || demandErr != nil {
		return Allocation{}
	}
	return Allocation{Share: time.Duration(shareMicros) * time.Microsecond, Demand: time.Duration(demandMicros) * time.Microsecond}
}

const (
	// window is the interval at which shares are computed, and the minimum time over which
	// demand is counted.
	window = 250 * time.Millisecond
	// retained is the fraction of the counts that is kept from one window to the next, since a
	// back end gets only a few requests of a tenant in each.
	retained = 0.75
	// minDemand is the decayed demand below which a tenant is removed.
	minDemand = time.Millisecond
	// sufficientFraction is the fraction of the demand that must be served for no tenant to be
	// above its share.
	sufficientFraction = 0.97
	// idleTimeout is the time without requests after which all counts are reset.
	idleTimeout = 2 * time.Second
	// maxTenants bounds the tenants of a class; further ones count as within their shares.
	maxTenants = 4096
	// maxClasses bounds the number of priorities; when it is reached, idle ones are evicted.
	maxClasses = 64
)

// Meter computes the shares at one back end. The zero value is ready to use. It is safe for
// concurrent use.
type Meter struct {
	mu      sync.Mutex // guards all below
	classes map[int]*class
}

// class holds the requests of one priority.
type class struct {
	// demands holds the demand by tenant. served is the work of all tenants that got a slot.
	demands map[string]*demand
	served  float64
	// share is the maximum work that a tenant may have served; infinite while capacity is
	// sufficient.
	share float64
	// updatedAt is the time at which the shares were last computed.
	updatedAt time.Time
	// scratch is a buffer that is reused.
	scratch []float64
}

// demand is the work that a tenant demands, in nanoseconds: in the current window, and the
// decayed sum of those before.
type demand struct{ now, decayed float64 }

// RecordArrival records the arrival of an unmarked request. fraction is the fraction of the
// tenant's requests that its node leaves unmarked.
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

// RecordServed records that a request of any tenant got a slot.
func (m *Meter) RecordServed(priority int, work time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.class(priority, now).served += float64(work)
}

// Allocation returns the allocation of a tenant; the zero value while capacity is sufficient
// for all.
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

// class returns the class of the priority, with its shares up to date.
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

// evictClasses removes idle classes, or all if none is idle; their state is then rebuilt.
func (m *Meter) evictClasses(now time.Time) {
	maps.DeleteFunc(m.classes, func(_ int, requests *class) bool { return now.Sub(requests.updatedAt) >= idleTimeout })
	if len(m.classes) >= maxClasses {
		clear(m.classes)
	}
}

// update ends a window and computes the share.
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

// MaxMin returns the max-min fair share of a capacity: the largest limit at which all demands,
// in ascending order, can be served up to it. It is infinite if the capacity is sufficient for
// all.
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
