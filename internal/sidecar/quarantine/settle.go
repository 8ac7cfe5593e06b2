package quarantine

import (
	"slices"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// reconcileOwnEvidence brings the own evidence to what is still needed: the verdicts on requests that
// ended back ends here or at nodes that have gone, the ends that are open, and what is
// cleared of those.
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

// keepLocalEntries adds the verdicts on requests that were at work at ends seen here.
func (q *Quarantine) keepLocalEntries(own *roster.Evidence) (added bool) {
	for _, crash := range own.Crashes {
		for _, running := range crash.Running {
			for _, digest := range [...]fingerprint.Digest{running.Content, running.Call} {
				if held, known := q.known[digest]; known {
					added = keep(own, held) || added
				}
			}
		}
	}
	return added
}

func keep(own *roster.Evidence, held roster.Quarantined) bool {
	if slices.ContainsFunc(own.Quarantined, func(kept roster.Quarantined) bool { return kept.Digest == held.Digest }) {
		return false
	}
	own.Quarantined = append(own.Quarantined, held)
	return true
}

// isSuccessor reports whether the node takes over what nodes knew that have gone: the first by
// name that is there. Should two nodes think so, both do.
func (q *Quarantine) isSuccessor() bool {
	self := q.options.Members.Own().Node
	for _, record := range q.options.Members.View().Records() {
		if !record.BackendAbsent() && !record.Leaving {
			return record.Node == self
		}
	}
	return false
}

// inherit adds the verdicts of nodes that have gone.
func (q *Quarantine) inherit(own *roster.Evidence) (added bool) {
	for node := range q.gone {
		for _, held := range q.evidence[node].Clone().Quarantined {
			if !own.Full() && !q.isLifted(held) && keep(own, held) {
				added = true
			}
		}
	}
	return added
}

// prune drops ends that are explained, requests that are cleared of an end, and clearances
// that no end needs any more.
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

// needed reports whether a node still tells of an end with the request.
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

// size is how many entries the evidence has.
func size(own *roster.Evidence) int {
	total := len(own.Cleared) + len(own.Quarantined) + len(own.Lifted) + len(own.Crashes)
	for _, crash := range own.Crashes {
		total += len(crash.Running)
	}
	return total
}
