package roster

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Roster merges records into a view. It is safe for concurrent use, and reads take no lock.
type Roster struct {
	self string
	// runID identifies this run of the node.
	runID uint64
	view  atomic.Pointer[View]

	mutex   sync.Mutex // guards the fields below and replacing view
	records map[string]*Record
	// service is the service of the node's own back end, empty if it is not known.
	service string
	// dirty are the nodes whose records have changed since the view was built.
	dirty     map[string]struct{}
	observers []func(changed []*Record)
	// published is the time at which the view was last replaced. publishPending means that a
	// replacement is scheduled.
	published      time.Time
	publishPending bool
	// batchDepth counts the running calls of Batch, each of which replaces the view when it ends.
	batchDepth int
	// goneSince is the time at which a record was first seen in the state Gone. Only Forget uses
	// it.
	goneSince map[string]time.Time
}

// New returns a roster that contains the node's own initial record.
func New(own Record) *Roster {
	created := &Roster{self: own.Node, runID: own.RunID, records: map[string]*Record{}, dirty: map[string]struct{}{}, goneSince: map[string]time.Time{}}
	created.view.Store(newView(nil))
	created.set(&own)
	created.publish()
	return created
}

// set replaces a node's record. The lock must be held.
func (r *Roster) set(record *Record) {
	r.records[record.Node] = record
	r.dirty[record.Node] = struct{}{}
}

// SetService sets the service of the node's own back end, empty if it is not known. A back end of
// another service is removed from the node's own record, and no record of a previous run restores
// one. It reports whether one was removed.
func (r *Roster) SetService(service string) (removed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.service = service
	own := *r.records[r.self]
	if r.mayBeOwn(own.Endpoint) {
		return false
	}
	own.Endpoint = nil
	own.Counter++
	own.RunID = r.runID
	r.set(&own)
	r.publishAndNotify([]*Record{&own})
	return true
}

// mayBeOwn reports whether the endpoint, which may be nil, is of the service of the node's own back
// end. The lock must be held.
func (r *Roster) mayBeOwn(endpoint *Endpoint) bool {
	return endpoint == nil || r.service == "" || endpoint.Service == r.service
}

// View returns the current view.
func (r *Roster) View() *View { return r.view.Load() }

// Own returns the node's own record.
func (r *Roster) Own() *Record { return r.View().Record(r.self) }

// Observe registers a function that is called after each change, with the lock held so that changes
// are delivered in order. It must not block.
func (r *Roster) Observe(observer func(changed []*Record)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observers = append(r.observers, observer)
}

// Merge merges records received from others and returns those that changed. A record of this node
// that is newer than its own, or that a previous run left behind, raises the node's epoch above it,
// and the node adopts what that run knew about the back end and about requests that crash back
// ends.
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
			continue // forgotten already, or gone before it was known
		}
		if existing == nil || record.Newer(existing) {
			r.set(record)
			changed = append(changed, record)
		}
	}
	r.publishAndNotify(changed)
	return changed
}

// goneRetention is the time for which the record of a node whose back end has ended is kept, so
// that a process restarted on that node learns from others which incarnations have ended.
const goneRetention = 5 * time.Minute

// Forget removes the records of other nodes whose back end ended goneRetention ago, and returns
// their names. It must be called periodically.
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

// Resume applies the newest of several records that previous runs of the node left. If the node has
// published nothing yet and nothing about the node itself has changed, it adopts that record
// unchanged and Resume returns true: after a restart of all nodes none then has to send its record
// to every other one. Otherwise the record is superseded as in Merge.
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
	if own := r.records[r.self]; !own.isInitial() || !newest.continuedBy(own) || !r.mayBeOwn(newest.Endpoint) {
		r.publishAndNotify(r.supersede(newest))
		return false
	}
	resumed := *newest
	r.set(&resumed)
	r.publishAndNotify([]*Record{&resumed})
	return true
}

// supersede raises the node's own record above one of a previous run, unless it already is newer.
// It returns the own record if it changed.
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
	if r.mayBeOwn(previous.Endpoint) {
		own.Endpoint = mergeEndpoint(own, previous.Endpoint)
	}
	own.Evidence = mergeEvidence(own.Evidence, previous.Evidence)
	r.set(&own)
	return []*Record{&own}
}

// mergeEndpoint returns the node's back end after a record of a previous run was found: the one
// reported in this run, unless the previous one knows that it has ended or has a later report of
// it. A back end that has ended according to either stays so.
func mergeEndpoint(own Record, previous *Endpoint) *Endpoint {
	chosen := laterReport(own.Endpoint, previous)
	if chosen == nil || chosen.State == Gone {
		return chosen
	}
	// An end reported without a start time applies to the incarnation known before.
	endedWithoutStart := chosen != own.Endpoint && own.HasEnded(Incarnation{ID: chosen.ID})
	if !endedWithoutStart && !own.HasEnded(chosen.Incarnation()) {
		return chosen.drainingIfReported(own.Endpoint, previous)
	}
	gone := *chosen
	gone.State = Gone
	return &gone
}

// drainingIfReported returns the endpoint, in the state Draining if one of the reports on its
// incarnation has that state.
func (e *Endpoint) drainingIfReported(reports ...*Endpoint) *Endpoint {
	for _, report := range reports {
		if e.State == Ready && report != nil && report.State == Draining && report.Incarnation() == e.Incarnation() {
			return e.asDraining()
		}
	}
	return e
}

// laterReport returns the later of two reports on a back end, one of this run and one of a previous
// run.
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

// Update replaces the node's own record with the result of the function, and increments its counter
// if the function reports a change.
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
