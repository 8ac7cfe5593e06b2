package roster

import (
	"encoding/binary"
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is one state of the roster. It is immutable; views share the lists that are equal.
type View struct {
	// services and zones hold the records by the service and the zone of their
	// node, each list ordered by node name. A list that is there has a record.
	services, zones map[string][]*Record
	// count is how many nodes are known, live how many of them whose back end has not ended for
	// good.
	count, live int
	digest      uint64
}

// newView returns the view of the records, in any order.
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

// with returns the view after the nodes' records have become those in the map; one that is not
// there any more is left out.
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

// addToTotals adds a record to the sums, or takes it out.
func (v *View) addToTotals(record *Record, sign int) {
	v.count += sign
	if !record.Gone() {
		v.digest ^= record.digest()
		v.live += sign
	}
}

// service returns the service of the node's back end; false without one.
func (r *Record) service() (name string, has bool) {
	if r.Endpoint == nil {
		return "", false
	}
	return r.Endpoint.Service, true
}

func compareNodes(a, b *Record) int { return strings.Compare(a.Node, b.Node) }

// search returns where a node is in a list ordered by name, or belongs.
func search(list []*Record, node string) (int, bool) {
	return slices.BinarySearchFunc(list, node, func(record *Record, node string) int { return strings.Compare(record.Node, node) })
}

// edits change lists of a view that is being made. Each is copied once.
type edits struct {
	lists  map[string][]*Record
	copied map[string]bool
}

func newEdits(lists map[string][]*Record) *edits {
	return &edits{lists: lists, copied: map[string]bool{}}
}

// editable returns a list that may be changed.
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

// Digest is equal for views that are equal but for nodes whose back end is gone.
func (v *View) Digest() uint64 { return v.digest }

// Record returns a node's record or nil. There are few zones.
func (v *View) Record(node string) *Record {
	for _, list := range v.zones {
		if index, found := search(list, node); found {
			return list[index]
		}
	}
	return nil
}

// Service returns the records whose back end is of the service, by node name. The list is the same
// one while none of them changes.
func (v *View) Service(name string) []*Record { return v.services[name] }

// Zone returns the records of the nodes in the zone, by node name.
func (v *View) Zone(name string) []*Record { return v.zones[name] }

// Zones returns the names of the zones that have nodes, in order.
func (v *View) Zones() []string { return slices.Sorted(maps.Keys(v.zones)) }

// LiveCount returns how many nodes are known whose back end has not ended for
// good. A node whose back end has ended sends no requests for long.
func (v *View) LiveCount() int { return v.live }

// Count returns how many nodes are known.
func (v *View) Count() int { return v.count }

// Records returns all records by node name.
func (v *View) Records() []*Record {
	list := slices.AppendSeq(make([]*Record, 0, v.count), v.all())
	slices.SortFunc(list, compareNodes)
	return list
}

// all returns all records, in any order.
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

// Buckets divides the records by a hash of their node into that many buckets and
// returns a digest of each. Two rosters differ just in the buckets whose digests
// differ. Nodes whose back end is gone do not count: each node forgets them in
// its own time.
func (v *View) Buckets(count int) []uint32 {
	digests := make([]uint32, count)
	for record := range v.all() {
		if !record.Gone() {
			digests[bucketOf(record.Node, count)] ^= uint32(record.digest())
		}
	}
	return digests
}

// InBuckets returns the records that lie in the given ones of that many buckets.
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

// digest is equal for equal versions of one node's record.
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
