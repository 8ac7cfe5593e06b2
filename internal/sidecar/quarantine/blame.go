package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

const (
	// leastCrashes is how many back ends must have ended under a request before it is
	// blamed. One end has as many suspects as the back end had slots. With two the harm
	// stays below the three that an outsider needs to see it.
	leastCrashes = 2
	// certainCrashes is from how many on a request is blamed though another one shares its
	// ends, or a back end ends without it at that time: two suspects rarely share so many,
	// since they run one at a time.
	certainCrashes = 3
	// coincidence is within which an open end without a request shows that back ends end for
	// another reason than the request. Where a tenth to a half of them end three times, 44 of
	// 1,350,000 harmless requests were held back, 81 when it took two such ends, and as many
	// back ends ended under harmful ones (300 days of TestEndsForOtherReasons and
	// TestHarmfulRequests). Older ends stay open for days when nobody asks again for what was
	// at work there: they say nothing.
	coincidence = 10 * time.Second
)

// suspicion is one end of a back end and the requests that may have made it.
type suspicion struct {
	endpoint string
	// at is when the node learnt of it.
	at      time.Time
	digests []fingerprint.Digest
	// trial is the one of them that was suspected before; the zero digest for none.
	trial fingerprint.Digest
}

// verdict is a request and the back ends that it ended.
type verdict struct {
	digest    fingerprint.Digest
	endpoints []string
}

// account is what speaks against one request.
type account struct {
	digest fingerprint.Digest
	// ends are the places of the ends at which it was at work.
	ends []int
	// tried: it was on trial at one of them.
	tried bool
}

// blame returns the requests that explain the ends: first the one that was at work at the
// most of them, then the one at the most of the others. Ends that are explained speak
// against nobody else.
//
// Only a request that was on trial at an end is blamed. One that is asked for all the time
// is at work wherever back ends end together: without that, 284 of 10,000 harmless requests
// were held back where half of the back ends ended three times and a tenth of the requests
// were for one thing (TestEndsForOtherReasons). Of two requests at as many ends that share
// one, neither is blamed: the next run of each tells.
func blame(open []suspicion) (blamed []verdict) {
	for {
		guilty := guiltiest(open)
		if len(guilty) == 0 {
			return blamed
		}
		explained := map[int]bool{}
		for _, found := range guilty {
			named := verdict{digest: found.digest}
			for _, i := range found.ends {
				named.endpoints = append(named.endpoints, open[i].endpoint)
				explained[i] = true
			}
			blamed = append(blamed, named)
		}
		open = without(open, explained)
	}
}

// guiltiest returns the requests to be blamed first, none when nobody is.
func guiltiest(open []suspicion) []*account {
	accounts := accountsOf(open)
	most := 0
	for _, held := range accounts {
		most = max(most, len(held.ends))
	}
	if most < leastCrashes {
		return nil
	}
	foremost := slices.DeleteFunc(accounts, func(held *account) bool { return len(held.ends) < most })
	return slices.DeleteFunc(slices.Clone(foremost), func(held *account) bool {
		return !held.tried || (most < certainCrashes && (held.coincides(open) || held.rivalled(foremost)))
	})
}

// accountsOf returns what speaks against each request, in the order of digests.
func accountsOf(open []suspicion) []*account {
	byDigest := map[fingerprint.Digest]*account{}
	for i, crash := range open {
		for _, digest := range crash.digests {
			held := byDigest[digest]
			if held == nil {
				held = &account{digest: digest}
				byDigest[digest] = held
			}
			// Copies of one request may be at work side by side.
			if !slices.Contains(held.ends, i) {
				held.ends = append(held.ends, i)
			}
			held.tried = held.tried || digest == crash.trial
		}
	}
	return slices.SortedFunc(maps.Values(byDigest), func(a, b *account) int { return a.digest.Compare(b.digest) })
}

// rivalled reports whether another one of the requests was at work at one of the ends.
func (a *account) rivalled(others []*account) bool {
	return slices.ContainsFunc(others, func(other *account) bool {
		return other != a && slices.ContainsFunc(other.ends, func(end int) bool { return slices.Contains(a.ends, end) })
	})
}

// coincides reports whether a back end ended without the request about when the last one
// ended under it.
func (a *account) coincides(open []suspicion) bool {
	last := slices.MaxFunc(a.ends, func(i, j int) int { return open[i].at.Compare(open[j].at) })
	for i, crash := range open {
		if apart := crash.at.Sub(open[last].at).Abs(); apart <= coincidence && !slices.Contains(a.ends, i) {
			return true
		}
	}
	return false
}

func without(open []suspicion, explained map[int]bool) (left []suspicion) {
	for i, crash := range open {
		if !explained[i] {
			left = append(left, crash)
		}
	}
	return left
}
