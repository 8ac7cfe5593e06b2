package roster

import (
	"encoding/binary"
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the roster. Consecutive views share unchanged lists.
type View struct {
	// services and zones hold the records by service and zone, each list ordered by node name and
	// never empty.
	services, zones map[string][]*Record
	// count is the number of known nodes, live the number of those whose back end has not ended.
	count, live int
	digest      uint64
}

// newView builds a view from records in any order.
func newView(records []*Record) *View {
	view := &View{services: map[string][]*Record{}, zones: map[string][]*Record{}}
	slices.SortFunc(records, compareNodes)
	for _, record := range records {
		view.addToTotals(record, 1)
		view.zones[record.Zone] = append(view.zones[record.Zone], record)
		if service, has := record.service(); has {
			view.services[service] = append(view.services[service], record)
		}
	}
	return view
}

// with returns the view after the records of the changed nodes have become those in the map. A node
// without a record there is removed.
func (v *View) with(changed map[string]struct{}, records map[string]*Record) *View {
	next := &View{services: maps.Clone(v.services), zones: maps.Clone(v.zones), count: v.count, live: v.live, digest: v.digest}
	zones, services := newEdits(next.zones), newEdits(next.services)
	for node := range changed {
		before, after := v.Record(node), records[node]
		if before != nil {
			next.addToTotals(before, -1)
			zones.remove(before.Zone, before)
			if service, has := before.service(); has {
				services.remove(service, before)
			}
		}
		if after != nil {
			next.addToTotals(after, 1)
			zones.insert(after.Zone, after)
			if service, has := after.service(); has {
				services.insert(service, after)
			}
		}
	}
	return next
}

// addToTotals adds a record to the counts and the digest if sign is 1, and removes it if sign is
// -1.
func (v *View) addToTotals(record *Record, sign int) {
	v.count += sign
	if !record.Gone() {
		v.digest ^= record.digest()
		v.live += sign
	}
}

// service returns the service of the node's back end, and false if there is no back end.
func (r *Record) service() (name string, has bool) {
	if r.Endpoint == nil {
		return "", false
	}
	return r.Endpoint.Service, true
}

func compareNodes(a, b *Record) int { return strings.Compare(a.Node, b.Node) }

// search returns the index of a node in a list ordered by name, or where to insert it.
func search(list []*Record, node string) (int, bool) {
	return slices.BinarySearchFunc(list, node, func(record *Record, node string) int { return strings.Compare(record.Node, node) })
}

// edits changes the lists of a view under construction. Each list is copied on its first change.
type edits struct {
	lists  map[string][]*Record
	copied map[string]bool
}

func newEdits(lists map[string][]*Record) *edits {
	return &edits{lists: lists, copied: map[string]bool{}}
}

// editable returns the list of that name, copied so that it may be changed.
func (e *edits) editable(name string) []*Record {
	if !e.copied[name] {
		e.copied[name] = true
		e.lists[name] = slices.Clone(e.lists[name])
	}
	return e.lists[name]
}

func (e *edits) insert(name string, record *Record) {
	list := e.editable(name)
	index, _ := search(list, record.Node)
	e.lists[name] = slices.Insert(list, index, record)
}

func (e *edits) remove(name string, record *Record) {
	list := e.editable(name)
	if index, found := search(list, record.Node); found {
		list = slices.Delete(list, index, index+1)
	}
	if e.lists[name] = list; len(list) == 0 {
		delete(e.lists, name)
	}
}

// Digest is equal for views that differ at most in nodes whose back end has ended.
func (v *View) Digest() uint64 { return v.digest }

// Record returns a node's record or nil. It searches every zone, as there are few.
func (v *View) Record(node string) *Record {
	for _, list := range v.zones {
		if index, found := search(list, node); found {
			return list[index]
		}
	}
	return nil
}

// Service returns the records whose back end belongs to the service, ordered by node name. The
// slice is the same one until one of the records changes.
func (v *View) Service(name string) []*Record { return v.services[name] }

// Zone returns the records of the nodes in the zone, ordered by node name.
func (v *View) Zone(name string) []*Record { return v.zones[name] }

// Zones returns the names of the zones that have nodes, in order.
func (v *View) Zones() []string { return slices.Sorted(maps.Keys(v.zones)) }

// LiveCount returns the number of known nodes whose back end has not ended. A node sends no
// requests for long after its back end has ended.
func (v *View) LiveCount() int { return v.live }

// Count returns the number of known nodes.
func (v *View) Count() int { return v.count }

// Records returns all records, ordered by node name.
func (v *View) Records() []*Record {
	list := slices.AppendSeq(make([]*Record, 0, v.count), v.all())
	slices.SortFunc(list, compareNodes)
	return list
}

// all iterates over all records in unspecified order.
func (v *View) all() iter.Seq[*Record] {
	return func(yield func(*Record) bool) {
		for _, list := range v.zones {
			for _, record := range list {
				if !yield(record) {
					return
				}
			}
		}
	}
}

// Buckets divides the records into count buckets by a hash of the node name and returns a digest of
// each. Two rosters differ exactly in the buckets whose digests differ. Nodes whose back end has
// ended are excluded, as each roster forgets them at its own time.
func (v *View) Buckets(count int) []uint32 {
	digests := make([]uint32, count)
	for record := range v.all() {
		if !record.Gone() {
			digests[bucketOf(record.Node, count)] ^= uint32(record.digest())
		}
	}
	return digests
}

// InBuckets returns the records in the buckets with the given indices, out of count buckets.
func (v *View) InBuckets(indices []int, count int) []*Record {
	wanted := make(map[int]bool, len(indices))
	for _, index := range indices {
		wanted[index] = true
	}
	var found []*Record
	for record := range v.all() {
		if wanted[bucketOf(record.Node, count)] {
			found = append(found, record)
		}
	}
	return found
}

func bucketOf(node string, count int) int { return int(xxhash.Sum64String(node) % uint64(count)) }

// digest is equal for equal versions of a node's record.
func (r *Record) digest() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Node)
	var versions [16]byte
	binary.LittleEndian.PutUint64(versions[:8], r.Epoch)
	binary.LittleEndian.PutUint64(versions[8:], r.Counter)
	_, _ = digest.Write(versions[:])
	if r.RunID != 0 {
		var life [8]byte
		binary.LittleEndian.PutUint64(life[:], r.RunID)
		_, _ = digest.Write(life[:])
	}
	return digest.Sum64()
}
