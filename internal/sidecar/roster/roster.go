package roster

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Roster merges records. It is safe for concurrent use; reads take no lock.
type Roster struct {
	self string
	// runID is that of this process.
	runID uint64
	view  atomic.Pointer[View]

	mutex   sync.Mutex // guards all below and the replacement of view
	records map[string]*Record
	// dirty are the nodes whose records the view does not show as they are.
	dirty     map[string]struct{}
	observers []func(changed []*Record)
	// published is when the view was last replaced, delayed whether that is still
	// to be done after changes.
	published      time.Time
	publishPending bool
	// batchDepth counts the callers of Together: each of them replaces the view at its end.
	batchDepth int
	// goneSince says since when a record is known to be of a node that does not come
	// back; used by Forget alone.
	goneSince map[string]time.Time
}

// New returns a roster that holds the node's own first record.
func New(own Record) *Roster {
	created := &Roster{self: own.Node, runID: own.RunID, records: map[string]*Record{}, dirty: map[string]struct{}{}, goneSince: map[string]time.Time{}}
	created.view.Store(newView(nil))
	created.set(&own)
	created.publish()
	return created
}

// set replaces a node's record; the lock is held.
func (r *Roster) set(record *Record) {
	r.records[record.Node] = record
	r.dirty[record.Node] = struct{}{}
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
// over what that life knew of the back end and of requests that end back ends.
func (r *Roster) Merge(records []*Record) (changed []*Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, record := range records {
		if record == nil || record.Node == "" {
			continue
		}
		if record.Node == r.self {
			changed = append(changed, r.supersede(record)...)
			continue
		}
		existing := r.records[record.Node]
		if existing == nil && record.Gone() {
			continue // forgotten, or never to be known
		}
		if existing == nil || record.Newer(existing) {
			r.set(record)
			changed = append(changed, record)
		}
	}
	r.publishAndNotify(changed)
	return changed
}

// goneRetention is how long the record of a node whose back end has ended is kept: a
// process that starts anew beside it hears from others what has ended.
const goneRetention = 5 * time.Minute

// Forget drops the records of other nodes whose back end has been gone for long,
// and returns their names. It is to be called from time to time.
func (r *Roster) Forget(now time.Time) (forgotten []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for node, record := range r.records {
		if node == r.self || !record.Gone() {
			delete(r.goneSince, node)
			continue
		}
		since, known := r.goneSince[node]
		switch {
		case !known:
			r.goneSince[node] = now
		case now.Sub(since) >= goneRetention:
			delete(r.goneSince, node)
			delete(r.records, node)
			r.dirty[node] = struct{}{}
			forgotten = append(forgotten, node)
		}
	}
	if len(forgotten) > 0 {
		r.publish()
	}
	return forgotten
}

// Resume takes in what an earlier life of the node left, the newest of several records. A node that
// has said nothing yet goes on with that record unchanged, where nothing about its machine is
// new: where all nodes start again from what they had left, none has news for another, in place of
// a record of each for each. It reports whether the node did; otherwise Merge's rules hold.
func (r *Roster) Resume(previous []*Record) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var newest *Record
	for _, record := range previous {
		if record.Node == r.self && (newest == nil || record.Newer(newest)) {
			newest = record
		}
	}
	if newest == nil {
		return false
	}
	if own := r.records[r.self]; !own.isInitial() || !newest.continuedBy(own) {
		r.publishAndNotify(r.supersede(newest))
		return false
	}
	resumed := *newest
	r.set(&resumed)
	r.publishAndNotify([]*Record{&resumed})
	return true
}

// supersede puts the own record above one that an earlier life left behind.
func (r *Roster) supersede(previous *Record) []*Record {
	own := *r.records[r.self]
	if !previous.Newer(&own) && !previous.conflicts(&own) {
		return nil
	}
	own.Epoch, own.RunID = previous.Epoch+1, r.runID
	for _, ended := range previous.Ended {
		if !slices.Contains(own.Ended, ended) {
			own.Ended = appendEnded(own.Ended, ended)
		}
	}
	own.Endpoint = mergeEndpoint(own, previous.Endpoint)
	own.Evidence = mergeEvidence(own.Evidence, previous.Evidence)
	r.set(&own)
	return []*Record{&own}
}

// mergeEndpoint decides which back end the node has after an earlier life's record
// came to light: what was heard in this life, unless the earlier one knows that
// it has ended or heard a later word of it. One that has ended by the word of either stays so.
func mergeEndpoint(own Record, previous *Endpoint) *Endpoint {
	chosen := laterReport(own.Endpoint, previous)
	if chosen == nil || chosen.State == Gone {
		return chosen
	}
	// An end that was told without the start concerns what was there before.
	endedWithoutStart := chosen != own.Endpoint && own.HasEnded(Incarnation{ID: chosen.ID})
	if !endedWithoutStart && !own.HasEnded(chosen.Incarnation()) {
		return chosen.drainingIfReported(own.Endpoint, previous)
	}
	gone := *chosen
	gone.State = Gone
	return &gone
}

// drainingIfReported returns the back end, which leaves when one of the words on its incarnation says so.
func (e *Endpoint) drainingIfReported(reports ...*Endpoint) *Endpoint {
	for _, report := range reports {
		if e.State == Ready && report != nil && report.State == Draining && report.Incarnation() == e.Incarnation() {
			return e.asDraining()
		}
	}
	return e
}

// laterReport returns which of two words on a back end was said later: that of this life, or the
// remembered one of an earlier life.
func laterReport(current, previous *Endpoint) *Endpoint {
	switch {
	case previous == nil:
		return current
	case current == nil:
		return previous
	case current.Incarnation() == previous.Incarnation() && (previous.Sequence > current.Sequence || previous.State == Gone):
		return previous
	case current.ID == previous.ID && current.Incarnation().before(previous.Incarnation()):
		return previous
	}
	return current
}

// Update replaces the own record by what the function makes of it, under the
// next counter, when the function reports a change.
func (r *Roster) Update(change func(Record) (Record, bool)) (own *Record, changed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next, changed := change(*r.records[r.self])
	if changed {
		next.Counter++
		next.RunID = r.runID
	}
	r.set(&next)
	if changed {
		r.publishAndNotify([]*Record{&next})
	}
	return &next, changed
}
