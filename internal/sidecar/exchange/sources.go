package exchange

import (
	"cmp"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// retryBase is how long a peer that was asked in vain is left alone; each further failure
	// doubles it, up to retryMost. Others are asked before it.
	retryBase = 200 * time.Millisecond
	retryMax = 1600 * time.Millisecond
)

// source is a peer that has told of a version above the one in force.
type source struct {
	peer *roster.Record
	// version is the highest that the peer has told of, told when it last did.
	version uint64
	reportedAt    time.Time
	// notBefore is the moment before which the peer is not asked.
	notBefore time.Time
	// failures counts in how many questions in a row it brought nothing.
	failures int
	// fetching: a question is under way.
	fetching bool
}

// sources are the peers that a node may ask for a newer configuration. It is pure and used
// under a lock.
type sources struct {
	// all is by the peers' names; it has those that have told of a newer version only.
	all map[string]*source
}

// report notes what a peer has told of. One that is new is not asked before the delay is over.
func (s *sources) report(peer *roster.Record, version uint64, now time.Time, delay time.Duration) {
	if s.all == nil {
		s.all = map[string]*source{}
	}
	held := s.all[peer.Node]
	if held == nil {
		held = &source{notBefore: now.Add(delay)}
		s.all[peer.Node] = held
	}
	held.peer, held.version, held.reportedAt = peer, max(held.version, version), now
	if due := now.Add(delay); held.failures == 0 && due.Before(held.notBefore) {
		held.notBefore = due
	}
}

// next returns the peer to be asked now, nil when there is none: of those with the fewest
// failures the one that was heard last, since it is the most likely to be there.
func (s *sources) next(above uint64, now time.Time) *source {
	var best *source
	for _, candidate := range s.all {
		if candidate.fetching || candidate.version <= above || candidate.notBefore.After(now) {
			continue
		}
		if best == nil || candidate.before(best) {
			best = candidate
		}
	}
	return best
}

func (c *source) before(other *source) bool {
	return cmp.Or(cmp.Compare(c.failures, other.failures), other.reportedAt.Compare(c.reportedAt), cmp.Compare(c.peer.Node, other.peer.Node)) < 0
}

// wait returns how long it is until the next peer is due; limit at most.
func (s *sources) wait(above uint64, now time.Time, limit time.Duration) time.Duration {
	for _, candidate := range s.all {
		if !candidate.fetching && candidate.version > above {
			limit = min(limit, max(candidate.notBefore.Sub(now), 0))
		}
	}
	return limit
}

// untried reports whether there is a peer that has not failed.
func (s *sources) untried(above uint64) bool {
	for _, candidate := range s.all {
		if candidate.version > above && candidate.failures == 0 && !candidate.fetching {
			return true
		}
	}
	return false
}

// recordFailure notes that a question brought nothing.
func (c *source) recordFailure(now time.Time) {
	wait := min(retryBase<<min(c.failures, 3), retryMax)
	c.failures++
	c.notBefore = now.Add(wait)
}

// clear forgets all peers.
func (s *sources) clear() { clear(s.all) }

// names returns the peers' names in order.
func (s *sources) names() []string {
	names := make([]string, 0, len(s.all))
	for name := range s.all {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
