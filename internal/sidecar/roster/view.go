package roster

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// View is one state of the roster. It is immutable.
type View struct {
	records map[string]*Record
	// services and zones hold the records by the service and the zone of their
	// node, each list ordered by node name.
	services map[string][]*Record
	zones    map[string][]*Record
	// present counts the nodes whose back end has not ended for good.
	present int
	digest  uint64
}

// Digest is equal for views that are equal but for nodes whose back end is gone.
func (v *View) Digest() uint64 { return v.digest }

// Record returns a node's record or nil.
func (v *View) Record(node string) *Record { return v.records[node] }

// Service returns the records whose back end is of the service, by node name.
func (v *View) Service(name string) []*Record { return v.services[name] }

// Zone returns the records of the nodes in the zone, by node name.
func (v *View) Zone(name string) []*Record { return v.zones[name] }

// Zones returns the names of the zones that have nodes, in order.
func (v *View) Zones() []string { return slices.Sorted(maps.Keys(v.zones)) }

// Present returns how many nodes are known whose back end has not ended for
// good. A node whose back end has ended sends no requests for long.
func (v *View) Present() int { return v.present }

// Count returns how many nodes are known.
func (v *View) Count() int { return len(v.records) }

// Records returns all records by node name.
func (v *View) Records() []*Record {
	list := make([]*Record, 0, len(v.records))
	for _, node := range slices.Sorted(maps.Keys(v.records)) {
		list = append(list, v.records[node])
	}
	return list
}

// Buckets divides the records by a hash of their node into that many buckets and
// returns a digest of each. Two rosters differ just in the buckets whose digests
// differ. Nodes whose back end is gone do not count: each node forgets them in
// its own time.
func (v *View) Buckets(count int) []uint32 {
	digests := make([]uint32, count)
	for node, record := range v.records {
		if record.Gone() {
			continue
		}
		digests[bucketOf(node, count)] ^= uint32(record.digest())
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
	for node, record := range v.records {
		if wanted[bucketOf(node, count)] {
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
	if r.Life != 0 {
		var life [8]byte
		binary.LittleEndian.PutUint64(life[:], r.Life)
		_, _ = digest.Write(life[:])
	}
	return digest.Sum64()
}
