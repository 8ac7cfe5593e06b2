package egress

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/evacuation"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// nearSubset and farSubset limit how many back ends of a service a node considers in its own
	// zone and in other zones. Without a limit the time of a choice and the connections of a back
	// end would grow with the size of the mesh.
	nearSubset = 24
	farSubset  = 16
	// maxChain bounds the subsets of a service. The later ones are considered only by requests that
	// would be refused otherwise, each of which may describe all back ends in them.
	maxChain = 3
)

// subsetKey identifies a subset by service, version selection and allowed regions.
type subsetKey struct{ service, selection, regions string }

// subset holds the back ends of one service that a node considers. It is immutable.
type subset struct {
	// records holds those of the node's zone first.
	records []*roster.Record
	// near is the number in the node's zone, ready the number of all that accept work.
	near, ready int
	// source is the list of the service's records that it was chosen from, evacuated the zones that
	// were excluded.
	source    []*roster.Record
	evacuated *evacuation.Zones
	// next holds back ends that are considered only where none of this subset is left; nil for none.
	next *subset
}

// chosenFrom reports whether the subset was chosen from this very list, not an equal one, and the
// same evacuated zones.
func (s *subset) chosenFrom(list []*roster.Record, evacuated *evacuation.Zones) bool {
	if s.evacuated != evacuated || len(s.source) != len(list) {
		return false
	}
	return len(list) == 0 || &s.source[0] == &list[0]
}

// maxSubsets limits the cached subsets: selections and regions come and go.
const maxSubsets = 512

// subset returns the back ends of the service that the node considers, of those that are selected
// and in the allowed regions. It is recomputed when a record of the service or the evacuated zones
// have changed; changed records of other services cost nothing.
func (h *Handler) subset(view *roster.View, service string, selected rollout.Selection, allowed regions) *subset {
	source, evacuated := view.Service(service), h.options.Evacuated()
	key := subsetKey{service: service, selection: selected.Key, regions: allowed.key}
	if found, known := h.subsets.Load(key); known && found.(*subset).chosenFrom(source, evacuated) {
		return found.(*subset)
	}
	records := admitted(source, selected)
	if evacuated != nil || !allowed.all() {
		records = slices.DeleteFunc(slices.Clone(records), func(record *roster.Record) bool {
			return evacuated.Contains(record.Zone) || !allowed.contains(h.options.Regions[record.Zone])
		})
	}
	chosen := chooseSubset(records, h.options.Node, location{zone: h.options.Zone, regions: h.options.Regions})
	chosen.source, chosen.evacuated = source, evacuated
	if h.subsetCount.Add(1) > maxSubsets {
		h.subsets.Clear()
		h.subsetCount.Store(0)
	}
	h.subsets.Store(key, chosen)
	return chosen
}

// admitted returns the records that are selected.
func admitted(records []*roster.Record, selection rollout.Selection) []*roster.Record {
	if selection.Admits == nil {
		return records
	}
	var found []*roster.Record
	for _, record := range records {
		if selection.Admits(record) {
			found = append(found, record)
		}
	}
	return found
}

// ranked is a record with its sort key.
type ranked struct {
	record *roster.Record
	// unavailable: it accepts no new work now. distance is 0 in the zone, 1 in the region, 2
	// beyond. hash is of the pair of nodes, so that each node considers its own set, which changes
	// little when back ends come and go.
	unavailable bool
	distance    int
	hash        uint64
}

// chooseSubset returns at most nearSubset records of the zone and farSubset of other zones, those
// of the region first, and as many others in each of the subsets after it. Records that accept no work come last,
// and those whose back end is gone are left out.
func chooseSubset(records []*roster.Record, self string, origin location) *subset {
	var near, far []ranked
	for _, record := range records {
		if record.BackendAbsent() {
			continue
		}
		if candidate := rank(record, self, origin); candidate.distance == 0 {
			near = append(near, candidate)
		} else {
			far = append(far, candidate)
		}
	}
	slices.SortFunc(near, compareRanks)
	slices.SortFunc(far, compareRanks)
	chosen := newSubset(near, far)
	for last, count := chosen, 1; count < maxChain && (len(near) > nearSubset || len(far) > farSubset); last, count = last.next, count+1 {
		near, far = availableAfter(near, nearSubset), availableAfter(far, farSubset)
		last.next = newSubset(near, far)
	}
	return chosen
}

// newSubset returns the best ranked records as a subset.
func newSubset(near, far []ranked) *subset {
	near, far = near[:min(len(near), nearSubset)], far[:min(len(far), farSubset)]
	chosen := &subset{near: len(near), records: make([]*roster.Record, 0, len(near)+len(far))}
	for _, candidate := range slices.Concat(near, far) {
		chosen.records = append(chosen.records, candidate.record)
		if !candidate.unavailable {
			chosen.ready++
		}
	}
	return chosen
}

// availableAfter returns the records after the first ones that accept work.
func availableAfter(all []ranked, first int) []ranked {
	rest := all[min(len(all), first):]
	if end := slices.IndexFunc(rest, func(candidate ranked) bool { return candidate.unavailable }); end >= 0 {
		rest = rest[:end]
	}
	return rest
}

func rank(record *roster.Record, self string, origin location) ranked {
	result := ranked{record: record, unavailable: !record.AcceptsWork(), hash: xxhash.Sum64String(self + "\x00" + record.Node)}
	switch {
	case record.Zone == origin.zone:
	case origin.crossesRegion(record.Zone):
		result.distance = 2
	default:
		result.distance = 1
	}
	return result
}

func compareRanks(a, b ranked) int {
	if a.unavailable != b.unavailable {
		if a.unavailable {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.hash, b.hash))
}
