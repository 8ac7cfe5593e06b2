package egress

import (
	"slices"
	"strings"
)

// regions is the set of regions in which a request may be served. The zero value allows all. It is
// immutable.
type regions struct {
	// key identifies the set; empty for all regions.
	key   string
	names []string
}

// regionsOf returns the intersection of the lists; an empty list allows every region. Lists without
// a common region allow none.
func regionsOf(lists ...[]string) (allowed regions) {
	bounded := false
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !bounded:
			bounded, allowed.names = true, list
		default:
			allowed.names = slices.DeleteFunc(slices.Clone(allowed.names), func(name string) bool { return !slices.Contains(list, name) })
		}
	}
	if bounded {
		allowed.key = "in " + strings.Join(allowed.names, "\x00")
	}
	return allowed
}

// all reports whether every region is allowed.
func (r regions) all() bool { return r.key == "" }

// contains reports whether the region is allowed. An unknown region is allowed only if all are.
func (r regions) contains(region string) bool { return r.all() || slices.Contains(r.names, region) }

// regions returns the regions in which the request may be served.
func (c *call) regions() regions {
	if c.tenant == nil {
		return regionsOf(c.route.AllowedRegions)
	}
	return regionsOf(c.route.AllowedRegions, c.tenant.AllowedRegions)
}
