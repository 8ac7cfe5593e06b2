package exchange

import (
	"cmp"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// retryBase is the time for which a peer is not asked again after a failed fetch; each further
	// failure doubles it, up to retryMax. Peers with fewer failures are asked first.
	retryBase = 200 * time.Millisecond
	retryMax  = 1600 * time.Millisecond
)

// source is a peer that has reported a version above the one in force.
type source struct {
	peer *roster.Record
	// version is the highest version that the peer has reported, reportedAt when it last did.
	version    uint64
	reportedAt time.Time
	// notBefore is the moment before which the peer is not asked.
	notBefore time.Time
	// failures counts the consecutive fetches that failed.
	failures int
	// fetching reports whether a fetch from the peer is running.
	fetching bool
}

// sources are the peers from which a node may fetch a newer configuration. It does no I/O and is used
// under a lock.
type sources struct {
	// all holds, by name, the peers that have reported a newer version.
	all map[string]*source
}

// reportVersion records the version that a peer has reported. A new peer is not asked before the delay is over.
func (s *sources) reportVersion(peer *roster.Record, version uint64, now time.Time, delay time.Duration) {
	if s.all == nil {
		s.all = map[string]*source{}
	}
	held := s.all[peer.Node]
	if held == nil {
		held = &source{notBefore: now.Add(delay)}
		s.all[peer.Node] = held
	}
	held.peer, held.version, held.reportedAt = peer, max(held.version, version), now
	if notBefore := now.Add(delay); held.failures == 0 && notBefore.Before(held.notBefore) {
		held.notBefore = notBefore
	}
}

// next returns the peer to be asked now, nil when there is none: of the peers with the fewest
// failures the one that reported last, since it is the most likely to respond.
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

// wait returns the time until the next peer is due, limit at most.
func (s *sources) wait(above uint64, now time.Time, limit time.Duration) time.Duration {
	for _, candidate := range s.all {
		if !candidate.fetching && candidate.version > above {
			limit = min(limit, max(candidate.notBefore.Sub(now), 0))
		}
	}
	return limit
}

// untried reports whether there is a peer that has not failed and is not being asked.
func (s *sources) untried(above uint64) bool {
	for _, candidate := range s.all {
		if candidate.version > above && candidate.failures == 0 && !candidate.fetching {
			return true
		}
	}
	return false
}

// recordFailure records that a fetch failed.
func (c *source) recordFailure(now time.Time) {
	wait := min(retryBase<<min(c.failures, 3), retryMax)
	c.failures++
	c.notBefore = now.Add(wait)
}

// clear removes all peers.
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
