package roster

import (
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"maps"
	"slices"
	"time"
)

const (
	// maxImmediateSize is the size of a view up to which every change replaces it at once.
	// Replacing a view takes time proportional to its size, so in larger ones changes to other
	// nodes' records in quick succession are coalesced.
	maxImmediateSize = 512
	// publishInterval is the minimum time between two replacements of a larger view.
	publishInterval = 50 * time.Millisecond
)

// Batch runs a function and replaces the view once, when it returns, instead of after every change.
// A node that reads 1,000 records one by one would otherwise build as many views of up to that
// size.
func (r *Roster) Batch(change func()) {
	r.mutex.Lock()
	r.batchDepth++
	r.mutex.Unlock()
	defer func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.batchDepth--
		r.publish()
	}()
	change()
}

// publishAndNotify replaces the view and calls the observers. The lock must be held.
func (r *Roster) publishAndNotify(changed []*Record) {
	if len(changed) == 0 {
		return
	}
	r.schedulePublish(changed)
	for _, observer := range r.observers {
		observer(changed)
	}
}

// schedulePublish replaces the view now, or within publishInterval if it is large and was replaced
// recently. A change of the node's own record is never delayed.
func (r *Roster) schedulePublish(changed []*Record) {
	if r.batchDepth > 0 {
		return
	}
	own := slices.ContainsFunc(changed, func(record *Record) bool { return record.Node == r.self })
	since := clock.Since(r.published)
	switch {
	case own || r.View().Count() <= maxImmediateSize || since >= publishInterval:
		r.publish()
	case !r.publishPending:
		r.publishPending = true
		time.AfterFunc(publishInterval-since, r.publishDelayed)
	}
}

func (r *Roster) publishDelayed() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.publishPending {
		r.publish()
	}
}

// rebuildDivisor is the fraction of the records, 1/4, from which on a view is rebuilt when that
// many changed together. Sorting the lists once is then cheaper than inserting in many places.
const rebuildDivisor = 4

// publish replaces the view at a cost proportional to what changed: the lists of the affected zones
// and services are copied, all others are shared with the previous view. Rebuilding the view each
// time takes many times as long and as much memory (BenchmarkIncrementalView, BenchmarkRebuiltView).
func (r *Roster) publish() {
	r.published, r.publishPending = clock.Now(), false
	if len(r.dirty)*rebuildDivisor >= len(r.records) {
		r.view.Store(newView(slices.Collect(maps.Values(r.records))))
	} else {
		r.view.Store(r.View().with(r.dirty, r.records))
	}
	clear(r.dirty)
}
