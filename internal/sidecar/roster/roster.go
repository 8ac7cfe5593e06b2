package roster

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
		if record.gone() {
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
	return digest.Sum64()
}

// Roster merges records. It is safe for concurrent use; reads take no lock.
type Roster struct {
	self string
	view atomic.Pointer[View]

	mutex     sync.Mutex // guards all below and the replacement of view
	records   map[string]*Record
	observers []func(changed []*Record)
	// published is when the view was last replaced, delayed whether that is still
	// to be done after changes.
	published time.Time
	delayed   bool
	// gone says since when a record is known to be of a node that does not come
	// back; used by Forget alone.
	gone map[string]time.Time
}

// New returns a roster that holds the node's own first record.
func New(own Record) *Roster {
	created := &Roster{self: own.Node, records: map[string]*Record{own.Node: &own}, gone: map[string]time.Time{}}
	created.publish()
	return created
}

// View returns the current state.
func (r *Roster) View() *View { return r.view.Load() }

// Own returns the node's own record.
func (r *Roster) Own() *Record { return r.View().Record(r.self) }

// Observe has the function called after each change, with the lock held, so
// that changes arrive in order. It must not block.
func (r *Roster) Observe(observer func(changed []*Record)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observers = append(r.observers, observer)
}

// Merge takes in records of others. A record of this node from an earlier life,
// or one that is ahead of it, raises the node's own epoch above it and hands
// over what that life knew of the back end.
func (r *Roster) Merge(records []*Record) (changed []*Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, record := range records {
		if record == nil || record.Node == "" {
			continue
		}
		if record.Node == r.self {
			changed = append(changed, r.refute(record)...)
			continue
		}
		held := r.records[record.Node]
		if held == nil && record.gone() {
			continue // forgotten, or never to be known
		}
		if held == nil || record.Newer(held) {
			r.records[record.Node] = record
			changed = append(changed, record)
		}
	}
	r.announce(changed)
	return changed
}

// goneKept is how long the record of a node whose back end has ended is kept: a
// process that starts anew beside it hears from others what has ended.
const goneKept = 5 * time.Minute

// Forget drops the records of other nodes whose back end has been gone for long,
// and returns their names. It is to be called from time to time.
func (r *Roster) Forget(now time.Time) (forgotten []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for node, record := range r.records {
		if node == r.self || !record.gone() {
			delete(r.gone, node)
			continue
		}
		since, known := r.gone[node]
		switch {
		case !known:
			r.gone[node] = now
		case now.Sub(since) >= goneKept:
			delete(r.gone, node)
			delete(r.records, node)
			forgotten = append(forgotten, node)
		}
	}
	if len(forgotten) > 0 {
		r.publish()
	}
	return forgotten
}

// refute puts the own record above one that an earlier life left behind.
func (r *Roster) refute(remembered *Record) []*Record {
	own := *r.records[r.self]
	if !remembered.Newer(&own) {
		return nil
	}
	own.Epoch = remembered.Epoch + 1
	for _, id := range remembered.Ended {
		if !own.HasEnded(id) {
			own.Ended = appendEnded(own.Ended, id)
		}
	}
	own.Endpoint = inherited(own, remembered.Endpoint)
	r.records[r.self] = &own
	return []*Record{&own}
}

// inherited decides which back end the node has after an earlier life's record
// came to light: what was heard in this life, unless the earlier one knows that
// it has ended or heard a later word of it.
func inherited(own Record, remembered *Endpoint) *Endpoint {
	held := own.Endpoint
	switch {
	case remembered == nil:
		return held
	case held == nil:
		return remembered
	case held.ID == remembered.ID && (remembered.Sequence > held.Sequence || remembered.State == Gone):
		return remembered
	case own.HasEnded(held.ID):
		gone := *held
		gone.State = Gone
		return &gone
	}
	return held
}

// Update replaces the own record by what the function makes of it, under the
// next counter, when the function reports a change.
func (r *Roster) Update(change func(Record) (Record, bool)) (own *Record, changed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next, changed := change(*r.records[r.self])
	if changed {
		next.Counter++
	}
	r.records[r.self] = &next
	if changed {
		r.announce([]*Record{&next})
	}
	return &next, changed
}

const (
	// immediate is the size of a view up to which each change replaces it at once.
	// Replacing it takes time in proportion to the size; of a larger one changes
	// of others in quick succession are taken together.
	immediate = 512
	// publishPause is the time between two replacements then.
	publishPause = 50 * time.Millisecond
)

// announce publishes the view and tells the observers; the lock is held.
func (r *Roster) announce(changed []*Record) {
	if len(changed) == 0 {
		return
	}
	r.publishSoon(changed)
	for _, observer := range r.observers {
		observer(changed)
	}
}

// publishSoon replaces the view now, or within publishPause when it is large and
// was replaced just before. A change of the own record never waits.
func (r *Roster) publishSoon(changed []*Record) {
	own := slices.ContainsFunc(changed, func(record *Record) bool { return record.Node == r.self })
	since := time.Since(r.published)
	switch {
	case own || r.View().Count() <= immediate || since >= publishPause:
		r.publish()
	case !r.delayed:
		r.delayed = true
		time.AfterFunc(publishPause-since, r.publishDelayed)
	}
}

func (r *Roster) publishDelayed() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.delayed {
		r.publish()
	}
}

func (r *Roster) publish() {
	r.published, r.delayed = time.Now(), false
	view := &View{records: maps.Clone(r.records), services: map[string][]*Record{}, zones: map[string][]*Record{}}
	for _, record := range view.Records() {
		view.zones[record.Zone] = append(view.zones[record.Zone], record)
		if !record.gone() {
			view.digest ^= record.digest()
			view.present++
		}
		if record.Endpoint != nil {
			service := record.Endpoint.Service
			view.services[service] = append(view.services[service], record)
		}
	}
	r.view.Store(view)
}
