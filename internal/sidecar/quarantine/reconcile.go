package quarantine

import (
	"slices"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// reconcileOwnEvidence reduces the node's own evidence to what is still needed: quarantined
// requests that crashed the node's own back end or were inherited from nodes that have gone,
// unexplained crashes, and clearances for those.
func (q *Quarantine) reconcileOwnEvidence() {
	successor := q.isSuccessor()
	if q.update(func(own *roster.Evidence) bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		before := len(own.Quarantined)
		own.Quarantined = slices.DeleteFunc(own.Quarantined, q.isLifted)
		changed := len(own.Quarantined) != before
		changed = q.keepLocalEntries(own) || changed
		if successor {
			changed = q.inherit(own) || changed
		}
		return q.prune(own) || changed
	}) {
		q.broadcastSoon()
	}
}

// keepLocalEntries adds the quarantined requests that were running at crashes of the node's own
// back end.
func (q *Quarantine) keepLocalEntries(own *roster.Evidence) (added bool) {
	for _, crash := range own.Crashes {
		for _, running := range crash.Running {
			for _, digest := range [...]fingerprint.Digest{running.Content, running.Call} {
				if held, known := q.known[digest]; known {
					added = addIfMissing(own, held) || added
				}
			}
		}
	}
	return added
}

func addIfMissing(own *roster.Evidence, held roster.Quarantined) bool {
	if slices.ContainsFunc(own.Quarantined, func(kept roster.Quarantined) bool { return kept.Digest == held.Digest }) {
		return false
	}
	own.Quarantined = append(own.Quarantined, held)
	return true
}

// isSuccessor reports whether the node takes over the entries of nodes that have gone, as the first
// live one by name. If two nodes believe so for a while, both take them over.
func (q *Quarantine) isSuccessor() bool {
	self := q.options.Members.Own().Node
	for _, record := range q.options.Members.View().Records() {
		if !record.BackendAbsent() && !record.Leaving {
			return record.Node == self
		}
	}
	return false
}

// inherit adds the quarantined requests of nodes that have gone.
func (q *Quarantine) inherit(own *roster.Evidence) (added bool) {
	for node := range q.gone {
		for _, held := range q.evidence[node].Clone().Quarantined {
			if !own.Full() && !q.isLifted(held) && addIfMissing(own, held) {
				added = true
			}
		}
	}
	return added
}

// prune removes explained crashes, requests that are cleared of a crash, and clearances that no
// crash needs any more.
func (q *Quarantine) prune(own *roster.Evidence) (pruned bool) {
	before := size(own)
	byContent, byCall := q.cleared(content), q.cleared(call)
	own.Crashes = slices.DeleteFunc(own.Crashes, q.explained)
	for i, crash := range own.Crashes {
		own.Crashes[i].Running = slices.DeleteFunc(slices.Clone(crash.Running), func(running fingerprint.Fingerprint) bool {
			return byContent[clearanceKey{running.Content, crash.Endpoint}] && byCall[clearanceKey{running.Call, crash.Endpoint}]
		})
	}
	own.Crashes = slices.DeleteFunc(own.Crashes, func(crash roster.Crash) bool { return len(crash.Running) == 0 })
	own.Cleared = slices.DeleteFunc(own.Cleared, func(clearance roster.Clearance) bool { return !q.needed(clearance) })
	return size(own) != before
}

// needed reports whether a node still publishes a crash at which the request was running.
func (q *Quarantine) needed(clearance roster.Clearance) bool {
	for _, nodeEvidence := range q.evidence {
		for _, crash := range nodeEvidence.Crashes {
			if slices.Contains(clearance.Endpoints, crash.Endpoint) && wasRunning(crash, clearance.Fingerprint) {
				return true
			}
		}
	}
	return false
}

// size returns the number of entries in the evidence.
func size(own *roster.Evidence) int {
	total := len(own.Cleared) + len(own.Quarantined) + len(own.Lifted) + len(own.Crashes)
	for _, crash := range own.Crashes {
		total += len(crash.Running)
	}
	return total
}
