package simulation

import (
	"errors"
	"net/http"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// The baselines show what the tree buys. In them every proxy reads the store
// itself, holds the whole configuration and makes its own projection; there are
// no control daemons, no endpoint states, and no status.

// startBaseline starts a proxy that reads the store directly.
func (w *World) startBaseline(n *node) {
	n.proxy = &proxyProcess{endpoints: endpoint.NewTable()}
	if w.scenario.Distribution.Mode == ModePoll {
		// The proxies' polls are spread over the interval.
		first := time.Duration(n.random.Int64N(int64(w.scenario.Distribution.PollInterval)))
		w.clock.after(first, func() { w.pollStore(n) })
		return
	}
	w.watchStore(n)
}

// storeRequestBytes is a request to the store with its headers.
var storeRequestBytes = requestBytes("/v1/range")

// pollStore reads what follows the version held, and plans the next poll.
func (w *World) pollStore(n *node) {
	version := n.heldVersion()
	w.account(n, w.storeNode, kindPoll, storeRequestBytes)
	w.store.call(n, costRange, false, func() func() {
		entries := w.entriesFor(version)
		w.account(w.storeNode, n, kindEntries, responseOverhead+entriesBytes(entries))
		return func() { w.takeEntries(n, entries) }
	}, func(error) {})
	w.clock.after(time.Duration(w.scenario.Distribution.PollInterval), func() { w.pollStore(n) })
}

var responseOverhead = responseBytes(http.StatusOK)

// entriesFor returns the log after a version; a proxy that holds nothing or
// fell behind the tail reads the checkpoint, which stands here for all of it.
func (w *World) entriesFor(version uint64) []resource.Entry {
	if entries, whole := w.store.entriesAfter(version); whole {
		return entries
	}
	entries, _ := w.store.entriesAfter(w.store.floor)
	return entries
}

func entriesBytes(entries []resource.Entry) int {
	size := 0
	for _, entry := range entries {
		size += len(encodeLine(entry))
	}
	return size
}

// watchStore loads the log and then receives every entry as it is written.
func (w *World) watchStore(n *node) {
	version := n.heldVersion()
	w.account(n, w.storeNode, kindPoll, storeRequestBytes)
	w.store.call(n, costLoad, false, func() func() {
		entries := w.entriesFor(version)
		w.account(w.storeNode, n, kindEntries, responseOverhead+entriesBytes(entries))
		w.directWatches = append(w.directWatches, n)
		w.count.worstWatches = max(w.count.worstWatches, len(w.directWatches))
		return func() { w.takeEntries(n, entries) }
	}, func(err error) {
		if errors.Is(err, store.ErrRateLimited) {
			w.clock.after(exponential(w.loadRandom, time.Second), func() { w.watchStore(n) })
		}
	})
}

// notifyDirect sends an accepted entry to every proxy that watches the store.
func (w *World) notifyDirect(entry resource.Entry) {
	size := framed(len(encodeLine(entry)))
	for _, n := range w.directWatches {
		w.account(w.storeNode, n, kindEntries, size)
		w.deliver(n, w.clock.now+w.store.legTo(n), func() { w.takeEntries(n, []resource.Entry{entry}) })
	}
}

// takeEntries puts the newest of the entries in force.
func (w *World) takeEntries(n *node, entries []resource.Entry) {
	if len(entries) == 0 {
		return
	}
	newest := entries[len(entries)-1].Version
	if newest <= n.heldVersion() {
		return
	}
	w.enforced(n, w.projectionOf(n, newest))
}

// projectionOf computes a class's snapshot of an accepted version once.
func (w *World) projectionOf(n *node, version uint64) *projection.Snapshot {
	key := classVersion{n.entitlement.Class(), version}
	held := w.projections[key]
	if held == nil {
		held = projection.Project(w.checker.versions[version-1].state, n.entitlement)
		w.projections[key] = held
	}
	return held
}

func (n *node) heldVersion() uint64 {
	if n.proxy.inForce == nil {
		return 0
	}
	return n.proxy.inForce.Version
}

// commitDirect has an operator write to the store without a daemon.
func (w *World) commitDirect(c *change) {
	admission := resource.NewAdmission(w.store.head)
	batch := resource.Batch{Operation: resource.Operation{ID: c.id}, Changes: c.changes}
	if err := admission.Admit(batch); err != nil {
		w.count.rejected++
		return
	}
	if err := w.store.create(admission.Entry()); err != nil {
		w.count.conflicts++
	}
}
